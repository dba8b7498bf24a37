#include "settings/settings.h"

#include "config/json_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <iterator>
#include <utility>

namespace cardamompaddle {
namespace {

constexpr size_t MaxSeats = 64;

constexpr std::array<std::pair<LogLevel, std::string_view>, 4> LogLevelNames = {{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warn, "warn"},
    {LogLevel::Error, "error"},
}};

bool isIpAddress(const std::string &text, int family)
{
    std::array<unsigned char, sizeof(in6_addr)> buf{};
    return inet_pton(family, text.c_str(), buf.data()) == 1;
}

// Whether port 0, which selects any free port, is allowed.
enum class PortRule { AllowZero, NonZero };

Endpoint readEndpoint(JsonObject &row, std::string_view key, PortRule rule)
{
    const auto endpoint = Endpoint::parse(row.text(key));
    if (!endpoint.ok()) {
        row.fail(key, endpoint.error().reason);
        return {};
    }
    if (rule == PortRule::NonZero && endpoint->port == 0)
        row.fail(key, "the port must not be 0");
    return *endpoint;
}

void readSeats(JsonObject &document, Settings &settings)
{
    document.forEach("seats", true, [&](JsonObject &row) {
        SeatSettings seat;
        seat.availabilityZone = row.name("availability_zone");
        seat.peer = readEndpoint(row, "peer", PortRule::NonZero);
        row.finish();
        const auto same = std::find_if(settings.seats.begin(), settings.seats.end(),
                                       [&](const auto &it) { return it.peer == seat.peer; });
        if (same != settings.seats.end())
            row.fail("peer", "duplicate address " + seat.peer.toString());
        settings.seats.push_back(std::move(seat));
    });
    if (settings.seats.empty() || settings.seats.size() > MaxSeats)
        document.fail("seats", "must have 1 to " + std::to_string(MaxSeats) + " entries");
    const auto last = static_cast<int64_t>(settings.seats.size()) - 1;
    settings.seat = static_cast<SeatId>(document.integer("seat", 0, std::max<int64_t>(last, 0)));
}

void readListen(JsonObject row, Settings &settings)
{
    settings.listenCallers = readEndpoint(row, "callers", PortRule::AllowZero);
    settings.listenOperators = readEndpoint(row, "operators", PortRule::AllowZero);
    settings.listenPeers = readEndpoint(row, "peers", PortRule::NonZero);
    row.finish();
}

void readPlatform(JsonObject row, Settings &settings)
{
    settings.log = readEndpoint(row, "log", PortRule::NonZero);
    settings.instanceList = readEndpoint(row, "instance_list", PortRule::NonZero);
    row.finish();
}

void readLimits(JsonObject row, Settings &settings)
{
    settings.maxBodyBytes = row.integerOr("max_body_bytes", settings.maxBodyBytes, 1'024, 64 << 20);
    settings.requestReadTimeout = Duration(row.integerOr(
        "request_read_timeout_ms", settings.requestReadTimeout.count(), 100, 600'000));
    settings.maxConnections =
        static_cast<int>(row.integerOr("max_connections", settings.maxConnections, 1, 1'000'000));
    row.finish();
}

void readOperatorToken(JsonObject &document, Settings &settings)
{
    settings.operatorTokenSha256 = document.text("operator_token_sha256");
    if (settings.operatorTokenSha256.size() != 64
        || settings.operatorTokenSha256.find_first_not_of("0123456789abcdef") != std::string::npos)
        document.fail("operator_token_sha256", "must be 64 lower-case hexadecimal digits");
}

void readLogLevel(JsonObject &document, Settings &settings)
{
    const std::string name =
        document.textOr("log_level", std::string(logLevelName(settings.logLevel)));
    const auto it = std::find_if(LogLevelNames.begin(), LogLevelNames.end(),
                                 [&](const auto &entry) { return entry.second == name; });
    if (it == LogLevelNames.end())
        document.fail("log_level", "must be one of debug, info, warn, error");
    else
        settings.logLevel = it->first;
}

bool isWildcard(const Endpoint &endpoint)
{
    return endpoint.address == "0.0.0.0" || endpoint.address == "::";
}

// True if one process cannot listen on both addresses.
bool conflicts(const Endpoint &a, const Endpoint &b)
{
    return a.port != 0 && a.port == b.port
           && (a.address == b.address || isWildcard(a) || isWildcard(b));
}

// Checks the rules that involve several settings.
void checkConsistency(JsonObject &document, const Settings &settings)
{
    const Endpoint &seatAddress = settings.seats[static_cast<size_t>(settings.seat)].peer;
    if (settings.listenPeers != seatAddress) {
        document.fail("listen.peers", "must be " + seatAddress.toString() + ", the address of seat "
                                          + std::to_string(settings.seat));
    }
    if (conflicts(settings.listenOperators, settings.listenCallers))
        document.fail("listen.operators", "conflicts with the address of listen.callers");
    if (conflicts(settings.listenCallers, settings.listenPeers))
        document.fail("listen.callers", "conflicts with the address of listen.peers");
    if (conflicts(settings.listenOperators, settings.listenPeers))
        document.fail("listen.operators", "conflicts with the address of listen.peers");
    if (settings.stopTimeout <= settings.drainDelay)
        document.fail("stop_bound_ms", "must be longer than drain_delay_ms");
}

} // namespace

std::string Endpoint::toString() const
{
    const bool v6 = address.find(':') != std::string::npos;
    return (v6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
}

Result<Endpoint> Endpoint::parse(std::string_view text)
{
    const Error malformed{ErrorCode::InvalidArgument, "must be IP:PORT or [IP]:PORT"};
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return malformed;
    Endpoint result;
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, ec] =
        std::from_chars(digits.data(), digits.data() + digits.size(), result.port);
    if (ec != std::errc() || end != digits.data() + digits.size())
        return malformed;
    std::string_view host = text.substr(0, colon);
    const bool v6 = host.starts_with('[') && host.ends_with(']');
    if (v6)
        host = host.substr(1, host.size() - 2);
    result.address = host;
    if (result.address.find('\0') != std::string::npos
        || !isIpAddress(result.address, v6 ? AF_INET6 : AF_INET))
        return malformed;
    return result;
}

std::string_view logLevelName(LogLevel level)
{
    const auto it = std::find_if(LogLevelNames.begin(), LogLevelNames.end(),
                                 [level](const auto &entry) { return entry.first == level; });
    return it == LogLevelNames.end() ? std::string_view("unknown") : it->second;
}

Result<Settings> Settings::create(std::string_view text, std::string_view file)
{
    const auto fileError = [&](const Error &error) {
        return Error{error.code, std::string(file) + ": " + error.reason};
    };
    const auto value = parseStrictJson(text);
    if (!value.ok())
        return fileError(value.error());
    JsonErrors errors;
    JsonObject document(*value, "", errors);
    Settings settings;
    settings.cell = document.name("cell");
    readSeats(document, settings);
    readListen(document.object("listen"), settings);
    readPlatform(document.object("platform"), settings);
    readOperatorToken(document, settings);
    settings.trafficThreads =
        static_cast<int>(document.integerOr("traffic_threads", settings.trafficThreads, 1, 64));
    settings.drainDelay =
        Duration(document.integerOr("drain_delay_ms", settings.drainDelay.count(), 0, 60'000));
    settings.stopTimeout =
        Duration(document.integerOr("stop_bound_ms", settings.stopTimeout.count(), 100, 600'000));
    readLogLevel(document, settings);
    if (document.has("limits"))
        readLimits(document.object("limits"), settings);
    document.finish();
    if (errors.ok())
        checkConsistency(document, settings);
    if (!errors.ok())
        return fileError(errors.error());
    return settings;
}

Result<Settings> readSettings(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    const std::string text((std::istreambuf_iterator<char>(stream)), {});
    if (!stream)
        return Error{ErrorCode::NotFound, file + ": cannot be read"};
    return Settings::create(text, file);
}

} // namespace cardamompaddle
