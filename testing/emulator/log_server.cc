#include "log_server.h"

#include "log_client.h"
#include "net/steady_clock.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace cardamompaddle::emulator {

namespace json = boost::json;

namespace {

// An append that would wait longer is refused.
constexpr Duration MaxAppendWait{2'000};
constexpr int64_t DefaultReadKilobytes = 1'024;
constexpr Duration MaxReadWait{30'000};

std::string queryText(const HttpRequest &request, const std::string &name)
{
    const auto it = request.query.find(name);
    return it == request.query.end() ? "" : it->second;
}

int64_t queryNumber(const HttpRequest &request, const std::string &name, int64_t defaultValue)
{
    const std::string text = queryText(request, name);
    std::from_chars(text.data(), text.data() + text.size(), defaultValue);
    return defaultValue;
}

HttpResponse jsonResponse(int status, const json::object &body)
{
    HttpResponse out;
    out.status = status;
    out.body = json::serialize(body);
    return out;
}

std::string bigEndian(int64_t value)
{
    std::string out(sizeof(value), '\0');
    for (size_t i = 0; i < out.size(); ++i)
        out[out.size() - 1 - i] = static_cast<char>(value >> (8 * i));
    return out;
}

std::string base64(const std::string &bytes)
{
    using namespace boost::archive::iterators;
    using Sextets = base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
    const std::string padding((3 - bytes.size() % 3) % 3, '=');
    return std::string(Sextets(bytes.begin()), Sextets(bytes.end())) + padding;
}

Instant now()
{
    return SteadyClock().now();
}

} // namespace

LogServer::LogServer(boost::asio::io_context &io, const PlatformEmulatorOptions &options)
    : m_io(io), m_readAnswerTime(options.readAnswerTime), m_appendTime(options.appendTime),
      m_model(LogLimits{}), m_random(options.seed)
{ }

LogServer::~LogServer()
{
    *m_alive = false;
}

Result<std::unique_ptr<LogServer>> LogServer::create(boost::asio::io_context &io,
                                                     const PlatformEmulatorOptions &options)
{
    std::unique_ptr<LogServer> out(new LogServer(io, options));
    HttpServerOptions server;
    server.address = "127.0.0.1:0";
    server.maxBodyBytes = 2 * LogLimits{}.maxAppendBytes;
    auto created = HttpServer::create(
        io, server, [self = out.get()](const HttpRequest &request, const HttpRespond &respond) {
            self->handle(request, respond);
        });
    if (!created)
        return created.error();
    out->m_server = std::move(*created);
    return out;
}

std::string LogServer::address() const
{
    return "127.0.0.1:" + std::to_string(m_server->port());
}

void LogServer::runAfter(Duration wait, std::function<void()> function)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, wait);
    timer->async_wait([timer, alive = m_alive,
                       function = std::move(function)](const boost::system::error_code &) {
        if (*alive)
            function();
    });
}

void LogServer::put(const std::string &topic, const std::string &key, const std::string &value)
{
    m_model.append(topic, {{key, value, value.empty(), 0}}, std::nullopt, std::nullopt);
    advance(now());
}

void LogServer::handle(const HttpRequest &request, const HttpRespond &respond)
{
    runAfter(m_readAnswerTime + m_faults.delay,
             [this, request, respond] { carryOut(request, respond); });
}

void LogServer::carryOut(const HttpRequest &request, const HttpRespond &respond)
{
    if (answerByFault(respond))
        return;
    if (request.path.ends_with("/log-append"))
        return append(request, respond);
    if (request.path.ends_with("/log-read"))
        return read(request, respond);
    if (request.path.ends_with("/log-newest"))
        return respond(newest(request));
    respond(jsonResponse(404, {}));
}

bool LogServer::answerByFault(const HttpRespond &respond)
{
    if (m_faults.silent)
        m_unanswered.push_back(respond);
    else if (m_faults.resets || m_faults.busy)
        respond(jsonResponse(m_faults.resets ? 0 : 503, {}));
    else
        return false;
    return true;
}

