#include "operators.h"

#include "log_client.h"

#include <boost/json.hpp>

#include <utility>

namespace cardamompaddle::soak {

namespace json = boost::json;

namespace {

constexpr const char *Team = "team";
constexpr size_t KeysInUse = 3;
// Of the calls, so many carry the key that was withdrawn last.
constexpr uint64_t OneInWithdrawn = 50;

json::object routeRecord(const char *name, const char *pathPrefix)
{
    return {{"Name", name},
            {"Host", route::Host},
            {"PathPrefix", pathPrefix},
            {"Service", route::Service},
            {"Kind", "unsafe"},
            {"Priority", 0},
            {"MaxAttempts", 5},
            {"Stretch", 2.2},
            {"TimeoutMs", 3'000},
            {"TargetLatencyMs", 1'200}};
}

} // namespace

Operators::Operators(emulator::PlatformEmulator &platform, Oracle &oracle,
                     const emulator::PolicyOptions &policy, int limitTasks)
    : m_platform(platform), m_oracle(oracle), m_policy(policy), m_limitTasks(limitTasks)
{
    while (m_keys.size() < KeysInUse)
        addKey();
    publish();
}

void Operators::change(bool withdrawKey, Instant now)
{
    const std::string oldest = m_keys.front();
    if (withdrawKey) {
        m_keys.pop_front();
        addKey();
    }
    publish();
    if (!withdrawKey)
        return;
    m_withdrawn = oldest;
    m_oracle.keyWithdrawn(oldest, now);
}

std::string Operators::key(uint64_t random) const
{
    if (!m_withdrawn.empty() && random % OneInWithdrawn == 0)
        return m_withdrawn;
    return m_keys[random % (KeysInUse - 1)];
}

void Operators::addKey()
{
    m_keys.push_back("key-" + std::to_string(++m_keyCount));
}

void Operators::publish()
{
    json::object approved = routeRecord("approved", route::ApprovedPrefix);
    approved["PolicyService"] = json::object{{"DecisionMs", m_policy.decisionTime.count()},
                                             {"PerItemMs", m_policy.perWorkerMs},
                                             {"ValidityMs", m_policy.validity.count()}};
    const json::array keys(m_keys.begin(), m_keys.end());
    json::object team{{"Name", Team}, {"ApiKeys", keys}, {"Weight", 100}};
    if (m_limitTasks > 0)
        team["UpperLimit"] = json::object{{"Cpu", m_limitTasks * TaskCpuMilli},
                                          {"MemoryRequestMb", m_limitTasks * TaskMemoryMb}};
    const json::object service{{"Name", route::Service}, {"AdmissionCheck", false}};
    m_platform.put(
        topic::Operators, "config",
        json::serialize(json::object{
            {"Version", ++m_version},
            {"Routes", json::array{routeRecord("soak", route::Prefix), std::move(approved)}},
            {"Services", json::array{service}},
            {"Tenants", json::array{team}},
            {"Limits", json::object{}}}));
}

} // namespace cardamompaddle::soak
