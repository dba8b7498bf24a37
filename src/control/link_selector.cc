#include "control/link_selector.h"

#include "base/hash.h"

#include <algorithm>
#include <tuple>

namespace cardamompaddle {

namespace {

constexpr Duration FirstBackoff{1'000};
constexpr int MaxBackoffDoublings = 3;
constexpr double AcknowledgementTimeWeight = 0.3; // of the latest one in the average

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

void LinkSelector::update(const std::map<std::string, work::Member> &members, size_t workers,
                          Instant now)
{
    m_wanted = workers <= MaxDirectWorkers ? 0 : (workers + WorkersPerLink - 1) / WorkersPerLink;
    std::erase_if(m_all, [&members](const auto &it) { return !members.contains(it.first); });
    for (const auto &[name, member] : members) {
        if (name != m_self)
            m_all[name].cpuMilli = member.cpuMilli;
    }
    select(now);
}

bool LinkSelector::acknowledged(const std::string &name, Duration took, Instant now)
{
    const auto it = m_all.find(name);
    if (it == m_all.end())
        return true;
    Candidate &candidate = it->second;
    const auto tookMs = static_cast<double>(took.count());
    const bool first = candidate.acknowledgedAt == Instant::min();
    candidate.acknowledgementMs =
        first ? tookMs
              : candidate.acknowledgementMs
                    + (tookMs - candidate.acknowledgementMs) * AcknowledgementTimeWeight;
    if (candidate.acknowledgementMs >= static_cast<double>(MaxAcknowledgementTime.count())) {
        failed(name, now);
        return false;
    }
    // A single acknowledgement does not show that an instance which failed often is sound again.
    if (!first)
        candidate.failures = 0;
    candidate.acknowledgedAt = now;
    select(now);
    return true;
}

void LinkSelector::failed(const std::string &name, Instant now)
{
    const auto it = m_all.find(name);
    if (it == m_all.end())
        return;
    Candidate &candidate = it->second;
    candidate.acknowledgedAt = Instant::min();
    candidate.backoffUntil =
        now + FirstBackoff * (1 << std::min(candidate.failures++, MaxBackoffDoublings));
    select(now);
}

const std::string *LinkSelector::linkOf(const WorkerId &worker) const
{
    const auto rank = [&worker](const std::string &name) {
        return stableHash(worker, stableHash(name));
    };
    const auto it = std::max_element(
        m_selected.begin(), m_selected.end(),
        [&rank](const std::string &a, const std::string &b) { return rank(a) < rank(b); });
    return it == m_selected.end() ? nullptr : &*it;
}

bool LinkSelector::isUsable(const Candidate &candidate, Instant now) const
{
    return candidate.acknowledgedAt != Instant::min()
           && now - candidate.acknowledgedAt < MaxAcknowledgementAge;
}

// Larger machines come first. Among equal ones a selected instance stays selected, and the others
// are ordered by a hash of their name, so that successive schedulers select mostly the same.
void LinkSelector::select(Instant now)
{
    const auto isBetter = [this](const std::string &a, const std::string &b) {
        const auto key = [this](const std::string &name) {
            return std::tuple(-m_all.at(name).cpuMilli, !contains(m_selected, name),
                              stableHash(name));
        };
        return key(a) < key(b);
    };
    std::vector<std::string> usable;
    std::vector<std::string> others;
    std::erase_if(m_selected, [this](const std::string &name) { return !m_all.contains(name); });
    for (const auto &[name, candidate] : m_all) {
        if (isUsable(candidate, now))
            usable.push_back(name);
        if (candidate.backoffUntil <= now)
            others.push_back(name);
    }
    std::sort(usable.begin(), usable.end(), isBetter);
    std::sort(others.begin(), others.end(), isBetter);
    usable.resize(std::min(usable.size(), m_wanted));
    others.resize(std::min(others.size(), m_wanted));
    m_selected = std::move(usable);
    m_candidates = m_selected;
    for (const std::string &name : others) {
        if (!contains(m_candidates, name))
            m_candidates.push_back(name);
    }
}

} // namespace cardamompaddle