void LogServer::append(const HttpRequest &request, const HttpRespond &respond)
{
    constexpr size_t OffsetsBytes = 16;
    const std::string topicName = queryText(request, "Topic");
    if (topicName == topic::Operators || topicName == topic::Registry)
        return respond(jsonResponse(403, {}));
    if (!m_faults.silentTopic.empty() && topicName == m_faults.silentTopic)
        return m_unanswered.push_back(respond);
    const auto decoded = decodeSlice(std::string(OffsetsBytes, '\0') + request.body, 0);
    if (!decoded)
        return respond(jsonResponse(400, {}));
    Instant &busyUntil = m_busyUntil[topicName];
    if (busyUntil - now() > MaxAppendWait)
        return respond(jsonResponse(503, {}));
    busyUntil = std::max(busyUntil, now()) + m_appendTime;
    const bool lost = std::uniform_real_distribution<>()(m_random) < m_faults.lostAnswerShare;
    const Duration late = lost ? m_faults.lostAppendDelay : Duration::zero();
    runAfter(busyUntil - now() + late, [this, request, respond, lost, records = decoded->records] {
        HttpResponse response = store(request, records);
        advance(now());
        if (lost || m_faults.silent)
            m_unanswered.push_back(respond);
        else
            respond(std::move(response));
    });
}

HttpResponse LogServer::store(const HttpRequest &request, const std::vector<KeyedRecord> &records)
{
    std::optional<int64_t> expectedEnd;
    if (request.query.contains("At"))
        expectedEnd = queryNumber(request, "At", 0);
    std::optional<Producer> producer;
    if (request.query.contains("Producer"))
        producer = Producer{queryText(request, "Producer"), queryNumber(request, "epoch", 0),
                            queryNumber(request, "Sequence", 0)};
    const AppendReply reply =
        m_model.append(queryText(request, "Topic"), records, expectedEnd, producer);
    switch (reply.status) {
    case AppendStatus::Stored:
        return jsonResponse(200, {{"Offset", reply.offset}, {"EndOffset", reply.end}});
    case AppendStatus::EndMoved:
        return jsonResponse(412, {{"EndOffset", reply.end}});
    case AppendStatus::Fenced:
        return jsonResponse(409, {{"Reason", "fenced"}});
    case AppendStatus::WrongSequence:
        return jsonResponse(409, {{"Reason", "seq"}, {"Sequence", reply.expectedSequence}});
    case AppendStatus::TooLarge:
        break;
    }
    return jsonResponse(413, {});
}

void LogServer::read(const HttpRequest &request, const HttpRespond &respond)
{
    WaitingRead read;
    read.topic = queryText(request, "Topic");
    read.from = queryNumber(request, "From", 0);
    read.maxBytes =
        static_cast<size_t>(queryNumber(request, "MaxKilobytes", DefaultReadKilobytes)) * 1'024;
    read.until = now() + std::min(Duration(queryNumber(request, "WaitMs", 0)), MaxReadWait);
    read.respond = respond;
    if (!answerRead(read, now()))
        m_waitingReads.push_back(std::move(read));
}

bool LogServer::answerRead(const WaitingRead &read, Instant now)
{
    const ReadReply reply = m_model.read(read.topic, read.from, read.maxBytes);
    if (reply.expired) {
        read.respond(jsonResponse(410, {{"EarliestOffset", reply.first}}));
        return true;
    }
    if (reply.slice.records.empty() && now < read.until)
        return false;
    HttpResponse out;
    out.contentType = "application/octet-stream";
    out.body =
        bigEndian(reply.slice.end) + bigEndian(reply.first) + encodeAppend(reply.slice.records);
    read.respond(std::move(out));
    return true;
}

void LogServer::advance(Instant now)
{
    for (auto it = m_waitingReads.begin(); it != m_waitingReads.end();) {
        const bool answered = answerByFault(it->respond) || answerRead(*it, now);
        it = answered ? m_waitingReads.erase(it) : std::next(it);
    }
}

HttpResponse LogServer::newest(const HttpRequest &request) const
{
    const auto page = m_model.newest(queryText(request, "Topic"), queryText(request, "After"));
    if (!page)
        return jsonResponse(404, {});
    json::array items;
    for (const KeyedRecord &it : page->records)
        items.push_back({{"Key", it.key}, {"Value", base64(it.value)}, {"Offset", it.offset}});
    json::object body{{"items", std::move(items)}, {"EndOffset", page->end}};
    if (page->more)
        body["HasMore"] = true;
    return jsonResponse(200, body);
}

} // namespace cardamompaddle::emulator
