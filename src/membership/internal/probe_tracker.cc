#include "membership/internal/probe_tracker.h"

#include <algorithm>
#include <functional>

namespace cardamompaddle::internal {

ProbeTracker::ProbeTracker(int32_t seatCount, Duration window)
    : m_window(window), m_contacts(static_cast<size_t>(seatCount))
{ }

uint64_t ProbeTracker::addProbe(const Probe &probe)
{
    while (!m_probes.empty() && probe.sentAt - m_probes.begin()->second.sentAt >= m_window)
        m_probes.erase(m_probes.begin());
    m_probes.emplace(m_nextProbe, probe);
    return m_nextProbe++;
}

std::optional<Probe> ProbeTracker::takeProbe(SeatId from, uint64_t id, Instant now)
{
    const auto it = m_probes.find(id);
    if (it == m_probes.end() || it->second.to != from)
        return std::nullopt;
    const Probe probe = it->second;
    m_probes.erase(it);
    if (now - probe.sentAt >= m_window)
        return std::nullopt;
    return probe;
}

void ProbeTracker::recordAnswer(const Probe &probe, uint64_t incarnation, bool counts, Instant now)
{
    Contact &contact = m_contacts[static_cast<size_t>(probe.to)];
    const bool continues = contact.continuousSince && contact.incarnation == incarnation
                           && now - contact.latestSentAt < m_window;
    if (!continues)
        contact = Contact{incarnation, now, probe.sentAt, std::nullopt};
    contact.latestSentAt = std::max(contact.latestSentAt, probe.sentAt);
    if (counts && (!contact.latestCounted || contact.latestCounted->sentAt <= probe.sentAt))
        contact.latestCounted = probe;
}

void ProbeTracker::reset(SeatId seat)
{
    m_contacts[static_cast<size_t>(seat)] = Contact{};
}

void ProbeTracker::clear()
{
    m_probes.clear();
    std::fill(m_contacts.begin(), m_contacts.end(), Contact{});
}

Instant ProbeTracker::answersValidUntil(int32_t others) const
{
    if (others <= 0)
        return Instant::max();
    std::vector<Instant> sent;
    for (const Contact &it : m_contacts) {
        if (it.latestCounted)
            sent.push_back(it.latestCounted->sentAt);
    }
    const auto nth = static_cast<size_t>(others) - 1;
    if (sent.size() <= nth)
        return Instant::min();
    std::nth_element(sent.begin(), sent.begin() + static_cast<std::ptrdiff_t>(nth), sent.end(),
                     std::greater<>());
    return sent[nth] + m_window;
}

int32_t ProbeTracker::countAnswersInGeneration(uint64_t generation, Instant now) const
{
    return static_cast<int32_t>(
        std::count_if(m_contacts.begin(), m_contacts.end(), [&](const Contact &it) {
            return it.latestCounted && it.latestCounted->generation == generation
                   && now - it.latestCounted->sentAt < m_window;
        }));
}

int32_t ProbeTracker::countAnsweringLongerThan(Duration span, Instant now) const
{
    return static_cast<int32_t>(
        std::count_if(m_contacts.begin(), m_contacts.end(), [&](const Contact &it) {
            return it.continuousSince && now - it.latestSentAt < m_window
                   && now - *it.continuousSince > span;
        }));
}

} // namespace cardamompaddle::internal
