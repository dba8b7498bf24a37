// The HTTP API for callers: quick requests and jobs.
#pragma once

#include "net/http_server.h"
#include "net/steady_clock.h"
#include "node/caller_service.h"

#include <functional>
#include <string>

namespace cardamompaddle {

// Queues a function to run on the control thread. Thread-safe.
using PostToControl = std::function<void(std::function<void()>)>;

// Translates HTTP requests into calls of CallerService. handle() may be called on any thread; the
// service is used on the control thread only.
class CallersApi
{
public:
    // The service and the clock must outlive the API and every request in flight.
    CallersApi(CallerService &service, PostToControl post, const Clock &clock);

    // Answers one request through `respond`, on this thread or on the control thread. Thread-safe.
    void handle(const HttpRequest &request, const HttpRespond &respond);

private:
    void quickRequest(const HttpRequest &request, const HttpRespond &respond);
    void submitJob(const HttpRequest &request, const HttpRespond &respond);
    void readJob(const HttpRequest &request, const std::string &id, const HttpRespond &respond);
    void cancelJob(const HttpRequest &request, const std::string &id, const HttpRespond &respond);

    CallerService &m_service;
    PostToControl m_post;
    const Clock &m_clock;
};

// Returns the token of the header "Authorization: Bearer TOKEN", or an empty string if there is
// none.
std::string bearerToken(const HttpRequest &request);

} // namespace cardamompaddle
