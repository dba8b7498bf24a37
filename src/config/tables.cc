#include "config/tables.h"

#include "config/json_reader.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace cardamompaddle {
namespace {

constexpr int64_t MaxDurationMs = 3'600'000;
constexpr int64_t MaxResourceAmount = 1'000'000'000;
constexpr int64_t MaxShareOrLimit = 1'000'000;
constexpr size_t MaxRows = 10'000;

constexpr std::array<std::pair<WorkKind, std::string_view>, 4> WorkKindNames = {{
    {WorkKind::Request, "request"},
    {WorkKind::Batch, "batch"},
    {WorkKind::Gang, "gang"},
    {WorkKind::Service, "service"},
}};

constexpr std::array<std::pair<PlacementPolicy, std::string_view>, 4> PlacementPolicyNames = {{
    {PlacementPolicy::Pack, "pack"},
    {PlacementPolicy::Spread, "spread"},
    {PlacementPolicy::FirstFit, "first_fit"},
    {PlacementPolicy::Random, "random"},
}};

template <typename E, size_t N>
std::string_view enumToName(const std::array<std::pair<E, std::string_view>, N> &names, E value)
{
    const auto it = std::find_if(names.begin(), names.end(),
                                 [value](const auto &entry) { return entry.first == value; });
    return it == names.end() ? std::string_view("unknown") : it->second;
}

template <typename E, size_t N>
std::optional<E> enumFromName(const std::array<std::pair<E, std::string_view>, N> &names,
                              std::string_view name)
{
    const auto it = std::find_if(names.begin(), names.end(),
                                 [name](const auto &entry) { return entry.second == name; });
    return it == names.end() ? std::nullopt : std::optional<E>(it->first);
}

// Reads a percentage with at most four decimals as millionths. The limit on decimals makes every
// instance read the same integer.
int32_t readPercent(JsonObject &row, std::string_view key)
{
    const boost::json::value *value = row.find(key);
    double percent = -1;
    if (value != nullptr && value->is_double())
        percent = value->get_double();
    else if (value != nullptr && value->is_int64())
        percent = static_cast<double>(value->get_int64());
    const double millionths = percent * 10'000;
    if (!(millionths > 0.5 && millionths < 1'000'000.5)
        || std::abs(millionths - std::round(millionths)) > 0.001) {
        row.fail(key, "must be a number above 0 and at most 100, with at most four decimals");
        return 0;
    }
    return static_cast<int32_t>(std::lround(millionths));
}

Resources readResources(JsonObject row)
{
    const Resources defaults;
    Resources result;
    result.cpuMilli = row.integerOr("cpu_milli", defaults.cpuMilli, 0, MaxResourceAmount);
    result.memoryMb = row.integerOr("memory_mb", defaults.memoryMb, 0, MaxResourceAmount);
    result.accelerators =
        row.integerOr("accelerators", defaults.accelerators, 0, MaxResourceAmount);
    result.slots = row.integerOr("slots", 1, 0, MaxResourceAmount);
    result.connections = row.integerOr("connections", 1, 0, MaxResourceAmount);
    row.finish();
    return result;
}

Objective readObjective(JsonObject row)
{
    Objective result;
    result.targetMillionths = readPercent(row, "target_percent");
    result.wait = Duration(row.integer("wait_ms", 1, MaxDurationMs));
    row.finish();
    return result;
}

template <typename E, size_t N>
E readChoice(JsonObject &row, std::string_view key,
             const std::array<std::pair<E, std::string_view>, N> &names)
{
    const auto value = enumFromName(names, row.text(key));
    if (value)
        return *value;
    std::string choices;
    for (const auto &entry : names)
        choices += (choices.empty() ? "" : ", ") + std::string(entry.second);
    row.fail(key, "must be one of " + choices);
    return names.front().first;
}

RouteSpec readRoute(JsonObject &row)
{
    RouteSpec route;
    route.name = row.name("name");
    route.kind = readChoice(row, "kind", WorkKindNames);
    route.pool = row.name("pool");
    route.urgency = static_cast<int32_t>(row.integerOr("urgency", route.urgency, 0, 9));
    route.open = row.flagOr("open", route.open);
    route.maxQueuePerTeam = static_cast<int32_t>(
        row.integerOr("max_queue_per_team", route.maxQueuePerTeam, 1, 1'000'000));
    if (row.has("resources"))
        route.defaultResources = readResources(row.object("resources"));
    route.timeout = Duration(row.integerOr("timeout_ms", route.timeout.count(), 1, MaxDurationMs));
    if (row.has("objective"))
        route.objective = readObjective(row.object("objective"));
    row.finish();
    return route;
}

void readWorkerSelector(JsonObject row, PoolSpec &pool)
{
    row.forEachText("zones", [&](std::string_view zone, const std::string &path) {
        if (!isValidName(zone))
            row.fail("zones", "\"" + std::string(zone) + "\" is not a valid name");
        else if (!pool.availabilityZones.emplace(zone).second)
            row.fail("zones", "duplicate \"" + std::string(zone) + "\" at " + path);
    });
    if (row.has("labels")) {
        JsonObject labels = row.object("labels");
        for (const std::string &key : labels.keys()) {
            if (!isValidName(key))
                labels.fail(key, "is not a valid name");
            pool.labels[key] = labels.name(key);
        }
    }
    row.finish();
}

PoolSpec readPool(JsonObject &row)
{
    PoolSpec pool;
    pool.name = row.name("name");
    if (row.has("workers"))
        readWorkerSelector(row.object("workers"), pool);
    if (row.has("placement"))
        pool.placement = readChoice(row, "placement", PlacementPolicyNames);
    // A lease below one second would expire, and end healthy tasks, at any short network delay.
    pool.taskLease =
        Duration(row.integerOr("task_lease_ms", pool.taskLease.count(), 1'000, MaxDurationMs));
    pool.reservePercent =
        static_cast<int32_t>(row.integerOr("reserve_percent", pool.reservePercent, 0, 90));
    pool.overcommitCpuPercent = static_cast<int32_t>(
        row.integerOr("overcommit_cpu_percent", pool.overcommitCpuPercent, 100, 1'000));
    pool.gangWait =
        Duration(row.integerOr("gang_wait_ms", pool.gangWait.count(), 0, MaxDurationMs));
    pool.zoneDrain =
        Duration(row.integerOr("zone_drain_ms", pool.zoneDrain.count(), 0, MaxDurationMs));
    row.finish();
    return pool;
}

TeamSpec readTeam(JsonObject &row)
{
    TeamSpec team;
    team.name = row.name("name");
    team.share = static_cast<int32_t>(row.integer("share", 1, MaxShareOrLimit));
    team.limit = static_cast<int32_t>(row.integer("limit", 0, MaxShareOrLimit));
    row.finish();
    return team;
}

// Reads the rows of one table and rejects duplicate names.
template <typename Row>
void readRows(JsonObject &document, std::string_view key, bool required,
              std::map<std::string, Row> &rows, Row (*read)(JsonObject &))
{
    document.forEach(key, required, [&](JsonObject &object) {
        Row row = read(object);
        if (!object.ok())
            return;
        if (rows.size() == MaxRows)
            return object.fail("name",
                               "the table has more than " + std::to_string(MaxRows) + " rows");
        const std::string name = row.name;
        if (!rows.emplace(name, std::move(row)).second)
            object.fail("name", "duplicate \"" + name + "\"");
    });
}

// Checks that the pool of each route is in the pools table.
void checkReferences(JsonObject &document, const Tables &tables)
{
    document.forEach("routes", true, [&](JsonObject &object) {
        const std::string pool = object.text("pool");
        if (!tables.pools.contains(pool))
            object.fail("pool", "no pool is named \"" + pool + "\"");
    });
}

} // namespace

std::string_view workKindName(WorkKind kind)
{
    return enumToName(WorkKindNames, kind);
}

std::optional<WorkKind> workKindFromName(std::string_view name)
{
    return enumFromName(WorkKindNames, name);
}

std::string_view placementPolicyName(PlacementPolicy policy)
{
    return enumToName(PlacementPolicyNames, policy);
}

std::optional<PlacementPolicy> placementPolicyFromName(std::string_view name)
{
    return enumFromName(PlacementPolicyNames, name);
}

bool isValidName(std::string_view name)
{
    const auto isAlnum = [](char it) {
        return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9');
    };
    return !name.empty() && name.size() <= 64 && isAlnum(name.front())
           && std::all_of(name.begin(), name.end(), [&](char it) {
                  return isAlnum(it) || it == '.' || it == '_' || it == '-';
              });
}

std::optional<TeamSpec> findTeam(const Tables &tables, std::string_view name)
{
    const auto it = tables.teams.find(std::string(name));
    if (it != tables.teams.end())
        return it->second;
    const bool open = std::any_of(tables.routes.begin(), tables.routes.end(),
                                  [](const auto &route) { return route.second.open; });
    if (name != OpenTeam || !open)
        return std::nullopt;
    return TeamSpec{std::string(OpenTeam), 1, OpenTeamLimit};
}

Result<Tables> parseTables(std::string_view text)
{
    const auto value = parseStrictJson(text);
    if (!value.ok())
        return value.error();
    JsonErrors errors;
    JsonObject document(*value, "", errors);
    Tables tables;
    readRows(document, "routes", true, tables.routes, readRoute);
    readRows(document, "pools", true, tables.pools, readPool);
    readRows(document, "teams", true, tables.teams, readTeam);
    document.finish();
    if (errors.ok())
        checkReferences(document, tables);
    if (!errors.ok())
        return errors.error();
    return tables;
}

} // namespace cardamompaddle
