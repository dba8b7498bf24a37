#include "worker_server.h"

#include "net/steady_clock.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace cardamompaddle::emulator {

namespace json = boost::json;

namespace {

constexpr size_t MaxListedEnds = 500;
constexpr int PercentAtWork = 100;
constexpr Duration MaxPollWait{2'000};
constexpr const char *IncarnationHeader = "cardamompaddle-expected-instance";

Instant now()
{
    return SteadyClock().now();
}

int64_t unixNow()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

json::object parseBody(const HttpRequest &request)
{
    boost::system::error_code ec;
    const json::value parsed = json::parse(request.body, ec);
    return !ec && parsed.is_object() ? parsed.as_object() : json::object();
}

int64_t number(const json::object &body, std::string_view name)
{
    const json::value *value = body.if_contains(name);
    boost::system::error_code ec;
    const int64_t out = value == nullptr ? 0 : value->to_number<int64_t>(ec);
    return ec ? 0 : out;
}

std::string text(const json::object &body, std::string_view name)
{
    const json::value *value = body.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

// The reason of a refused start, as in the protocol.
std::string startReason(StartReply reply)
{
    static constexpr std::array<const char *, 5> Reasons = {"", "fence", "old", "late", "ticket"};
    return Reasons[static_cast<size_t>(reply)];
}

} // namespace

WorkerServer::WorkerServer(boost::asio::io_context &io, WorkerModelOptions options, uint64_t seed)
    : m_io(io), m_model(std::move(options), now()), m_random(seed), m_bornUnixMs(unixNow())
{ }

WorkerServer::~WorkerServer()
{
    *m_alive = false;
}

Result<std::unique_ptr<WorkerServer>>
WorkerServer::create(boost::asio::io_context &io, WorkerModelOptions options, uint64_t seed)
{
    std::unique_ptr<WorkerServer> out(new WorkerServer(io, std::move(options), seed));
    if (const auto listening = out->listen("127.0.0.1:0"); !listening)
        return listening.error();
    return out;
}

Result<void> WorkerServer::listen(const std::string &address)
{
    HttpServerOptions options;
    options.address = address;
    auto created = HttpServer::create(
        m_io, options, [this](const HttpRequest &request, const HttpRespond &respond) {
            handle(request, respond);
        });
    if (!created)
        return created.error();
    m_server = std::move(*created);
    m_address = "127.0.0.1:" + std::to_string(m_server->port());
    return {};
}

void WorkerServer::crash(WorkerCrash how, Instant now)
{
    if (!m_up)
        return;
    m_up = false;
    m_silent = how == WorkerCrash::Silent;
    m_model.crash(now);
    for (WaitingPoll &it : m_waitingPolls)
        m_unanswered.push_back(std::move(it.respond));
    m_waitingPolls.clear();
    if (!m_silent)
        m_server.reset();
}

Result<void> WorkerServer::restart(const std::string &id, Instant now)
{
    m_server.reset();
    m_unanswered.clear();
    if (const auto listening = listen(id == m_model.id() ? m_address : "127.0.0.1:0"); !listening)
        return listening.error();
    m_model.restart(id, now);
    m_bornUnixMs = unixNow();
    m_up = true;
    m_silent = false;
    return {};
}

void WorkerServer::delayOrders(double share, Duration delay)
{
    m_delayedShare = share;
    m_orderDelay = delay;
}

HttpResponse WorkerServer::answer(int status, const std::string &reason) const
{
    json::object body{{"ClockMs", m_model.clockMs(now())}, {"born", m_bornUnixMs}};
    if (!reason.empty())
        body["Reason"] = reason;
    HttpResponse out;
    out.status = status;
    out.body = json::serialize(body);
    return out;
}

bool WorkerServer::admits(const HttpRequest &request, HttpResponse &refusal)
{
    const auto expected = request.headers.find(IncarnationHeader);
    const bool meant = expected == request.headers.end() || expected->second == m_model.id();
    if (!meant)
        refusal = answer(421);
    else if (!m_model.acceptsToken(number(parseBody(request), "FencingToken")))
        refusal = answer(409, "fence");
    else
        return true;
    return false;
}

void WorkerServer::handle(const HttpRequest &request, const HttpRespond &respond)
{
    if (m_silent || m_cutOff)
        return m_unanswered.push_back(respond);
    if (request.path.ends_with("/hold"))
        return poll(request, respond);
    if (std::uniform_real_distribution<>()(m_random) >= m_delayedShare)
        return respond(carryOutOrder(request));
    m_unanswered.push_back(respond);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, m_orderDelay);
    // A worker that is back under its id also carries out orders that its former life received.
    timer->async_wait([this, timer, alive = m_alive, id = m_model.id(),
                       request](const boost::system::error_code &) {
        if (*alive && m_up && m_model.id() == id)
            carryOutOrder(request);
    });
}

HttpResponse WorkerServer::carryOutOrder(const HttpRequest &request)
{
    HttpResponse refusal;
    if (!admits(request, refusal))
        return refusal;
    const json::object body = parseBody(request);
    const std::string task = text(body, "Task");
    const int64_t run = number(body, "Run");
    if (task.empty() || run <= 0)
        return answer(400);
    // The speed of a run is not modelled.
    const bool isPace = request.path.ends_with("/pace");
    const bool isStop = request.path.ends_with("/run-stop");
    if (isStop)
        m_model.stop(task, run, now());
    if (isStop || isPace)
        return answer(200);
    if (!request.path.ends_with("/run-start"))
        return answer(404);
    const StartReply reply =
        m_model.start(task, run, number(body, "UntilMs"), now(), text(body, "Ticket"));
    return reply == StartReply::Started ? answer(200) : answer(409, startReason(reply));
}

void WorkerServer::poll(const HttpRequest &request, const HttpRespond &respond)
{
    HttpResponse refusal;
    if (!admits(request, refusal))
        return respond(std::move(refusal));
    const json::object body = parseBody(request);
    ++m_pollCount;
    m_model.extendLease(number(body, "UntilMs"), now());
    m_model.acknowledge(number(body, "AckPosition"), now());
    const Duration wait = std::min(Duration(number(body, "WaitMs")), MaxPollWait);
    if (!m_model.ends().empty() || wait <= Duration::zero())
        return respond(report());
    m_waitingPolls.push_back({now() + wait, respond});
}

void WorkerServer::advance(Instant now)
{
    if (!m_up)
        return;
    m_model.advance(now);
    const bool hasEnds = !m_model.ends().empty();
    if (m_cutOff)
        return;
    m_waitingPolls.remove_if([this, hasEnds, now](const WaitingPoll &it) {
        const bool due = hasEnds || now >= it.until;
        if (due)
            it.respond(report());
        return due;
    });
}

HttpResponse WorkerServer::report() const
{
    json::array running;
    for (const auto &[task, run] : m_model.runs()) {
        const auto began = m_model.workBegan(task, run);
        int64_t percent = began ? PercentAtWork : 0;
        if (began && run.runTime)
            percent = std::min<int64_t>(99, (now() - *began).count() * 100 / run.runTime->count());
        running.push_back(json::array{task, run.number, "", percent, 0});
    }
    json::array ended;
    for (const ModelledEnd &it : m_model.ends()) {
        if (ended.size() < MaxListedEnds)
            ended.push_back(json::array{it.position, it.task, it.run, it.how, ""});
    }
    json::object body{{"ClockMs", m_model.clockMs(now())}, {"born", m_bornUnixMs}};
    if (!running.empty())
        body["Running"] = std::move(running);
    if (!ended.empty())
        body["Ended"] = std::move(ended);
    HttpResponse out;
    out.body = json::serialize(body);
    return out;
}

} // namespace cardamompaddle::emulator
