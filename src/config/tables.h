// The operators' tables: routes, the worker pools that routes name, and the teams that share the
// workers.
#pragma once

#include "base/resources.h"
#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle {

// How work of a route is run.
enum class WorkKind {
    Request, // a quick request, answered on the caller's connection
    Batch, // independent tasks
    Gang, // tasks that must all run at the same time
    Service, // runs until it is cancelled
};
// Names as in the tables, for example "request". The inverse is empty for an unknown name.
std::string_view workKindName(WorkKind kind);
std::optional<WorkKind> workKindFromName(std::string_view name);

// How a pool chooses among the workers that have room for a task.
enum class PlacementPolicy { Pack, Spread, FirstFit, Random };
// Names as in the tables, for example "first_fit". The inverse is empty for an unknown name.
std::string_view placementPolicyName(PlacementPolicy policy);
std::optional<PlacementPolicy> placementPolicyFromName(std::string_view name);

// Service-level objective for the waiting time of a route.
struct Objective
{
    int32_t targetMillionths = 0; // fraction of work that must start within `wait`, in millionths
    Duration wait{0};
    friend bool operator==(const Objective &, const Objective &) = default;
};

// A row of the routes table: the pool that runs the work of a route, and the route's limits.
struct RouteSpec
{
    std::string name;
    WorkKind kind = WorkKind::Request;
    std::string pool;
    int32_t urgency = 5; // 0 (can wait) to 9 (may preempt)
    bool open = false; // accepts work without a key, for team "open"
    int32_t maxQueuePerTeam = 1000; // maximum number of waiting jobs of one team
    // Per task: 100 thousandths of a processor, 64 MiB, no accelerator, one slot, one connection.
    Resources defaultResources{100, 64, 0, 1, 1};
    Duration timeout{10'000}; // limit on waiting plus running time of a request
    std::optional<Objective> objective;
    friend bool operator==(const RouteSpec &, const RouteSpec &) = default;
};

// A row of the pools table: a group of workers and the rules for placing tasks on them.
struct PoolSpec
{
    std::string name;
    std::set<std::string> availabilityZones; // all zones if empty
    std::map<std::string, std::string> labels; // a worker must have all of them, with equal values
    PlacementPolicy placement = PlacementPolicy::Pack;
    Duration taskLease{20'000};
    int32_t reservePercent = 5; // percent of processors and memory kept free on a worker
    // Limit on the processors that tasks request, in percent of capacity. 100: no overcommit.
    int32_t overcommitCpuPercent = 100;
    // A gang that has waited this long may have freed capacity reserved for it.
    Duration gangWait{5'000};
    Duration zoneDrain{10'000}; // grace period of batch and gang tasks in a zone that goes out
    friend bool operator==(const PoolSpec &, const PoolSpec &) = default;
};

// A row of the teams table: a team's share when capacity is short, and its limit over all workers.
struct TeamSpec
{
    std::string name;
    int32_t share = 1; // relative weight
    int32_t limit = 0; // maximum number of running tasks
    friend bool operator==(const TeamSpec &, const TeamSpec &) = default;
};

// All tables of one configuration version, keyed by name.
struct Tables
{
    std::map<std::string, RouteSpec> routes;
    std::map<std::string, PoolSpec> pools;
    std::map<std::string, TeamSpec> teams;
    friend bool operator==(const Tables &, const Tables &) = default;
};

// Team of work that is submitted without a key, which open routes allow.
inline constexpr std::string_view OpenTeam = "open";
// Limit of team "open" if a route is open and the tables have no row for this team.
inline constexpr int32_t OpenTeamLimit = 100;

// Returns the team of that name, or nothing. If a route is open and the tables have no row for team
// "open", that team has share 1 and OpenTeamLimit.
std::optional<TeamSpec> findTeam(const Tables &tables, std::string_view name);
// True for 1 to 64 ASCII letters, digits, '.', '_' and '-' that begin with a letter or digit. Names
// of routes, pools, teams, labels and availability zones have this form.
bool isValidName(std::string_view name);

// Parses and validates JSON with comments. Errors: InvalidArgument; the reason names the line or
// the key.
Result<Tables> parseTables(std::string_view text);
// Formats tables as canonical JSON, so that equal tables give equal text.
std::string formatTables(const Tables &tables);
// Returns one line per difference, for example `pool p: placement "pack" -> "spread"` or
// `team t: added`.
std::vector<std::string> diffTables(const Tables &before, const Tables &after);

} // namespace cardamompaddle
