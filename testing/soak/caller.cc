#include "caller.h"

#include "net/http_types.h"
#include "net/steady_clock.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <array>
#include <cstdio>
#include <exception>
#include <memory>
#include <utility>

namespace cardamompaddle::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::use_awaitable;
using tcp = asio::ip::tcp;

namespace {

constexpr Duration ResponseTimeout{3'500}; // later than the deadline that is sent along
constexpr Duration ConnectTimeout{1'000};
constexpr int DeadlineMs = 3'000;
constexpr Duration RetryDelay{300};
constexpr int MaxTries = 12;
constexpr int MaxPipelined = 3;
constexpr Duration MaxThinkTime{120};
constexpr size_t RememberedJobs = 400;
constexpr double CancelInDoubtShare = 0.3;
constexpr int StatusRejected = 429; // for load
// Share of the callers that do not send a rejected job again.
constexpr double GiveUpRejectedShare = 0.5;

Instant now()
{
    return SteadyClock().now();
}

std::string stateOf(const std::string &body)
{
    boost::system::error_code ec;
    const json::value parsed = json::parse(body, ec);
    const json::object *object = ec ? nullptr : parsed.if_object();
    const json::value *state = object == nullptr ? nullptr : object->if_contains("State");
    return state != nullptr && state->is_string() ? std::string(state->as_string()) : "";
}

// The outcome of such a call is not known, so the same call is sent again.
bool isUnknown(int status)
{
    return status == 0 || status == 502 || status == 504;
}

// Closes a socket after a time, unless it is destroyed before.
class SocketTimeout
{
public:
    SocketTimeout(asio::io_context &io, tcp::socket &socket, Duration wait)
        : m_timer(io, wait), m_state(std::make_shared<State>(State{&socket, false}))
    {
        m_timer.async_wait([state = m_state](const boost::system::error_code &ec) {
            boost::system::error_code ignored;
            if (ec || state->socket == nullptr)
                return;
            state->fired = true;
            state->socket->close(ignored);
        });
    }
    ~SocketTimeout() { m_state->socket = nullptr; }
    SocketTimeout(const SocketTimeout &) = delete;
    SocketTimeout &operator=(const SocketTimeout &) = delete;
    bool fired() const { return m_state->fired; }

private:
    struct State
    {
        tcp::socket *socket; // null: the timeout is not wanted any more
        bool fired;
    };
    asio::steady_timer m_timer;
    std::shared_ptr<State> m_state;
};

} // namespace

Caller::Caller(CallerContext &context, int number, uint64_t seed)
    : m_context(context), m_number(number), m_random(seed), m_socket(context.io),
      m_thinkTimer(context.io)
{ }

bool Caller::chance(double probability)
{
    return std::uniform_real_distribution<>()(m_random) < probability;
}

asio::awaitable<void> Caller::pause(Duration wait)
{
    asio::steady_timer timer(m_context.io, wait);
    co_await timer.async_wait(use_awaitable);
}

void Caller::start()
{
    if (m_context.stopped) {
        boost::system::error_code ec;
        m_socket.close(ec);
        m_ended = true;
        return;
    }
    asio::co_spawn(m_context.io, (this->*nextAction())(), [this](const std::exception_ptr &error) {
        if (error)
            std::rethrow_exception(error);
        m_thinkTimer.expires_after(
            Duration(static_cast<int64_t>(m_random() % MaxThinkTime.count())));
        m_thinkTimer.async_wait([this](const boost::system::error_code &ec) {
            if (!ec)
                start();
        });
    });
}

Caller::Action Caller::nextAction()
{
    if (m_jobs.empty() || chance(0.3))
        return &Caller::submit;
    return chance(0.04) ? &Caller::cancel : &Caller::askSeveral;
}

asio::awaitable<bool> Caller::connect()
{
    const auto target = m_context.target(m_random());
    if (!target)
        co_return false;
    HostPort address;
    parseHostPort(target->address, address);
    m_socket = tcp::socket(m_context.io);
    const SocketTimeout timeout(m_context.io, m_socket, ConnectTimeout);
    boost::system::error_code ec;
    co_await m_socket.async_connect({asio::ip::make_address(address.host), address.port},
                                    asio::redirect_error(use_awaitable, ec));
    if (ec)
        co_return false;
    m_socket.set_option(tcp::no_delay(true), ec);
    m_instance = target->instance;
    m_readAhead.clear();
    co_return true;
}

std::string Caller::message(const Request &request) const
{
    static constexpr std::array<const char *, 3> Methods = {"POST", "GET", "DELETE"};
    const std::string &prefix =
        needsApproval(request.job) ? m_context.approvedPathPrefix : m_context.pathPrefix;
    return std::string(Methods[static_cast<size_t>(request.kind)]) + " " + prefix + request.job
           + " HTTP/1.1\r\nHost: " + m_context.host + "\r\nAuthorization: Bearer " + request.key
           + "\r\nCardamompaddle-Deadline-Milliseconds: " + std::to_string(DeadlineMs)
           + "\r\nContent-Type: application/json\r\nContent-Length: "
           + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
}

asio::awaitable<std::vector<CallRecord>> Caller::exchange(std::vector<Request> requests)
{
    std::vector<CallRecord> out(requests.size());
    std::string bytes;
    for (size_t i = 0; i < requests.size(); ++i) {
        out[i].kind = requests[i].kind;
        out[i].job = requests[i].job;
        out[i].key = requests[i].key;
        out[i].sentAt = now();
        bytes += message(requests[i]);
    }
    if (m_instance.empty() && !co_await connect())
        co_return std::vector<CallRecord>();
    for (CallRecord &it : out)
        it.instance = m_instance;
    const SocketTimeout timeout(m_context.io, m_socket, ResponseTimeout);
    boost::system::error_code ec;
    co_await asio::async_write(m_socket, asio::buffer(bytes),
                               asio::redirect_error(use_awaitable, ec));
    const Instant sentAt = now();
    boost::beast::flat_buffer buffer;
    asio::buffer_copy(buffer.prepare(m_readAhead.size()), asio::buffer(m_readAhead));
    buffer.commit(m_readAhead.size());
    bool open = true;
    for (CallRecord &it : out) {
        it.sentAt = sentAt;
        http::response<http::string_body> response;
        // A server that closes may still have sent responses.
        if (open)
            co_await http::async_read(m_socket, buffer, response,
                                      asio::redirect_error(use_awaitable, ec));
        const bool complete = open && !ec;
        it.endedAt = now();
        it.timedOut = timeout.fired();
        it.status = complete ? static_cast<int>(response.result_int()) : 0;
        it.state = complete && it.kind == CallKind::State ? stateOf(response.body()) : "";
        // What a client sends after this response is not handled, so it counts as not sent.
        const bool announced = complete && !response.keep_alive();
        open = complete && response.keep_alive();
        m_counters.unanswered += it.status == 0 ? 1 : 0;
        m_context.oracle.called(it);
        if (announced) {
            out.resize(static_cast<size_t>(&it - out.data()) + 1);
            break;
        }
    }
    m_readAhead.assign(static_cast<const char *>(buffer.data().data()), buffer.size());
    if (!open) {
        m_instance.clear();
        m_socket.close(ec);
    }
    co_return out;
}

asio::awaitable<void> Caller::submit()
{
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%04x%012x", m_number, ++m_submissions);
    const JobPlan plan = makeJobPlan(id.data(), m_random, m_context.gangs);
    m_context.oracle.planned(plan);
    const Request request{CallKind::Submit, plan.id, m_context.key(m_random()), submissionOf(plan)};
    ++m_counters.submitted;
    bool accepted = false;
    for (int i = 0; i < MaxTries && !accepted; ++i) {
        std::vector<Request> requests{request};
        // The next request is on its way before the response to this one.
        while (!m_jobs.empty() && requests.size() < MaxPipelined && chance(0.3))
            requests.push_back(stateRequest());
        const auto records = co_await exchange(std::move(requests));
        const int status = records.empty() ? 0 : records.front().status;
        accepted = status >= 200 && status < 300;
        // A refusal for load is final also if an earlier attempt has got no answer. A later attempt
        // may be accepted.
        const bool rejected = status == StatusRejected && chance(GiveUpRejectedShare);
        if (!accepted && ((!isUnknown(status) && i == 0) || rejected))
            co_return m_context.oracle.refused(request.job);
        if (!accepted)
            co_await pause(RetryDelay);
        // Some callers give the job up, though it may have been stored or may still be.
        if (!accepted && chance(CancelInDoubtShare))
            co_return co_await cancelJob(request.job);
    }
    if (!accepted)
        co_return co_await cancelJob(request.job);
    ++m_counters.accepted;
    m_jobs.push_back(request.job);
    if (m_jobs.size() > RememberedJobs)
        m_jobs.erase(m_jobs.begin());
    // The same request may come again after its success.
    if (chance(0.03)) {
        co_await pause(Duration(1'500));
        std::vector<Request> again{request};
        co_await exchange(std::move(again));
    }
}

std::string Caller::randomJob()
{
    return m_jobs[m_random() % m_jobs.size()];
}

Caller::Request Caller::stateRequest()
{
    return {CallKind::State, randomJob(), m_context.key(m_random()), ""};
}

asio::awaitable<void> Caller::askSeveral()
{
    std::vector<Request> requests{stateRequest()};
    while (requests.size() < MaxPipelined && chance(0.3))
        requests.push_back(stateRequest());
    m_counters.states += requests.size();
    co_await exchange(std::move(requests));
}

asio::awaitable<void> Caller::cancel()
{
    const std::string job = randomJob();
    std::erase(m_jobs, job);
    co_await cancelJob(job);
}

asio::awaitable<void> Caller::cancelJob(std::string job)
{
    m_context.oracle.cancelling(job);
    for (int i = 0; i < MaxTries; ++i) {
        std::vector<Request> requests{{CallKind::Cancel, job, m_context.key(m_random()), ""}};
        const auto records = co_await exchange(std::move(requests));
        const int status = records.empty() ? 0 : records.front().status;
        if (status == 410 || (status >= 200 && status < 300))
            co_return;
        co_await pause(RetryDelay);
    }
}

asio::awaitable<void> Caller::askState(std::string job, int tries)
{
    for (int i = 0; i < tries; ++i) {
        std::vector<Request> requests{{CallKind::State, job, m_context.key(m_random()), ""}};
        const auto records = co_await exchange(std::move(requests));
        const int status = records.empty() ? 0 : records.front().status;
        if (status == 200 || status == 410)
            co_return;
        co_await pause(RetryDelay);
    }
    m_context.oracle.unanswered(job, now());
}

} // namespace cardamompaddle::soak
