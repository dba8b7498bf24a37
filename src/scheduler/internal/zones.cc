#include "scheduler/internal/zones.h"

namespace cardamompaddle::sched {

int Zones::number(const std::string &name)
{
    const auto [it, isNew] = m_numbers.try_emplace(name, static_cast<int>(m_zones.size()));
    if (isNew) {
        Zone zone;
        zone.name = name;
        zone.out = m_outNames.contains(name);
        m_zones.push_back(std::move(zone));
        m_closed.push_back(0);
    }
    return it->second;
}

std::vector<int> Zones::setOut(const std::set<std::string> &names, Instant now)
{
    std::vector<int> changed;
    m_outNames = names;
    for (size_t it = 0; it < m_zones.size(); ++it) {
        Zone &zone = m_zones[it];
        const bool out = names.contains(zone.name);
        if (out == zone.out)
            continue;
        zone.out = out;
        m_ramping += (out ? 0 : 1) - (zone.ramping ? 1 : 0);
        zone.ramping = !out;
        zone.returnedAt = now;
        zone.started = 0;
        m_closed[it] = 0;
        changed.push_back(static_cast<int>(it));
    }
    return changed;
}

void Zones::refresh(Instant now)
{
    if (m_ramping == 0)
        return;
    for (size_t it = 0; it < m_zones.size(); ++it) {
        Zone &zone = m_zones[it];
        if (!zone.ramping)
            continue;
        const Duration since = now - zone.returnedAt;
        if (since >= m_rampTime) {
            zone.ramping = false;
            --m_ramping;
            m_closed[it] = 0;
            continue;
        }
        zone.allowed = 1 + zone.slots * since.count() / m_rampTime.count();
        m_closed[it] = zone.started >= zone.allowed ? 1 : 0;
    }
}

void Zones::recordStart(int zone)
{
    Zone &it = m_zones[static_cast<size_t>(zone)];
    if (it.ramping && ++it.started >= it.allowed)
        m_closed[static_cast<size_t>(zone)] = 1;
}

} // namespace cardamompaddle::sched
