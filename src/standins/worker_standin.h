// Stand-in for a worker: an HTTP interface to a WorkerModel.
//
//   POST /session   SessionRequest -> SessionGrant; 409 while another holder's session is active
//   POST /commands  WorkerCommand -> WorkerReport; 403 for a stale epoch or stamp. With wait_ms the
//                   response is held until there is a finished task that has not been reported yet,
//                   unless starts were refused
//   POST /control   {"fail_all", "freeze_ms"}, both optional; a frozen worker sends no responses
//   GET  /history   {"worker", "now_ms", "capacity_refusals", "attempts": [{"team", "job", "index",
//                   "attempt", "start_ms", "end_ms", "outcome"}]}; times are milliseconds of
//                   CLOCK_MONOTONIC; end_ms and outcome are present once the attempt has ended
#pragma once

#include "net/http_types.h"
#include "net/steady_clock.h"
#include "standins/timer_thread.h"
#include "standins/worker_model.h"

#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>

namespace cardamompaddle {

// Thread-safe.
class WorkerStandin
{
public:
    using Respond = std::function<void(HttpResponse)>;

    WorkerStandin(std::string id, WorkerModelOptions options);
    // Handles one request; usable as an HttpHandler.
    void handle(const HttpRequest &request, const Respond &respond);
    void setFailAll(bool failAll);

private:
    // A command whose response is held until a task finishes.
    struct HeldCommand
    {
        uint64_t epoch = 0;
        Instant deadline;
        Respond respond;
        std::shared_ptr<ClientConnectionStatus> clientStatus;
    };

    void handleSession(const HttpRequest &request, const Respond &respond);
    void handleCommand(const HttpRequest &request, const Respond &respond);
    void handleControl(const HttpRequest &request, const Respond &respond);
    HttpResponse historyResponse();
    // Advances the model, answers the held commands that are due and sets the timer for the next
    // event.
    void answerDueCommands();
    void scheduleWakeup(Instant time);

    const std::string m_id;
    SteadyClock m_clock;
    std::mutex m_mutex;
    WorkerModel m_model;
    std::list<HeldCommand> m_heldCommands;
    std::optional<Instant> m_nextWakeup;
    TimerThread m_timers; // declared last, since its callbacks use the members above
};

} // namespace cardamompaddle
