// A randomized run of real entry instances over an emulated platform, with faults from outside.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "site_profile.h"

#include <cstdint>
#include <string>

namespace cardamompaddle::soak {

struct SoakOptions
{
    uint64_t seed = 1;
    Duration length{60'000}; // of the time with faults
    int instances = 5;
    int workers = 24;
    int callers = 24;
    Duration appendTime{2}; // of the log
    SiteProfile profile;
    int limitTasks = 0; // limit of the client account; 0: none
    Duration keepEnded{20'000}; // setting of the instances
    Duration clockSkew{200'000}; // largest difference of the instances' time of day; 0: none
    std::string onlyFault; // name of the only fault to play; empty: all
    std::string program; // path of cardamompaddle-entry
    std::string folder; // for settings and logs of the instances
};

struct SoakReport
{
    size_t violations = 0;
    std::string text; // one line for each violation and a summary
};

// Runs the soak on the calling thread. Errors: Unavailable if it cannot be set up.
Result<SoakReport> runSoak(const SoakOptions &options);

} // namespace cardamompaddle::soak
