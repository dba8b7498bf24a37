// Settings of the daemon, read from a file at start. They hold what a process needs before it can
// read the configuration from the log.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle {

// IP address and TCP port.
struct Endpoint
{
    std::string address; // without brackets
    uint16_t port = 0;
    friend bool operator==(const Endpoint &, const Endpoint &) = default;
    // "IP:PORT", or "[IP]:PORT" for IPv6.
    std::string toString() const;
    // Inverse of toString(). Errors: InvalidArgument, also for host names, because the daemon
    // resolves no names.
    static Result<Endpoint> parse(std::string_view text);
};

// A seat: the place of one entry instance in the cell. The list of seats is the same in the
// settings of every entry instance.
struct SeatSettings
{
    std::string availabilityZone;
    Endpoint peer; // address at which the instance serves its peers
    friend bool operator==(const SeatSettings &, const SeatSettings &) = default;
};

enum class LogLevel { Debug, Info, Warn, Error };
// Name as in the settings, for example "info".
std::string_view logLevelName(LogLevel level);

// All settings of one process.
struct Settings
{
    std::string cell; // name of the group of entry instances that work together
    SeatId seat = 0; // index of this instance in `seats`
    std::vector<SeatSettings> seats;
    Endpoint listenCallers; // port 0 selects any free port
    Endpoint listenOperators; // port 0 selects any free port
    Endpoint listenPeers;
    Endpoint log; // the platform's log service
    Endpoint instanceList; // the platform's list of instances
    std::string operatorTokenSha256; // 64 lower-case hexadecimal digits
    int trafficThreads = 2;
    Duration drainDelay{2'000}; // time within which the load balancer notices a failing /readyz
    Duration stopTimeout{20'000}; // longest time from SIGTERM to process exit
    LogLevel logLevel = LogLevel::Info;
    int64_t maxBodyBytes = 1 << 20;
    Duration requestReadTimeout{10'000};
    int maxConnections = 10'000;

    // Availability zone of this instance.
    const std::string &availabilityZone() const
    {
        return seats[static_cast<size_t>(seat)].availabilityZone;
    }

    // Parses and validates JSON with comments. Errors: InvalidArgument, as "FILE: KEY: reason" with
    // `file` as FILE.
    static Result<Settings> create(std::string_view text, std::string_view file);
};

// Reads and parses a file. Errors: NotFound if it cannot be read, InvalidArgument as
// Settings::create.
Result<Settings> readSettings(const std::string &file);

} // namespace cardamompaddle
