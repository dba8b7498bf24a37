// Serves a PolicyModel in the platform's protocol. Each caller has an address of its own, by which
// the service tells callers apart.
#pragma once

#include "net/http_server.h"
#include "policy_model.h"

#include <boost/asio/io_context.hpp>

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamompaddle::emulator {

class PolicyServer
{
public:
    PolicyServer(boost::asio::io_context &io, PolicyModel model);

    // Returns the IP:PORT of the service for a further caller. Errors: Unavailable if no port can
    // be bound.
    Result<std::string> addCaller();
    PolicyFaults &faults() { return m_faults; }
    const PolicyModel &model() const { return m_model; }
    // Returns the number of calls that were received so far.
    int callCount() const { return m_callCount; }
    // Answers the calls that are done. Call it often.
    void advance(Instant now);

private:
    void handle(const std::string &caller, const HttpRequest &request, const HttpRespond &respond,
                Instant now);

    boost::asio::io_context &m_io;
    PolicyModel m_model;
    PolicyFaults m_faults;
    int m_callCount = 0;
    std::map<int64_t, HttpRespond> m_open; // by number of the call
    std::list<HttpRespond> m_unanswered; // their connections stay open without an answer
    std::vector<std::unique_ptr<HttpServer>> m_servers; // one for each caller
};

} // namespace cardamompaddle::emulator
