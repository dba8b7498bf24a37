#include "standins/fake_task.h"

#include "net/json_members.h"

namespace cardamompaddle {

FakeTask parseFakeTask(const std::string &payload, const Resources &declared)
{
    FakeTask defaults;
    defaults.output = payload;
    defaults.usage = declared;
    JsonMembers members(payload);
    if (!members.ok())
        return defaults;
    FakeTask task;
    const int64_t runMs = members.number("run_ms", 1);
    task.runTime = Duration(runMs);
    if (members.flag("service", false) || runMs < 0)
        task.runTime.reset();
    task.output = members.text("output", payload);
    task.fail = members.flag("fail", false);
    task.usage = declared;
    task.usage.cpuMilli = members.number("cpu_milli", declared.cpuMilli);
    task.usage.memoryMb = members.number("memory_mb", declared.memoryMb);
    return members.ok() ? task : defaults;
}

} // namespace cardamompaddle
