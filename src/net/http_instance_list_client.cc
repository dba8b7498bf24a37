#include "net/http_instance_list_client.h"

#include "net/worker_protocol.h"

#include <utility>

namespace cardamompaddle {
namespace {

Result<std::vector<WorkerInfo>> toListResult(const Result<HttpResponse> &response)
{
    if (!response)
        return Error{ErrorCode::Unavailable, response.error().reason};
    if (response->status != 200)
        return Error{ErrorCode::Unavailable,
                     "the instance list rejected the request: " + response->body};
    auto list = decodeInstanceList(response->body);
    if (!list)
        return Error{ErrorCode::Unavailable, list.error().reason};
    return list;
}

} // namespace

HttpInstanceListClient::HttpInstanceListClient(HttpClient &client, HttpInstanceListOptions options,
                                               const Clock &clock)
    : m_client(client), m_options(std::move(options)), m_clock(clock)
{ }

void HttpInstanceListClient::fetch(ListDone done)
{
    m_client.request(
        m_options.address, "GET", "/instances", {}, m_options.timeout,
        [done = std::move(done), &clock = m_clock](const Result<HttpResponse> &response, bool) {
            done(toListResult(response), clock.now());
        });
}

} // namespace cardamompaddle
