#include "daemon/operators_api.h"

#include "config/keys.h"
#include "daemon/json_input.h"

#include <boost/json.hpp>
#include <openssl/rand.h>

#include <array>
#include <utility>

namespace cardamompaddle {
namespace {

namespace json = boost::json;

constexpr std::string_view KeysPrefix = "/v1/keys/";
constexpr std::string_view ZonesPrefix = "/v1/zones/";
constexpr std::string_view WhyPrefix = "/v1/why/";
constexpr std::string_view ViewPrefix = "/v1/";
constexpr std::string_view MetricsType = "text/plain; version=0.0.4";

HttpResponse jsonResponse(const json::value &body)
{
    return {200, json::serialize(body), "application/json"};
}

// Returns a callback that reports whether a command is in force.
auto inForceResponder(const HttpRespond &respond)
{
    return [respond](const Result<bool> &inForce, Executed executed, Instant) {
        respond(inForce ? jsonResponse({{"in_force", *inForce}})
                        : errorResponse(inForce.error(), executed));
    };
}

// Returns the path after `prefix`, or an empty string if the path does not start with it.
std::string suffix(const HttpRequest &request, std::string_view prefix)
{
    return request.path.starts_with(prefix) ? request.path.substr(prefix.size()) : "";
}

} // namespace

OperatorsApi::OperatorsApi(Node &node, OperatorService &service, std::string tokenSha256,
                           PostToControl post, const Clock &clock)
    : m_node(node), m_service(service), m_tokenSha256(std::move(tokenSha256)),
      m_post(std::move(post)), m_clock(clock)
{ }

bool OperatorsApi::handleUnauthenticated(const HttpRequest &request, const HttpRespond &respond)
{
    if (request.method != "GET")
        return false;
    if (request.path == "/healthz")
        respond({200, "ok\n", "text/plain"});
    else if (request.path == "/readyz")
        readReadiness(respond);
    else if (request.path == "/metrics")
        respond({200, m_node.metrics().exposition(), std::string(MetricsType)});
    else
        return false;
    return true;
}

void OperatorsApi::readReadiness(const HttpRespond &respond)
{
    if (m_draining) {
        respond({503, "stopping\n", "text/plain"});
        return;
    }
    m_post([this, respond]() {
        const std::string reason = m_node.notReadyReason(m_clock.now());
        respond(reason.empty() ? HttpResponse{200, "ready\n", "text/plain"}
                               : HttpResponse{503, reason + "\n", "text/plain"});
    });
}

void OperatorsApi::handle(const HttpRequest &request, const HttpRespond &respond)
{
    if (handleUnauthenticated(request, respond))
        return;
    if (!equalInConstantTime(sha256Hex(bearerToken(request)), m_tokenSha256)) {
        respond(errorResponse({ErrorCode::Unauthenticated, "missing or wrong operator token"},
                              Executed::No));
        return;
    }
    const std::string key = suffix(request, KeysPrefix);
    const std::string zone = suffix(request, ZonesPrefix);
    const std::string job = suffix(request, WhyPrefix);
    const bool isGet = request.method == "GET";
    if (request.path == "/v1/tables" && isGet)
        readTables(respond);
    else if (request.path == "/v1/tables" && request.method == "PUT")
        writeTables(request, respond);
    else if (request.path == "/v1/keys" && request.method == "POST")
        createKey(request, respond);
    else if (!key.empty() && request.method == "DELETE")
        withdrawKey(key, respond);
    else if (!zone.empty() && request.method == "POST")
        setZone(request, zone, respond);
    else if (!job.empty() && isGet)
        explainWaiting(job, respond);
    else if (isGet && !suffix(request, ViewPrefix).empty())
        readView(suffix(request, ViewPrefix), respond);
    else
        respond(errorResponse({ErrorCode::NotFound, "no such resource"}, Executed::No));
}

void OperatorsApi::readTables(const HttpRespond &respond)
{
    m_post([this, respond]() {
        const ConfigState &state = m_node.config();
        respond(jsonResponse(
            {{"version", state.version()}, {"tables", json::parse(formatTables(state.tables()))}}));
    });
}

void OperatorsApi::writeTables(const HttpRequest &request, const HttpRespond &respond)
{
    auto input = JsonInput::create(request.body);
    if (!input) {
        respond(errorResponse(input.error(), Executed::No));
        return;
    }
    input->require("base_version");
    input->require("tables");
    const auto version = input->integer("base_version", 0, INT64_MAX);
    const auto text = input->text("tables");
    const bool dryRun = input->boolean("dry_run").value_or(false);
    if (const auto it = input->finish(); !it) {
        respond(errorResponse(it.error(), Executed::No));
        return;
    }
    m_post([this, version = static_cast<uint64_t>(*version), text = *text, dryRun, respond]() {
        m_service.applyTables(
            version, text, dryRun,
            [respond](const Result<TablesChangeResult> &result, Executed executed, Instant) {
                if (!result) {
                    respond(errorResponse(result.error(), executed));
                    return;
                }
                const json::array diff(result->diff.begin(), result->diff.end());
                respond(jsonResponse(
                    {{"version", result->version}, {"in_force", result->inForce}, {"diff", diff}}));
            },
            m_clock.now());
    });
}

void OperatorsApi::createKey(const HttpRequest &request, const HttpRespond &respond)
{
    auto input = JsonInput::create(request.body);
    if (!input) {
        respond(errorResponse(input.error(), Executed::No));
        return;
    }
    input->require("team");
    const std::string team = input->text("team").value_or("");
    if (const auto it = input->finish(); !it) {
        respond(errorResponse(it.error(), Executed::No));
        return;
    }
    std::array<uint8_t, KeyRandomBytes> random{};
    if (RAND_bytes(random.data(), static_cast<int>(random.size())) != 1) {
        respond(errorResponse({ErrorCode::Internal, "cannot generate random bytes for the key"},
                              Executed::No));
        return;
    }
    m_post([this, team, random, respond]() {
        m_service.createKey(
            team, random,
            [respond](const Result<NewKeyResult> &result, Executed executed, Instant) {
                respond(result ? jsonResponse({{"key_id", result->keyId},
                                               {"key", result->key},
                                               {"in_force", result->inForce}})
                               : errorResponse(result.error(), executed));
            },
            m_clock.now());
    });
}

void OperatorsApi::withdrawKey(const std::string &keyId, const HttpRespond &respond)
{
    m_post([this, keyId, respond]() {
        m_service.withdrawKey(keyId, inForceResponder(respond), m_clock.now());
    });
}

void OperatorsApi::setZone(const HttpRequest &request, const std::string &zone,
                           const HttpRespond &respond)
{
    auto input = JsonInput::create(request.body);
    if (!input) {
        respond(errorResponse(input.error(), Executed::No));
        return;
    }
    input->require("state");
    const std::string state = input->text("state").value_or("");
    auto valid = input->finish();
    if (valid && state != "out" && state != "in")
        valid = Error{ErrorCode::InvalidArgument, "state: must be \"out\" or \"in\""};
    if (!valid) {
        respond(errorResponse(valid.error(), Executed::No));
        return;
    }
    m_post([this, zone, out = state == "out", respond]() {
        m_service.setZone(zone, out, inForceResponder(respond), m_clock.now());
    });
}

void OperatorsApi::explainWaiting(const std::string &target, const HttpRespond &respond)
{
    const size_t slash = target.find('/');
    if (slash == std::string::npos) {
        respond(
            errorResponse({ErrorCode::InvalidArgument, "expected /v1/why/TEAM/ID"}, Executed::No));
        return;
    }
    const JobKey key{target.substr(0, slash), target.substr(slash + 1)};
    m_post([this, key, respond]() {
        m_service.explainWaiting(
            key,
            [respond](const Result<std::string> &text, Instant) {
                respond(text ? jsonResponse({{"text", *text}})
                             : errorResponse(text.error(), Executed::No));
            },
            m_clock.now());
    });
}

void OperatorsApi::readView(const std::string &view, const HttpRespond &respond)
{
    m_post([this, view, respond]() {
        m_service.rows(
            view,
            [respond](const Result<std::string> &rows, Instant) {
                if (rows)
                    respond({200, "{\"rows\":" + *rows + "}", "application/json"});
                else
                    respond(errorResponse(rows.error(), Executed::No));
            },
            m_clock.now());
    });
}

} // namespace cardamompaddle
