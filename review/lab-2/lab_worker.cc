#include "lab_worker.h"

#include "net/steady_clock.h"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <unistd.h>

namespace lab {

namespace json = boost::json;
using cardamompaddle::emulator::StartReply;

namespace {

constexpr size_t MaxListedEnds = 500;
constexpr Duration MaxPollWait{2'000};
constexpr const char *InstanceHeader = "cardamompaddle-expected-instance";

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

json::object parseBody(const HttpRequest &request)
{
    boost::system::error_code ec;
    const json::value parsed = json::parse(request.body, ec);
    return !ec && parsed.is_object() ? parsed.as_object() : json::object();
}

} // namespace

// Returns a port that is free at present, below those that the system gives to outgoing
// connections: one of these could take it while the worker is down.
uint16_t freePort()
{
    constexpr int FirstPort = 10'000;
    constexpr int PortCount = 9'000;
    static int next = (::getpid() * 97) % PortCount;
    boost::asio::io_context io;
    for (int i = 0; i < PortCount; ++i) {
        const auto port = static_cast<uint16_t>(FirstPort + next);
        next = (next + 1) % PortCount;
        boost::system::error_code ec;
        boost::asio::ip::tcp::acceptor acceptor(io);
        acceptor.open(boost::asio::ip::tcp::v4(), ec);
        acceptor.bind({boost::asio::ip::address_v4::loopback(), port}, ec);
        if (!ec)
            return port;
    }
    return 0;
}

Instant now()
{
    return cardamompaddle::SteadyClock().now();
}

int64_t unixNow()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

LabWorker::LabWorker(boost::asio::io_context &io, WorkerSpec spec,
                     cardamompaddle::emulator::WorkerModelOptions options)
    : m_io(io), m_spec(std::move(spec)), m_model(std::move(options), now()), m_port(freePort())
{
    open();
}

void LabWorker::open()
{
    auto life = std::make_shared<Life>();
    cardamompaddle::HttpServerOptions options;
    options.address = address();
    auto server = HttpServer::create(
        m_io, options,
        [this, it = life.get()](const HttpRequest &request, const HttpRespond &done) {
            handle(*it, request, done);
        });
    if (!server) {
        throw std::runtime_error(server.error().reason);
    }
    life->server = std::move(*server);
    m_port = life->server->port();
    m_lives.push_back(std::move(life));
    m_bornUnixMs = unixNow();
    m_up = true;
}

void LabWorker::crash(bool silent)
{
    if (!m_up)
        return;
    m_up = false;
    Life &life = *m_lives.back();
    life.over = true;
    for (Poll &it : m_polls)
        life.held.push_back(std::move(it.respond));
    m_polls.clear();
    m_model.crash(now());
    if (!silent)
        life.server.reset();
}

void LabWorker::restart()
{
    if (m_up)
        return;
    Life &life = *m_lives.back();
    life.answersReset = true;
    if (life.server)
        life.server->stopAccepting();
    m_sequence = 0;
    m_model.restart(m_spec.id, now());
    open();
}

void LabWorker::handle(Life &life, const HttpRequest &request, const HttpRespond &respond)
{
    if (life.answersReset) {
        HttpResponse closed;
        closed.status = 0; // the connection ends without a response
        return respond(closed);
    }
    if (life.over || m_cutOff)
        return life.held.push_back(respond);
    const auto expected = request.headers.find(InstanceHeader);
    if (expected != request.headers.end() && expected->second != m_model.id())
        return respond(answer(421));
    const json::object body = parseBody(request);
    if (!m_model.acceptsToken(number(body, "FencingToken")))
        return respond(answer(409, "fence"));
    if (request.path == "/cardamompaddle/hold")
        return hold(body, respond);
    respond(order(request.path, body));
}

void LabWorker::hold(const json::object &body, const HttpRespond &respond)
{
    m_model.extendLease(number(body, "UntilMs"), now());
    m_model.acknowledge(number(body, "AckPosition"), now());
    const Duration wait = std::min(Duration(number(body, "WaitMs")), MaxPollWait);
    if (!m_model.ends().empty() || wait <= Duration::zero())
        return respond(report());
    m_polls.push_back({now() + wait, respond});
}

HttpResponse LabWorker::order(const std::string &path, const json::object &body)
{
    const std::string task = text(body, "Task");
    const int64_t run = number(body, "Run");
    if (task.empty() || run <= 0)
        return answer(400);
    if (path == "/cardamompaddle/run-stop") {
        m_model.stop(task, run, now());
        return answer(200);
    }
    if (path == "/cardamompaddle/pace")
        return answer(200);
    if (path != "/cardamompaddle/run-start")
        return answer(404);
    switch (m_model.start(task, run, number(body, "UntilMs"), now())) {
    case StartReply::Started:
        return answer(200);
    case StartReply::OldRun:
        return answer(409, "old");
    case StartReply::LeaseTooShort:
        return answer(409, "late");
    default:
        return answer(409, "fence");
    }
}

void LabWorker::advance()
{
    if (!m_up)
        return;
    m_model.advance(now());
    if (m_cutOff)
        return;
    const bool hasEnds = !m_model.ends().empty();
    m_polls.remove_if([this, hasEnds](const Poll &it) {
        const bool due = hasEnds || now() >= it.until;
        if (due)
            it.respond(report());
        return due;
    });
}

HttpResponse LabWorker::answer(int status, const std::string &reason) const
{
    json::object body{{"ClockMs", m_model.clockMs(now())}};
    if (!reason.empty())
        body["Reason"] = reason;
    HttpResponse out;
    out.status = status;
    out.body = json::serialize(body);
    return out;
}

HttpResponse LabWorker::report() const
{
    json::array running;
    for (const auto &[task, run] : m_model.runs()) {
        int64_t percent = 100;
        if (run.runTime && run.runTime->count() > 0)
            percent =
                std::min<int64_t>(99, (now() - run.startedAt).count() * 100 / run.runTime->count());
        running.push_back(json::array{task, run.number, "", percent, 0});
    }
    json::array ended;
    for (const auto &it : m_model.ends()) {
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

std::string LabWorker::entry()
{
    return json::serialize(json::object{
        {"Service", "s"},
        {"Address", address()},
        {"Zone", m_spec.zone},
        {"Version", "1"},
        {"Slots", 8},
        {"State", "ready"},
        {"ColdRemainingMs", 0},
        {"Sequence", ++m_sequence},
        {"Capacity", json::object{{"Cpu", m_spec.cpuMilli}, {"MemoryRequestMb", m_spec.memoryMb}}},
        {"Labels", json::array{json::string(m_spec.kind), json::string(m_spec.rack)}},
        {"born", m_bornUnixMs}});
}

} // namespace lab
