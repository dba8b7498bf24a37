// Serves a LogModel in the platform's protocol, with the faults of a real log.
#pragma once

#include "base/time.h"
#include "log_model.h"
#include "net/http_server.h"
#include "platform_emulator.h"

#include <boost/asio/io_context.hpp>

#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace cardamompaddle::emulator {

class LogServer
{
public:
    // Errors: Unavailable if no port can be bound.
    static Result<std::unique_ptr<LogServer>> create(boost::asio::io_context &io,
                                                     const PlatformEmulatorOptions &options);
    LogServer(const LogServer &) = delete;
    LogServer &operator=(const LogServer &) = delete;
    ~LogServer();

    std::string address() const;
    LogFaults &faults() { return m_faults; }
    LogModel &model() { return m_model; }
    // Whether other writers of the platform can store records now.
    bool takesRecords() const { return !m_faults.silent && !m_faults.resets && !m_faults.busy; }
    void put(const std::string &topic, const std::string &key, const std::string &value);
    // Answers the reads that have waited for long enough or have records now. Call it often.
    void advance(Instant now);

private:
    struct WaitingRead
    {
        std::string topic;
        int64_t from = 0;
        size_t maxBytes = 0;
        Instant until;
        HttpRespond respond;
    };

    LogServer(boost::asio::io_context &io, const PlatformEmulatorOptions &options);
    void handle(const HttpRequest &request, const HttpRespond &respond);
    void carryOut(const HttpRequest &request, const HttpRespond &respond);
    // Treats the call as the present fault demands, and returns whether there is one.
    bool answerByFault(const HttpRespond &respond);
    void append(const HttpRequest &request, const HttpRespond &respond);
    HttpResponse store(const HttpRequest &request, const std::vector<KeyedRecord> &records);
    void read(const HttpRequest &request, const HttpRespond &respond);
    HttpResponse newest(const HttpRequest &request) const;
    // Answers the read if it is due, and returns whether it was.
    bool answerRead(const WaitingRead &read, Instant now);
    void runAfter(Duration wait, std::function<void()> function);

    boost::asio::io_context &m_io;
    Duration m_readAnswerTime;
    Duration m_appendTime;
    LogModel m_model;
    LogFaults m_faults;
    std::mt19937_64 m_random;
    std::map<std::string, Instant> m_busyUntil; // by topic
    std::list<WaitingRead> m_waitingReads;
    std::list<HttpRespond> m_unanswered; // their connections stay open without an answer
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::unique_ptr<HttpServer> m_server;
};

} // namespace cardamompaddle::emulator
