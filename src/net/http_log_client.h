// A client of the platform's log service over HTTP.
#pragma once

#include "net/http_client.h"
#include "platform/log.h"
#include "platform/worker.h"

#include <string>

namespace cardamompaddle {

struct HttpLogOptions
{
    std::string address; // IP:PORT
    Duration appendTimeout{5'000};
    Duration readTimeout{5'000};
};

// An implementation of LogClient. Not thread-safe: used on the control thread only. `client` and
// `clock` must outlive it. Callbacks of unfinished calls can run after it has been destroyed. A
// read from an offset whose records have expired continues at the oldest retained offset.
class HttpLogClient : public LogClient
{
public:
    HttpLogClient(HttpClient &client, HttpLogOptions options, const Clock &clock);
    void append(const std::string &stream, std::string data, AppendDone done) override;
    void read(const std::string &stream, uint64_t from, int max, ReadDone done) override;

private:
    HttpClient &m_client;
    HttpLogOptions m_options;
    const Clock &m_clock;
};

} // namespace cardamompaddle
