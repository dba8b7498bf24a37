// Describes the behaviour of a fake task, parsed from its payload.
#pragma once

#include "base/resources.h"
#include "base/time.h"

#include <optional>
#include <string>

namespace cardamompaddle {

struct FakeTask
{
    std::optional<Duration> runTime{Duration(1)}; // empty: a service, which runs until stopped
    std::string output;
    bool fail = false;
    Resources usage; // actual usage; slots and connections as declared
};

// A JSON object {"run_ms", "service", "output", "fail", "cpu_milli", "memory_mb"}, all optional;
// "service": true or a negative run_ms makes it a service. By default a task runs for 1 ms, uses
// its declared resources and returns its payload as output; these defaults also apply if the
// payload is not a JSON object or a member is malformed.
FakeTask parseFakeTask(const std::string &payload, const Resources &declared);

} // namespace cardamompaddle
