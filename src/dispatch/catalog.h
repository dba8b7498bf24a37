// The operators' configuration as the dispatcher and the client interface use it: routes, pools and
// teams, which refer to each other by name.
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

// Parameters of the policy service that decides which workers may run the steps of a route.
struct ApprovalPolicy
{
    Duration decisionTime{0}; // expected base time of a call
    double perWorkerMs = 0; // added for each worker named in the call
    Duration validity{0}; // of an approval
};

// A row of the routes table: the pool, priority and objective of the work that arrives at a host
// and path prefix.
struct WorkRoute
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string pool;
    int32_t priority = 0; // 0 is the most urgent
    int32_t maxAttempts = 1; // a job fails once one of its tasks has failed this often
    // A job's objective is to complete within slowdownFactor times the estimated run time of its
    // longest chain of steps, plus latencyTarget.
    double slowdownFactor = 1;
    Duration latencyTarget{0};
    bool open = false; // accepts work without a key
    std::optional<ApprovalPolicy> approval; // if unset, every worker of the pool may run the steps
};

// Returns the objective of a job of the route whose longest chain of steps takes `chain`.
Duration objectiveOf(const WorkRoute &route, Duration chain);

// A client account: the party that work, keys, shares and limits belong to.
struct Team
{
    std::string name;
    std::set<std::string> keys;
    double weight = 1; // of its fair share
    Resources limit; // of its active runs on all workers together; 0 means unlimited
};

struct Catalog
{
    int64_t version = 0;
    std::map<std::string, WorkRoute> routes;
    std::set<std::string> pools;
    std::map<std::string, Team> teams;
    size_t maxBodyBytes = 262'144;

    // Returns the route of `host` with the longest matching prefix of `path`, or null.
    const WorkRoute *findRoute(std::string_view host, std::string_view path) const;
    // Returns the team that holds `key`, or null.
    const Team *findTeamByKey(const std::string &key) const;
};

} // namespace cardamompaddle
