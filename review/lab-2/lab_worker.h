// A worker as the platform's pages describe it, which can crash and start again. It uses the
// project's model of a worker; only the connections are handled here, so that a crash is silent:
// "A worker that crashes sends nothing." Connections from before a crash stay open without an
// answer until the other side sends something on them after the restart, and are closed then.
#pragma once

#include "net/http_server.h"
#include "worker_model.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <list>
#include <memory>
#include <string>
#include <vector>

namespace lab {

using cardamompaddle::Duration;
using cardamompaddle::HttpRequest;
using cardamompaddle::HttpRespond;
using cardamompaddle::HttpResponse;
using cardamompaddle::HttpServer;
using cardamompaddle::Instant;

Instant now();
int64_t unixNow();

struct WorkerSpec
{
    std::string id;
    std::string zone;
    std::string rack;
    std::string kind = "kind-a";
    int64_t cpuMilli = 16'000;
    int64_t memoryMb = 32'768;
};

class LabWorker
{
public:
    // Throws std::runtime_error if no port can be bound; restart() too.
    LabWorker(boost::asio::io_context &io, WorkerSpec spec,
              cardamompaddle::emulator::WorkerModelOptions options);

    // Ends everything that runs here. Silent: nothing is answered and nothing is reset until the
    // restart. Otherwise all connections are reset and new ones are refused.
    void crash(bool silent);
    // Starts the worker again at its address. It knows nothing of before.
    void restart();
    // Cut off: calls get no answer and are not carried out; what runs goes on.
    void setCutOff(bool cutOff) { m_cutOff = cutOff; }
    // Ends runs that are due and answers polls that have waited long enough. Call it often.
    void advance();
    bool isUp() const { return m_up; }
    const WorkerSpec &spec() const { return m_spec; }
    const cardamompaddle::emulator::WorkerModel &model() const { return m_model; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    // Its entry under servers/ID.
    std::string entry();

private:
    struct Poll
    {
        Instant until;
        HttpRespond respond;
    };
    // What has been accepted during one life of the worker.
    struct Life
    {
        std::unique_ptr<HttpServer> server;
        bool over = false; // the worker has crashed since
        bool answersReset = false; // it is up again, so a packet on an old connection is refused
        std::list<HttpRespond> held; // never answered
    };

    void open();
    void handle(Life &life, const HttpRequest &request, const HttpRespond &respond);
    void hold(const boost::json::object &body, const HttpRespond &respond);
    HttpResponse order(const std::string &path, const boost::json::object &body);
    HttpResponse answer(int status, const std::string &reason = "") const;
    HttpResponse report() const;

    boost::asio::io_context &m_io;
    WorkerSpec m_spec;
    cardamompaddle::emulator::WorkerModel m_model;
    std::vector<std::shared_ptr<Life>> m_lives;
    std::list<Poll> m_polls;
    uint16_t m_port = 0;
    int64_t m_bornUnixMs = 0;
    int64_t m_sequence = 0;
    bool m_up = false;
    bool m_cutOff = false;
};

} // namespace lab
