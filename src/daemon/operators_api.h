// The HTTP API for operators, with health, readiness and metrics.
#pragma once

#include "daemon/callers_api.h"
#include "net/http_server.h"
#include "net/steady_clock.h"
#include "node/operator_service.h"

#include <atomic>
#include <string>

namespace cardamompaddle {

// Translates HTTP requests into calls of OperatorService. handle() may be called on any thread; the
// service and, except for its metrics, the node are used on the control thread only.
class OperatorsApi
{
public:
    // `tokenSha256` is the hash of the operators' token in lower-case hexadecimal. The referenced
    // objects must outlive the API and every request in flight.
    OperatorsApi(Node &node, OperatorService &service, std::string tokenSha256, PostToControl post,
                 const Clock &clock);

    // Answers one request through `respond`, on this thread or on the control thread. Thread-safe.
    void handle(const HttpRequest &request, const HttpRespond &respond);
    // Makes readiness checks fail from now on. Thread-safe.
    void beginDrain() { m_draining = true; }

private:
    // Answers health, readiness and metrics requests, which need no token. Returns false for
    // others.
    bool handleUnauthenticated(const HttpRequest &request, const HttpRespond &respond);
    void readReadiness(const HttpRespond &respond);
    void readTables(const HttpRespond &respond);
    void writeTables(const HttpRequest &request, const HttpRespond &respond);
    void createKey(const HttpRequest &request, const HttpRespond &respond);
    void withdrawKey(const std::string &keyId, const HttpRespond &respond);
    void setZone(const HttpRequest &request, const std::string &zone, const HttpRespond &respond);
    void explainWaiting(const std::string &target, const HttpRespond &respond);
    void readView(const std::string &view, const HttpRespond &respond);

    Node &m_node;
    OperatorService &m_service;
    std::string m_tokenSha256;
    PostToControl m_post;
    const Clock &m_clock;
    std::atomic<bool> m_draining{false};
};

} // namespace cardamompaddle
