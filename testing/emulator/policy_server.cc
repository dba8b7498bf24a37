#include "policy_server.h"

#include "net/steady_clock.h"

#include <boost/json.hpp>

#include <utility>

namespace cardamompaddle::emulator {

namespace json = boost::json;

namespace {

HttpResponse statusOnly(int status)
{
    HttpResponse out;
    out.status = status;
    out.body = "{}";
    return out;
}

// Returns false if the body is malformed.
bool parseCall(const std::string &text, PolicyCall &call)
{
    boost::system::error_code ec;
    const json::value parsed = json::parse(text, ec);
    const json::object *body = ec ? nullptr : parsed.if_object();
    const json::value *step = body == nullptr ? nullptr : body->if_contains("Step");
    const json::value *workers = body == nullptr ? nullptr : body->if_contains("Workers");
    if (step == nullptr || !step->is_string() || workers == nullptr || !workers->is_array())
        return false;
    call.step = step->as_string();
    for (const json::value &it : workers->as_array()) {
        if (!it.is_string())
            return false;
        call.workers.emplace_back(it.as_string());
    }
    return true;
}

HttpResponse answerResponse(const PolicyAnswer &answer)
{
    json::array good;
    for (const PolicyGrant &it : answer.grants)
        good.push_back(json::array{it.worker, it.ticket});
    HttpResponse out;
    out.body = json::serialize(json::object{{"Good", std::move(good)}});
    return out;
}

} // namespace

PolicyServer::PolicyServer(boost::asio::io_context &io, PolicyModel model)
    : m_io(io), m_model(std::move(model))
{ }

Result<std::string> PolicyServer::addCaller()
{
    const std::string caller = std::to_string(m_servers.size());
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    auto created = HttpServer::create(
        m_io, options, [this, caller](const HttpRequest &request, const HttpRespond &respond) {
            handle(caller, request, respond, SteadyClock().now());
        });
    if (!created)
        return created.error();
    m_servers.push_back(std::move(*created));
    return "127.0.0.1:" + std::to_string(m_servers.back()->port());
}

void PolicyServer::handle(const std::string &caller, const HttpRequest &request,
                          const HttpRespond &respond, Instant now)
{
    constexpr size_t MaxWorkersPerCall = 100;
    PolicyCall call;
    call.number = ++m_callCount;
    call.caller = caller;
    if (m_faults.silent)
        return m_unanswered.push_back(respond);
    if (m_faults.refuses)
        return respond(statusOnly(503));
    if (!parseCall(request.body, call) || call.workers.size() > MaxWorkersPerCall)
        return respond(statusOnly(400));
    const int64_t number = call.number;
    if (!m_model.submit(std::move(call), m_faults.delay, now))
        return respond(statusOnly(429));
    m_open[number] = respond;
    advance(now);
}

void PolicyServer::advance(Instant now)
{
    for (const PolicyAnswer &it : m_model.advance(now)) {
        const auto node = m_open.extract(it.call);
        // An answer to a client that has gone is dropped by the HTTP server.
        node.mapped()(answerResponse(it));
    }
}

} // namespace cardamompaddle::emulator
