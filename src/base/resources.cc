#include "base/resources.h"

#include <algorithm>

namespace cardamompaddle {

Resources &Resources::operator+=(const Resources &other)
{
    cpuMilli += other.cpuMilli;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    slots += other.slots;
    connections += other.connections;
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    cpuMilli -= other.cpuMilli;
    memoryMb -= other.memoryMb;
    accelerators -= other.accelerators;
    slots -= other.slots;
    connections -= other.connections;
    return *this;
}

bool Resources::fitsIn(const Resources &capacity) const
{
    return cpuMilli <= capacity.cpuMilli && memoryMb <= capacity.memoryMb
           && accelerators <= capacity.accelerators && slots <= capacity.slots
           && connections <= capacity.connections;
}

bool Resources::isNonNegative() const
{
    return cpuMilli >= 0 && memoryMb >= 0 && accelerators >= 0 && slots >= 0 && connections >= 0;
}

std::string Resources::toString() const
{
    return "cpu_milli=" + std::to_string(cpuMilli) + " memory_mb=" + std::to_string(memoryMb)
           + " accelerators=" + std::to_string(accelerators) + " slots=" + std::to_string(slots)
           + " connections=" + std::to_string(connections);
}

int64_t countFitting(const Resources &free, const Resources &need, int64_t limit)
{
    int64_t count = limit;
    const auto bound = [&count](int64_t available, int64_t needed) {
        if (needed > 0)
            count = std::min(count, std::max<int64_t>(0, available) / needed);
    };
    bound(free.cpuMilli, need.cpuMilli);
    bound(free.memoryMb, need.memoryMb);
    bound(free.accelerators, need.accelerators);
    bound(free.slots, need.slots);
    bound(free.connections, need.connections);
    return count;
}

int64_t dominantShareMillionths(const Resources &used, const Resources &total)
{
    int64_t largest = 0;
    const auto updateLargest = [&largest](int64_t amount, int64_t available) {
        if (available > 0)
            largest = std::max(largest, amount * 1'000'000 / available);
    };
    updateLargest(used.cpuMilli, total.cpuMilli);
    updateLargest(used.memoryMb, total.memoryMb);
    updateLargest(used.accelerators, total.accelerators);
    updateLargest(used.slots, total.slots);
    updateLargest(used.connections, total.connections);
    return largest;
}

} // namespace cardamompaddle
