// One caller: hands in jobs, asks for their states and cancels some, over a connection that it
// keeps until that ends, and repeats what got no answer.
#pragma once

#include "base/time.h"
#include "oracle.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cardamompaddle::soak {

struct Target
{
    std::string instance;
    std::string address; // IP:PORT
};

// What callers share.
struct CallerContext
{
    boost::asio::io_context &io;
    Oracle &oracle;
    std::string host; // of the route
    std::string pathPrefix; // of the route
    std::string approvedPathPrefix; // of the route with a policy service
    // Chooses an instance for a new connection; none if none is in rotation.
    std::function<std::optional<Target>(uint64_t random)> target;
    std::function<std::string(uint64_t random)> key; // one that callers use at present
    GangSizes gangs;
    bool stopped = false; // callers hand in nothing more and end
};

struct CallerCounters
{
    size_t submitted = 0;
    size_t accepted = 0;
    size_t states = 0;
    size_t unanswered = 0;
};

class Caller
{
public:
    Caller(CallerContext &context, int number, uint64_t seed);
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    // Sends requests, one action after the other, until the context is stopped.
    void start();
    // Asks for the state of a job at any instance until there is an answer that says something or
    // `tries` are used up.
    boost::asio::awaitable<void> askState(std::string job, int tries);
    bool hasEnded() const { return m_ended; }
    const CallerCounters &counters() const { return m_counters; }

private:
    using Action = boost::asio::awaitable<void> (Caller::*)();

    struct Request
    {
        CallKind kind = CallKind::State;
        std::string job;
        std::string key;
        std::string body;
    };

    // Chooses what to do next.
    Action nextAction();
    boost::asio::awaitable<bool> connect();
    // Sends all requests at once on the connection and returns what became of each.
    boost::asio::awaitable<std::vector<CallRecord>> exchange(std::vector<Request> requests);
    boost::asio::awaitable<void> submit();
    boost::asio::awaitable<void> cancel();
    // Cancels the job, again while there is no answer.
    boost::asio::awaitable<void> cancelJob(std::string job);
    boost::asio::awaitable<void> askSeveral();
    boost::asio::awaitable<void> pause(Duration wait);
    std::string message(const Request &request) const;
    Request stateRequest();
    std::string randomJob();
    bool chance(double probability);

    CallerContext &m_context;
    int m_number;
    std::mt19937_64 m_random;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_thinkTimer;
    std::string m_instance; // of the connection; empty: there is none
    std::string m_readAhead; // bytes after the latest response
    std::vector<std::string> m_jobs; // accepted ones of this caller
    int m_submissions = 0;
    bool m_ended = false;
    CallerCounters m_counters;
};

} // namespace cardamompaddle::soak
