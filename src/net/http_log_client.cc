#include "net/http_log_client.h"

#include "net/json_members.h"

#include <utility>

namespace cardamompaddle {
namespace {

// How often a read is repeated from the oldest retained record. More records can expire meanwhile.
constexpr int MaxExpiredRetries = 3;

std::string recordsPath(const std::string &stream)
{
    return "/streams/" + percentEncode(stream) + "/records";
}

Result<uint64_t> toAppendResult(const Result<HttpResponse> &response, bool bytesSent)
{
    if (!response)
        return Error{bytesSent ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable,
                     response.error().reason};
    const int status = response->status;
    // The log service rejects an append with 4xx or 503. After any other failure the record may
    // have been appended.
    if ((status >= 400 && status < 500) || status == 503)
        return Error{ErrorCode::Unavailable,
                     "the log service rejected the append: " + response->body};
    JsonMembers reader(response->body);
    const uint64_t offset = reader.unsignedNumber("offset");
    if (status != 200 || !reader.ok())
        return Error{ErrorCode::OutcomeUnknown,
                     "the log service responded to the append with status "
                         + std::to_string(status)};
    return offset;
}

Result<LogPage> parsePage(const HttpResponse &response)
{
    JsonMembers reader(response.body);
    LogPage page;
    page.first = reader.unsignedNumber("first");
    page.next = reader.unsignedNumber("next");
    for (JsonMembers &it : reader.objects("records"))
        page.records.push_back({it.unsignedNumber("offset"), it.text("data")});
    if (!reader.ok())
        return Error{ErrorCode::Unavailable, "the response of the log service is malformed"};
    return page;
}

// A read in progress.
struct ReadCall
{
    HttpClient &client;
    HttpLogOptions options;
    const Clock &clock;
    std::string stream;
    int max = 0;
    LogClient::ReadDone done;
};

void readFrom(ReadCall read, uint64_t from, int retriesLeft)
{
    const std::string target = recordsPath(read.stream) + "?from=" + std::to_string(from)
                               + "&max=" + std::to_string(read.max);
    const std::string address = read.options.address;
    const Duration timeout = read.options.readTimeout;
    HttpClient &client = read.client;
    const auto onResponse = [read = std::move(read),
                             retriesLeft](const Result<HttpResponse> &response, bool) {
        const auto fail = [&](const std::string &reason) {
            read.done(Error{ErrorCode::Unavailable, reason}, read.clock.now());
        };
        if (!response)
            return fail(response.error().reason);
        if (response->status != 200 && response->status != 410)
            return fail("the log service rejected the read: " + response->body);
        auto page = parsePage(*response);
        if (response->status == 410 && page && retriesLeft > 0)
            return readFrom(read, page->first, retriesLeft - 1);
        if (response->status == 410)
            return fail("the records expire faster than they are read");
        read.done(std::move(page), read.clock.now());
    };
    client.request(address, "GET", target, {}, timeout, onResponse);
}

} // namespace

HttpLogClient::HttpLogClient(HttpClient &client, HttpLogOptions options, const Clock &clock)
    : m_client(client), m_options(std::move(options)), m_clock(clock)
{ }

void HttpLogClient::append(const std::string &stream, std::string data, AppendDone done)
{
    m_client.request(m_options.address, "POST", recordsPath(stream), std::move(data),
                     m_options.appendTimeout,
                     [done = std::move(done),
                      &clock = m_clock](const Result<HttpResponse> &response, bool bytesSent) {
                         done(toAppendResult(response, bytesSent), clock.now());
                     });
}

void HttpLogClient::read(const std::string &stream, uint64_t from, int max, ReadDone done)
{
    readFrom({m_client, m_options, m_clock, stream, max, std::move(done)}, from, MaxExpiredRetries);
}

} // namespace cardamompaddle
