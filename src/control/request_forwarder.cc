#include "control/request_forwarder.h"

#include "control/timer.h"
#include "logging/event_log.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {

namespace {

// A peer should answer as fast as this instance would. After the timeout the outcome is unknown.
constexpr Duration ForwardTimeout{1'200};
// A collector waits for a slow log.
constexpr Duration CollectorTimeout{2'300};
// Wait before a request whose outcome is unknown is repeated.
constexpr Duration RepeatDelay{100};
constexpr int StatusUnavailable = 503; // not carried out
constexpr int StatusOutcomeUnknown = 504; // may have been carried out

bool isRead(const HttpRequest &request)
{
    return request.method == "GET";
}

bool isFinal(int status)
{
    return status != StatusUnavailable && status != StatusOutcomeUnknown;
}

HttpResponse toHttpResponse(work::CallerResponse answer)
{
    HttpResponse out;
    out.status = answer.status;
    out.body = std::move(answer.body);
    out.retryAfter = Duration(answer.retryAfterMs);
    return out;
}

} // namespace

RequestForwarder::RequestForwarder(boost::asio::io_context &io, const Clock &clock,
                                   PeerGateway &peers, Sources sources, HttpHandler localHandler)
    : m_io(io), m_clock(clock), m_peers(peers), m_sources(std::move(sources)),
      m_localHandler(std::move(localHandler))
{ }

RequestForwarder::~RequestForwarder()
{
    *m_alive = false;
}

void RequestForwarder::handle(const HttpRequest &request, const HttpRespond &respond)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->request = request;
    exchange->respond = respond;
    exchange->deadline = m_sources.deadline(request);
    beginRound(exchange);
}

void RequestForwarder::beginRound(const ExchangePtr &exchange)
{
    exchange->triedHere = exchange->triedPeer = false;
    const std::string collector = isRead(exchange->request) ? "" : m_sources.collector();
    exchange->toCollector = !collector.empty();
    if (exchange->toCollector)
        return tryPeer(exchange, collector, CollectorTimeout);
    const std::string target = m_sources.logReachable() ? "" : m_sources.target();
    target.empty() ? tryHere(exchange) : tryPeer(exchange, target, ForwardTimeout);
}

HttpRequest RequestForwarder::nextTry(Exchange &exchange)
{
    HttpRequest out = exchange.request;
    out.headers.erase(RepeatedHeader);
    if (exchange.tries++ > 0)
        out.headers[RepeatedHeader] = "1";
    return out;
}

void RequestForwarder::tryHere(const ExchangePtr &exchange)
{
    exchange->triedHere = true;
    m_localHandler(nextTry(*exchange), [this, alive = m_alive, exchange](HttpResponse response) {
        if (*alive)
            onLocalResponse(exchange, std::move(response));
    });
}

void RequestForwarder::onLocalResponse(const ExchangePtr &exchange, HttpResponse response)
{
    const bool write = !isRead(exchange->request);
    exchange->inDoubt = exchange->inDoubt || (write && response.status == StatusOutcomeUnknown);
    if (respondIfSettled(*exchange, response))
        return;
    exchange->refusal = std::move(response);
    const std::string target = exchange->triedPeer ? "" : m_sources.target();
    target.empty() ? endRound(exchange) : tryPeer(exchange, target, ForwardTimeout);
}

void RequestForwarder::tryPeer(const ExchangePtr &exchange, const std::string &target,
                               Duration timeout)
{
    exchange->triedPeer = true;
    const HttpRequest request = nextTry(*exchange);
    work::CallerRequest out;
    out.method = request.method;
    out.path = request.path;
    out.headers = request.headers;
    out.body = request.body;
    out.configurationVersion = m_sources.configurationVersion();
    const Duration left = std::max(Duration(1), exchange->deadline - m_clock.now());
    m_peers.forward(target, out, std::min(timeout, left),
                    [this, alive = m_alive, exchange, target](Result<work::CallerResponse> answer) {
                        logInfo("request_relayed",
                                "method=" + exchange->request.method
                                    + " path=" + exchange->request.path + " peer=" + target
                                    + " status=" + std::to_string(answer ? answer->status : 0)
                                    + " reason=\"" + (answer ? "" : answer.error().reason) + "\"");
                        if (*alive)
                            onPeerResponse(exchange, std::move(answer));
                    });
}

void RequestForwarder::onPeerResponse(const ExchangePtr &exchange,
                                      Result<work::CallerResponse> answer)
{
    const bool notReceived = !answer && answer.error().code == ErrorCode::Unavailable;
    const bool unknown = answer ? answer->status == StatusOutcomeUnknown : !notReceived;
    exchange->inDoubt = exchange->inDoubt || (unknown && !isRead(exchange->request));
    if (answer) {
        m_sources.configurationSeen(answer->configurationVersion);
        HttpResponse response = toHttpResponse(std::move(*answer));
        if (respondIfSettled(*exchange, response))
            return;
        exchange->refusal = std::move(response);
    }
    // An append of each instance would only make a slow log slower. The collector is asked again.
    const bool done = exchange->triedHere || (exchange->toCollector && !notReceived);
    done ? endRound(exchange) : tryHere(exchange);
}

bool RequestForwarder::respondIfSettled(const Exchange &exchange, HttpResponse response)
{
    const bool succeeded = response.status < 300;
    if (!isFinal(response.status) || (exchange.inDoubt && !succeeded))
        return false;
    exchange.respond(std::move(response));
    return true;
}

void RequestForwarder::endRound(const ExchangePtr &exchange)
{
    if (!exchange->inDoubt)
        return exchange->respond(std::move(*exchange->refusal));
    if (m_clock.now() + RepeatDelay >= exchange->deadline)
        return exchange->respond(
            errorResponse(StatusOutcomeUnknown,
                          {ErrorCode::OutcomeUnknown, "the request may have been carried out"},
                          Executed::Unknown));
    auto timer = std::make_shared<Timer>(m_io, RepeatDelay);
    timer->asyncWait([this, timer, alive = m_alive, exchange](const boost::system::error_code &) {
        if (*alive)
            beginRound(exchange);
    });
}

} // namespace cardamompaddle
