#include "standins/log_standin.h"

#include <boost/json.hpp>

#include <charconv>
#include <optional>
#include <utility>

namespace cardamompaddle {
namespace {

namespace json = boost::json;

constexpr size_t DefaultMaxRecords = 1000;

HttpResponse rejection(ErrorCode code, std::string reason)
{
    return errorResponse({code, std::move(reason)}, Executed::No);
}

// The numeric query parameter `name`, or `defaultValue` if it is absent; empty if it is malformed.
std::optional<uint64_t> queryNumber(const HttpRequest &request, const std::string &name,
                                    uint64_t defaultValue)
{
    const auto it = request.query.find(name);
    if (it == request.query.end())
        return defaultValue;
    uint64_t value = 0;
    const char *end = it->second.data() + it->second.size();
    const auto [ptr, ec] = std::from_chars(it->second.data(), end, value);
    return ec == std::errc() && ptr == end ? std::optional(value) : std::nullopt;
}

// The stream name S of a path /streams/S/records; empty for any other path.
std::optional<std::string> streamFromPath(const std::string &path)
{
    constexpr std::string_view Prefix = "/streams/";
    constexpr std::string_view Suffix = "/records";
    if (path.size() <= Prefix.size() + Suffix.size() || !path.starts_with(Prefix)
        || !path.ends_with(Suffix))
        return std::nullopt;
    return path.substr(Prefix.size(), path.size() - Prefix.size() - Suffix.size());
}

} // namespace

void LogStandin::handle(const HttpRequest &request, const Respond &respond)
{
    const std::lock_guard lock(m_mutex);
    if (request.path == "/control" && request.method == "POST")
        return respond(handleControl(request.body));
    const auto stream = streamFromPath(request.path);
    if (!stream)
        return respond(rejection(ErrorCode::NotFound, "unknown path"));
    if (m_outage)
        return respondAfterLatency(respond, rejection(ErrorCode::Unavailable, "outage"));
    if (request.method == "POST")
        return handleAppend(*stream, request, respond);
    if (request.method == "GET")
        return handleRead(*stream, request, respond);
    respond(rejection(ErrorCode::InvalidArgument, "method must be GET or POST"));
}

HttpResponse LogStandin::handleControl(const std::string &body)
{
    JsonMembers members(body);
    const bool outage = members.flag("outage", m_outage);
    const int64_t responsesToLose = members.number("lose_answers", m_responsesToLose);
    const int64_t latency = members.number("latency_ms", m_latency.count());
    const int64_t records = members.number("retention_records", -1);
    const int64_t age = members.number("retention_ms", -1);
    if (!members.ok())
        return rejection(ErrorCode::InvalidArgument, "malformed control message");
    m_outage = outage;
    m_responsesToLose = responsesToLose;
    m_latency = Duration(latency);
    if (records >= 0)
        m_model.setRetentionRecords(static_cast<size_t>(records));
    if (age >= 0)
        m_model.setRetentionAge(Duration(age));
    if (m_outage)
        answerHeldReads([](const HeldRead &) { return true; });
    return {200, "{}"};
}

void LogStandin::handleAppend(const std::string &stream, const HttpRequest &request,
                              const Respond &respond)
{
    const uint64_t offset = m_model.append(stream, request.body, m_clock.now());
    answerHeldReads(
        [&](const HeldRead &read) { return read.stream == stream && read.from <= offset; });
    if (m_responsesToLose > 0) {
        --m_responsesToLose;
        return respondAfterLatency(respond, {0, {}, {}});
    }
    respondAfterLatency(respond, {200, json::serialize(json::object{{"offset", offset}})});
}

void LogStandin::handleRead(const std::string &stream, const HttpRequest &request,
                            const Respond &respond)
{
    const auto from = queryNumber(request, "from", 0);
    const auto max = queryNumber(request, "max", DefaultMaxRecords);
    const auto wait = queryNumber(request, "wait_ms", 0);
    if (!from || !max || !wait)
        return respond(
            rejection(ErrorCode::InvalidArgument, "malformed number in the query string"));
    bool expired = false;
    const LogPage now = m_model.read(stream, *from, 0, m_clock.now(), expired);
    if (*wait == 0 || expired || *from < now.next)
        return respondAfterLatency(respond, readResponse(stream, *from, *max));
    const uint64_t id = ++m_lastReadId;
    m_heldReads.push_back({id, stream, *from, *max, respond});
    m_timers.runAfter(Duration(*wait), [this, id] {
        const std::lock_guard lock(m_mutex);
        answerHeldReads([id](const HeldRead &read) { return read.id == id; });
    });
}

HttpResponse LogStandin::readResponse(const std::string &stream, uint64_t from, size_t max)
{
    if (m_outage)
        return rejection(ErrorCode::Unavailable, "outage");
    bool expired = false;
    const LogPage page = m_model.read(stream, from, max, m_clock.now(), expired);
    json::array records;
    for (const LogRecord &it : page.records)
        records.push_back(json::object{{"offset", it.offset}, {"data", it.data}});
    const json::object body{
        {"first", page.first}, {"next", page.next}, {"records", std::move(records)}};
    return {expired ? 410 : 200, json::serialize(body)};
}

void LogStandin::answerHeldReads(const std::function<bool(const HeldRead &)> &isDue)
{
    for (auto it = m_heldReads.begin(); it != m_heldReads.end();) {
        if (!isDue(*it)) {
            ++it;
            continue;
        }
        respondAfterLatency(it->respond, readResponse(it->stream, it->from, it->max));
        it = m_heldReads.erase(it);
    }
}

void LogStandin::respondAfterLatency(const Respond &respond, HttpResponse response)
{
    if (m_latency == Duration(0))
        return respond(std::move(response));
    m_timers.runAfter(m_latency, [respond, response = std::move(response)] { respond(response); });
}

} // namespace cardamompaddle
