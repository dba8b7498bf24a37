// Serves a WorkerModel in the platform's protocol.
#pragma once

#include "base/time.h"
#include "net/http_server.h"
#include "worker_model.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <list>
#include <memory>
#include <random>
#include <string>

namespace cardamompaddle::emulator {

class WorkerServer
{
public:
    // Errors: Unavailable if no port can be bound.
    static Result<std::unique_ptr<WorkerServer>> create(boost::asio::io_context &io,
                                                        WorkerModelOptions options, uint64_t seed);
    WorkerServer(const WorkerServer &) = delete;
    WorkerServer &operator=(const WorkerServer &) = delete;
    ~WorkerServer();

    bool isUp() const { return m_up; }
    const WorkerModel &model() const { return m_model; }
    std::string address() const { return m_address; }
    int pollCount() const { return m_pollCount; } // accepted ones
    int64_t bornUnixMs() const { return m_bornUnixMs; }
    void crash(WorkerCrash how, Instant now);
    // Starts the worker again: at its address, or at another one if its id changes. Errors:
    // Unavailable.
    Result<void> restart(const std::string &id, Instant now);
    void delayOrders(double share, Duration delay);
    // While it is cut off, calls get no answer and are not carried out; its runs go on.
    void setCutOff(bool cutOff) { m_cutOff = cutOff; }
    // Ends runs that are due and answers the polls that have waited for long enough. Call it often.
    void advance(Instant now);

private:
    struct WaitingPoll
    {
        Instant until;
        HttpRespond respond;
    };

    WorkerServer(boost::asio::io_context &io, WorkerModelOptions options, uint64_t seed);
    Result<void> listen(const std::string &address);
    void handle(const HttpRequest &request, const HttpRespond &respond);
    HttpResponse carryOutOrder(const HttpRequest &request);
    void poll(const HttpRequest &request, const HttpRespond &respond);
    // Returns whether the call is meant for this incarnation and its token is accepted; otherwise
    // `refusal` is the answer.
    bool admits(const HttpRequest &request, HttpResponse &refusal);
    HttpResponse answer(int status, const std::string &reason = "") const;
    HttpResponse report() const;

    boost::asio::io_context &m_io;
    WorkerModel m_model;
    std::mt19937_64 m_random;
    bool m_up = true;
    bool m_silent = false; // crashed without a reset
    bool m_cutOff = false;
    std::string m_address;
    int64_t m_bornUnixMs = 0;
    int m_pollCount = 0;
    double m_delayedShare = 0;
    Duration m_orderDelay{0};
    std::list<WaitingPoll> m_waitingPolls;
    std::list<HttpRespond> m_unanswered; // their connections stay open without an answer
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::unique_ptr<HttpServer> m_server;
};

} // namespace cardamompaddle::emulator
