#include "node/instance_directory.h"

#include <boost/json.hpp>

#include <algorithm>

namespace cardamompaddle {
namespace {

// Well below the 3 s within which a leaving worker must stop getting new tasks.
constexpr Duration FetchInterval{500};
// Unlisted workers are removed after this time, which exceeds every task lease that tables allow.
constexpr Duration EntryRetention{2 * 3'600'000};

} // namespace

InstanceDirectory::InstanceDirectory(InstanceListClient &client, Instant)
    : m_client(client), m_state(std::make_shared<State>())
{ }

void InstanceDirectory::advance(Instant now)
{
    if (m_state->fetching || (m_state->lastAttempt && now - *m_state->lastAttempt < FetchInterval))
        return;
    m_state->fetching = true;
    m_state->lastAttempt = now;
    const std::weak_ptr<State> weak = m_state;
    m_client.fetch([weak](Result<std::vector<WorkerInfo>> list, Instant at) {
        const auto state = weak.lock();
        if (!state)
            return;
        state->fetching = false;
        if (!list) {
            ++state->failures;
            return;
        }
        state->failures = 0;
        state->lastSuccess = at;
        if (!state->historySince)
            state->historySince = at;
        applyList(*state, *list, at);
    });
}

void InstanceDirectory::applyList(State &state, const std::vector<WorkerInfo> &list, Instant now)
{
    bool changed = false;
    std::map<WorkerId, bool> seen;
    for (const WorkerInfo &info : list) {
        seen[info.id] = true;
        Entry &entry = state.workers[info.id];
        changed = changed || !entry.present || !(entry.info == info);
        entry = {info, now, true};
    }
    for (auto it = state.workers.begin(); it != state.workers.end();) {
        if (!seen.contains(it->first) && it->second.present) {
            it->second.present = false;
            changed = true;
        }
        it = now - it->second.lastListed > EntryRetention ? state.workers.erase(it) : std::next(it);
    }
    if (changed)
        ++state.revision;
}

bool InstanceDirectory::belongsTo(const WorkerInfo &worker, const PoolSpec &pool)
{
    if (!pool.availabilityZones.empty()
        && !pool.availabilityZones.contains(worker.availabilityZone))
        return false;
    return std::all_of(pool.labels.begin(), pool.labels.end(), [&worker](const auto &label) {
        const auto it = worker.labels.find(label.first);
        return it != worker.labels.end() && it->second == label.second;
    });
}

std::vector<WorkerInfo> InstanceDirectory::listed(const PoolSpec &pool) const
{
    std::vector<WorkerInfo> out;
    for (const auto &[id, entry] : m_state->workers) {
        if (entry.present && belongsTo(entry.info, pool))
            out.push_back(entry.info);
    }
    return out;
}

std::vector<WorkerId> InstanceDirectory::listedSince(const PoolSpec &pool, Instant since) const
{
    std::vector<WorkerId> out;
    for (const auto &[id, entry] : m_state->workers) {
        if (entry.lastListed >= since && belongsTo(entry.info, pool))
            out.push_back(id);
    }
    return out;
}

std::string InstanceDirectory::historyJson(Instant now) const
{
    if (!m_state->historySince)
        return "{}";
    boost::json::array workers;
    for (const auto &[id, entry] : m_state->workers) {
        boost::json::object labels;
        for (const auto &[name, value] : entry.info.labels)
            labels[name] = value;
        workers.push_back({{"id", id},
                           {"zone", entry.info.availabilityZone},
                           {"labels", labels},
                           {"age_ms", (now - entry.lastListed).count()}});
    }
    return boost::json::serialize(boost::json::object{
        {"history_ms", (now - *m_state->historySince).count()}, {"workers", workers}});
}

void InstanceDirectory::mergeHistory(std::string_view json, Instant now)
{
    boost::system::error_code ec;
    const auto value = boost::json::parse(json, ec);
    if (ec || !value.is_object())
        return;
    try {
        const auto &object = value.as_object();
        if (!object.contains("history_ms"))
            return;
        // While the answer was under way the workers' ages increased. Ignoring this makes their
        // `lastListed` later, which is safe. The span of the history is reduced by the possible
        // drift of the peer's clock.
        const Duration span(object.at("history_ms").to_number<int64_t>());
        const Instant since = now - span + (withDrift(span) - span);
        for (const auto &it : object.at("workers").as_array()) {
            const auto &row = it.as_object();
            const WorkerId id(row.at("id").as_string());
            Entry &entry = m_state->workers[id];
            if (entry.present)
                continue;
            entry.info.id = id;
            entry.info.availabilityZone = std::string(row.at("zone").as_string());
            for (const auto &label : row.at("labels").as_object())
                entry.info.labels[std::string(label.key())] =
                    std::string(label.value().as_string());
            const Duration age(row.at("age_ms").to_number<int64_t>());
            entry.lastListed = std::max(entry.lastListed, now - age);
        }
        if (m_state->historySince)
            m_state->historySince = std::min(*m_state->historySince, since);
    } catch (const std::exception &) {
        return; // without the history, a pool's owner waits until the leases have lapsed
    }
}

} // namespace cardamompaddle
