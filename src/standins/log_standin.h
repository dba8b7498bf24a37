// Stand-in for the platform's append-only log: an HTTP interface to a LogModel. State is kept in
// memory only, since the real log is an external service.
//
//   POST /streams/S/records                       raw body -> {"offset"}
//   GET  /streams/S/records?from=&max=[&wait_ms=] {"first", "next", "records": [{"offset",
//   "data"}]}
//        410 with the same members if `from` has expired; wait_ms is how long the response is held
//        until a record at or after `from` exists
//   POST /control {"outage", "lose_answers", "latency_ms", "retention_records", "retention_ms"}
//        all optional; lose_answers is the number of subsequent appends that take effect, but
//        whose connection is closed without a response
#pragma once

#include "net/http_types.h"
#include "net/json_members.h"
#include "net/steady_clock.h"
#include "standins/log_model.h"
#include "standins/timer_thread.h"

#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>

namespace cardamompaddle {

// Thread-safe.
class LogStandin
{
public:
    using Respond = std::function<void(HttpResponse)>;

    // Handles one request; usable as an HttpHandler.
    void handle(const HttpRequest &request, const Respond &respond);

private:
    // A read at the tail whose response is held until a record arrives.
    struct HeldRead
    {
        uint64_t id = 0;
        std::string stream;
        uint64_t from = 0;
        size_t max = 0;
        Respond respond;
    };

    HttpResponse handleControl(const std::string &body);
    void handleAppend(const std::string &stream, const HttpRequest &request,
                      const Respond &respond);
    void handleRead(const std::string &stream, const HttpRequest &request, const Respond &respond);
    HttpResponse readResponse(const std::string &stream, uint64_t from, size_t max);
    // Answers and removes the held reads for which `isDue` returns true.
    void answerHeldReads(const std::function<bool(const HeldRead &)> &isDue);
    // Sends the response after the configured latency.
    void respondAfterLatency(const Respond &respond, HttpResponse response);

    SteadyClock m_clock;
    std::mutex m_mutex;
    LogModel m_model;
    std::list<HeldRead> m_heldReads;
    uint64_t m_lastReadId = 0;
    bool m_outage = false;
    int64_t m_responsesToLose = 0;
    Duration m_latency{0};
    TimerThread m_timers; // declared last, since its callbacks use the members above
};

} // namespace cardamompaddle
