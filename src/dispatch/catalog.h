// One version of what operators configure, as the dispatcher and the callers' interface use it:
// routes, pools and teams, joined by names.
#pragma once

#include "base/resources.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace cardamompaddle {

// A policy that decides which workers may run the steps of a route.
struct ApprovalPolicy
{
    Duration decisionTime{0}; // of each call
    double perWorkerMs = 0; // in addition, for each worker named
    Duration validity{0}; // of an approval
};

// A row of the routes table: which work goes where.
struct WorkRoute
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string pool;
    int32_t priority = 0; // 0 comes first
    int32_t maxAttempts = 1; // failed runs of a task before its job fails
    double slowdownFactor = 1; // objective: this times the job's longest chain ...
    Duration latencyTarget{0}; // ... and this much more
    bool open = false; // accepts work without a key
    std::optional<ApprovalPolicy> approval; // none: every worker of the pool may run it
};

// A client account.
struct Team
{
    std::string name;
    std::set<std::string> keys;
    double weight = 1;
    Resources limit; // of what it runs at once over all workers; 0: unlimited
};

struct Catalog
{
    int64_t version = 0;
    std::map<std::string, WorkRoute> routes;
    std::set<std::string> pools;
    std::map<std::string, Team> teams;
    size_t maxBodyBytes = 262'144;

    // The route of this host with the longest prefix of `path`; null if there is none.
    const WorkRoute *findRoute(std::string_view host, std::string_view path) const;
    // The team that holds `key`; null if none does.
    const Team *findTeamByKey(const std::string &key) const;
};

} // namespace cardamompaddle
