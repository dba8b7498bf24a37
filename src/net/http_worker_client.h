// A client of the workers over HTTP.
#pragma once

#include "net/http_client.h"
#include "platform/worker.h"

namespace cardamompaddle {

struct HttpWorkerOptions
{
    Duration timeout{2'000}; // of each request, in addition to a command's waitForFinish
};

// An implementation of WorkerClient. Not thread-safe: used on the control thread only. `client` and
// `clock` must outlive it. Callbacks of unfinished calls can run after it has been destroyed.
class HttpWorkerClient : public WorkerClient
{
public:
    HttpWorkerClient(HttpClient &client, HttpWorkerOptions options, const Clock &clock);
    void acquire(const WorkerInfo &worker, const SessionRequest &request,
                 SessionDone done) override;
    void command(const WorkerInfo &worker, WorkerCommand batch, CommandDone done) override;

private:
    HttpClient &m_client;
    HttpWorkerOptions m_options;
    const Clock &m_clock;
};

} // namespace cardamompaddle
