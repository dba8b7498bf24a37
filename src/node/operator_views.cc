#include "node/operator_views.h"

#include "node/node.h"

#include <boost/json/parse.hpp>

#include <array>
#include <map>
#include <utility>

namespace cardamompaddle {
namespace {

namespace json = boost::json;

json::array instanceRows(Node &node, Instant now)
{
    json::array rows;
    for (const SeatRow &row : node.membership().rows(now)) {
        if (row.seat != node.self())
            continue;
        rows.push_back({{"seat", row.seat},
                        {"incarnation", std::to_string(row.incarnation)},
                        {"generation", row.generation},
                        {"standing", row.hasQuorum},
                        {"synced", row.synced},
                        {"config_version", node.config().version()},
                        {"log_up", node.jobs().logUp()},
                        {"pools_owned", node.owners().size()}});
    }
    return rows;
}

std::string workerState(const WorkerRow &row, Instant now)
{
    if (row.lost)
        return "unreachable";
    if (row.leaving)
        return "leaving";
    if (row.zoneOut)
        return "zone_out";
    if (row.quarantinedUntil && *row.quarantinedUntil > now)
        return "quarantined";
    return "in_use";
}

json::array workerRows(Node &node, Instant now)
{
    json::array rows;
    for (const auto &[pool, owner] : node.owners()) {
        for (const WorkerRow &row : owner->scheduler().workerRows(now)) {
            rows.push_back({{"pool", pool},
                            {"worker", row.worker},
                            {"zone", row.availabilityZone},
                            {"rack", row.rack},
                            {"state", workerState(row, now)},
                            {"running", row.running},
                            {"free_slots", row.free.slots},
                            {"free_cpu_milli", row.free.cpuMilli},
                            {"free_memory_mb", row.free.memoryMb},
                            {"free_accelerators", row.free.accelerators},
                            {"free_connections", row.free.connections}});
        }
    }
    return rows;
}

json::array queueRows(Node &node, Instant now)
{
    json::array rows;
    for (const auto &[pool, owner] : node.owners()) {
        for (const QueueRow &row : owner->scheduler().queueRows(now)) {
            rows.push_back({{"pool", pool},
                            {"route", row.route},
                            {"team", row.team},
                            {"waiting_jobs", row.waitingJobs},
                            {"waiting_tasks", row.waitingTasks},
                            {"running_tasks", row.runningTasks},
                            {"oldest_wait_ms", row.oldestWait.count()}});
        }
    }
    return rows;
}

json::array teamRows(Node &node, Instant now)
{
    json::array rows;
    const auto &teams = node.config().tables().teams;
    for (const auto &[team, coordinator] : node.quotaService().coordinators()) {
        int64_t running = 0;
        int64_t allotted = 0;
        for (const QuotaCoordinatorRow &row : coordinator.rows(now)) {
            running += row.running;
            allotted += row.allotted;
        }
        const auto spec = teams.find(team);
        rows.push_back({{"team", team},
                        {"share", spec == teams.end() ? 1 : spec->second.share},
                        {"limit", coordinator.limit()},
                        {"lent", allotted},
                        {"running", running},
                        {"ledger_seat", node.self()},
                        {"ready", coordinator.ready()}});
    }
    return rows;
}

json::array poolRows(Node &node, Instant)
{
    json::array rows;
    for (const auto &[pool, owner] : node.owners()) {
        int64_t running = 0;
        for (const auto &[team, count] : owner->scheduler().runningByTeam())
            running += count;
        rows.push_back({{"pool", pool},
                        {"owner_seat", node.self()},
                        {"workers", owner->knownWorkers()},
                        {"acquired", owner->acquiredWorkers()},
                        {"running", running},
                        {"pending_requests", owner->pendingRequests()},
                        {"complete", owner->allTasksKnown()}});
    }
    return rows;
}

json::array zoneRows(Node &node, Instant)
{
    std::map<std::string, int> workers;
    for (const WorkerInfo &it : node.directory().listed(PoolSpec{}))
        ++workers[it.availabilityZone];
    for (const std::string &zone : node.config().zonesOut())
        workers.try_emplace(zone, 0);
    json::array rows;
    for (const auto &[zone, n] : workers)
        rows.push_back({{"zone", zone},
                        {"state", node.config().isZoneOut(zone) ? "out" : "in"},
                        {"workers", n}});
    return rows;
}

json::array keyRows(Node &node, Instant)
{
    json::array rows;
    for (const auto &[id, key] : node.config().keys())
        rows.push_back({{"key_id", id},
                        {"team", key.team},
                        {"state", key.withdrawn() ? "withdrawn" : "valid"}});
    return rows;
}

json::array sloRows(Node &node, Instant now)
{
    return json::parse(formatSloRows(node.slo().rows(now))).as_array();
}

using ViewFunction = json::array (*)(Node &, Instant);
constexpr std::array<std::pair<std::string_view, ViewFunction>, 8> Views = {{
    {"instances", instanceRows},
    {"workers", workerRows},
    {"queues", queueRows},
    {"teams", teamRows},
    {"pools", poolRows},
    {"zones", zoneRows},
    {"keys", keyRows},
    {"slo", sloRows},
}};

} // namespace

std::optional<json::array> viewRows(Node &node, const std::string &view, Instant now)
{
    for (const auto &[name, function] : Views) {
        if (name == view)
            return function(node, now);
    }
    return std::nullopt;
}

bool isSharedView(const std::string &view)
{
    return view == "zones" || view == "keys";
}

} // namespace cardamompaddle
