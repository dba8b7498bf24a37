#include "loop_lag.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace cardamompaddle::soak {

bool LoopLag::add(Instant due, Instant now)
{
    const Duration lag = std::max(Duration::zero(), now - due);
    m_largest = std::max(m_largest, lag);
    m_sum += lag;
    ++m_count;
    const bool stalled = lag > StallLag;
    m_stalls += stalled ? 1 : 0;
    return stalled;
}

double LoopLag::meanMs() const
{
    return m_count == 0 ? 0 : static_cast<double>(m_sum.count()) / static_cast<double>(m_count);
}

std::string LoopLag::toString() const
{
    std::ostringstream out;
    out << "mean " << std::fixed << std::setprecision(1) << meanMs() << " ms, largest "
        << m_largest.count() << " ms, " << m_stalls << " stalls";
    return out.str();
}

} // namespace cardamompaddle::soak
