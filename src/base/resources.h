// Resource amounts: the capacity of a worker and the demand of a task.
#pragma once

#include <cstdint>
#include <string>

namespace cardamompaddle {

// A vector of resource amounts. A value type with element-wise arithmetic.
struct Resources
{
    int64_t cpuMilli = 0; // thousandths of a core
    int64_t memoryMb = 0; // MiB
    int64_t accelerators = 0;
    int64_t slots = 0; // concurrent tasks
    int64_t connections = 0; // concurrent requests

    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);
    friend Resources operator+(Resources a, const Resources &b) { return a += b; }
    friend Resources operator-(Resources a, const Resources &b) { return a -= b; }
    friend Resources operator*(const Resources &a, int64_t count)
    {
        return {a.cpuMilli * count, a.memoryMb * count, a.accelerators * count, a.slots * count,
                a.connections * count};
    }
    friend bool operator==(const Resources &, const Resources &) = default;

    // True if no amount exceeds that of `capacity`.
    bool fitsIn(const Resources &capacity) const;
    // True if no amount is negative.
    bool isNonNegative() const;
    // Message text, for example "cpu_milli=500 memory_mb=64 accelerators=0 slots=1 connections=0".
    std::string toString() const;
};

// Returns how many times `need` fits into `free`, at most `limit`. Amounts of which `need` is 0 do
// not bound the count.
int64_t countFitting(const Resources &free, const Resources &need, int64_t limit);

// Returns the dominant share: the largest fraction of any resource of `total` that `used` takes, in
// parts per million. Ignores resources of which `total` has none. Uses integer arithmetic, so that
// every build gives the same order.
int64_t dominantShareMillionths(const Resources &used, const Resources &total);

} // namespace cardamompaddle
