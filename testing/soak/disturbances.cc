#include "disturbances.h"

#include <algorithm>

namespace cardamompaddle::soak {

void Disturbances::begin(const std::string &part, Instant from)
{
    m_parts[part].open.push_back(from);
}

void Disturbances::end(const std::string &part, Instant at)
{
    Part &it = m_parts[part];
    if (it.open.empty())
        return;
    it.ended.push_back({it.open.front(), at});
    it.open.erase(it.open.begin());
}

bool Disturbances::isCalm(const Part &part, Instant from, Instant to)
{
    return std::none_of(part.open.begin(), part.open.end(),
                        [to](Instant began) { return began <= to; })
           && std::none_of(part.ended.begin(), part.ended.end(),
                           [from, to](const Span &it) { return it.from <= to && it.to >= from; });
}

bool Disturbances::isCalm(const std::string &part, Instant from, Instant to) const
{
    const auto it = m_parts.find(part);
    return it == m_parts.end() || isCalm(it->second, from, to);
}

bool Disturbances::allCalm(Instant from, Instant to) const
{
    return std::all_of(m_parts.begin(), m_parts.end(), [from, to](const auto &it) {
        return it.first == HarnessPart || isCalm(it.second, from, to);
    });
}

} // namespace cardamompaddle::soak
