#include "scheduler/internal/health.h"

#include <algorithm>

namespace cardamompaddle::sched {

bool Health::recordFailure(uint64_t job, bool probe, Instant now)
{
    if (m_quarantineEnd) {
        // Tasks that started before the quarantine are not counted again.
        if (!probe)
            return false;
        m_probeRunning = false;
        return quarantine(now);
    }
    if (std::find(m_failedJobs.begin(), m_failedJobs.end(), job) == m_failedJobs.end())
        m_failedJobs.push_back(job);
    return m_failedJobs.size() >= QuarantineThreshold && quarantine(now);
}

bool Health::quarantine(Instant now)
{
    m_quarantineLength = std::clamp(m_quarantineLength * 2, InitialQuarantine, MaxQuarantine);
    m_quarantineEnd = now + m_quarantineLength;
    return true;
}

void Health::recordSuccess(bool probe)
{
    if (m_quarantineEnd && !probe)
        return;
    m_failedJobs.clear();
    m_quarantineEnd.reset();
    m_quarantineLength = Duration(0);
    m_probeRunning = false;
}

bool Health::mayStart(Instant now) const
{
    return !m_quarantineEnd || (now >= *m_quarantineEnd && !m_probeRunning);
}

} // namespace cardamompaddle::sched
