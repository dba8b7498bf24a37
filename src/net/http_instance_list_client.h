// A client of the platform's instance list over HTTP.
#pragma once

#include "net/http_client.h"
#include "platform/worker.h"

#include <string>

namespace cardamompaddle {

struct HttpInstanceListOptions
{
    std::string address; // IP:PORT
    Duration timeout{2'000};
};

// An implementation of InstanceListClient. Not thread-safe: used on the control thread only.
// `client` and `clock` must outlive it.
class HttpInstanceListClient : public InstanceListClient
{
public:
    HttpInstanceListClient(HttpClient &client, HttpInstanceListOptions options, const Clock &clock);
    void fetch(ListDone done) override;

private:
    HttpClient &m_client;
    HttpInstanceListOptions m_options;
    const Clock &m_clock;
};

} // namespace cardamompaddle
