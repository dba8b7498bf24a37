// The kinds of deployments that a soak plays.
//
// No I/O and no clock.
#pragma once

#include "base/result.h"
#include "job_shapes.h"
#include "platform_emulator.h"

#include <string>

namespace cardamompaddle::soak {

struct SiteProfile
{
    emulator::PolicyOptions policy; // of the route with a policy service
    GangSizes gangs;
};

// "default", "fitting" or "fitting_grown". Errors: InvalidArgument for other names.
Result<SiteProfile> siteProfile(const std::string &name);

} // namespace cardamompaddle::soak
