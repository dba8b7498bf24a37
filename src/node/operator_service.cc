#include "node/operator_service.h"

#include "config/config_change.h"
#include "config/keys.h"
#include "node/operator_views.h"

#include <boost/json.hpp>

#include <memory>
#include <utility>

namespace cardamompaddle {
namespace {

namespace json = boost::json;

constexpr Duration RowsTimeout{1'000};
// The internal view by which members exchange the history of the instance list.
constexpr std::string_view DirectoryView = "directory";

// Collects the rows of several members for one answer.
struct RowAggregation
{
    std::string view;
    json::array rows;
    int pendingAnswers = 0;
    OperatorService::RowsDone done;

    void add(const std::string &text)
    {
        boost::system::error_code ec;
        const json::value value = json::parse(text, ec);
        if (ec || !value.is_array())
            return;
        for (const json::value &it : value.as_array())
            rows.push_back(it);
    }
    void finish(Instant now)
    {
        std::string text = json::serialize(rows);
        if (view == "slo") {
            const auto merged = parseSloRows(text);
            if (merged)
                text = formatSloRows(mergeSloRows(*merged));
        }
        done(text, now);
    }
};

} // namespace

OperatorService::OperatorService(Node &node) : m_node(node)
{
    m_node.setPeerHandler(
        [this](const PeerBody &request, Instant now) { return handlePeer(request, now); });
}

void OperatorService::change(const ConfigService::RecordBuilder &builder,
                             const ConfigService::ChangeDone &done, Instant now)
{
    const std::string reason = m_node.notReadyReason(now);
    if (!reason.empty())
        done(Error{ErrorCode::Unavailable, reason}, Executed::No, now);
    else
        m_node.configService().change(builder, now, done);
}

void OperatorService::applyTables(uint64_t baseVersion, const std::string &text, bool dryRun,
                                  const Done<TablesChangeResult> &done, Instant now)
{
    const auto tables = parseTables(text);
    if (!tables) {
        done(tables.error(), Executed::No, now);
        return;
    }
    TablesChangeResult result;
    result.diff = diffTables(m_node.config().tables(), *tables);
    result.version = m_node.config().version();
    if (baseVersion != result.version) {
        done(Error{ErrorCode::Conflict,
                   "the tables are at version " + std::to_string(result.version)
                       + ", the edit was based on " + std::to_string(baseVersion)},
             Executed::No, now);
        return;
    }
    if (dryRun) {
        done(result, Executed::No, now);
        return;
    }
    change([&](const RecordId &id) { return tablesRecord(id, baseVersion, *tables); },
           [result, done](Result<ConfigChangeOutcome> outcome, Executed executed, Instant at) {
               if (!outcome) {
                   done(outcome.error(), executed, at);
                   return;
               }
               TablesChangeResult accepted = result;
               accepted.version = outcome->version;
               accepted.inForce = outcome->inForce;
               done(accepted, executed, at);
           },
           now);
}

void OperatorService::createKey(const std::string &team, std::span<const uint8_t> random,
                                const Done<NewKeyResult> &done, Instant now)
{
    const auto key = cardamompaddle::createKey(team, random);
    if (!key) {
        done(key.error(), Executed::No, now);
        return;
    }
    change([&key](const RecordId &id) { return keyCreateRecord(id, key->record); },
           [keyId = key->record.id, presented = key->fullKey,
            done](Result<ConfigChangeOutcome> outcome, Executed executed, Instant at) {
               if (outcome)
                   done(NewKeyResult{keyId, presented, outcome->inForce}, executed, at);
               else
                   done(outcome.error(), executed, at);
           },
           now);
}

void OperatorService::withdrawKey(const std::string &keyId, const Done<bool> &done, Instant now)
{
    if (!m_node.config().keys().contains(keyId)) {
        done(Error{ErrorCode::NotFound, "unknown key id \"" + keyId + "\""}, Executed::No, now);
        return;
    }
    change([&keyId](const RecordId &id) { return keyWithdrawRecord(id, keyId); },
           [done](Result<ConfigChangeOutcome> outcome, Executed executed, Instant at) {
               if (outcome)
                   done(outcome->inForce, executed, at);
               else
                   done(outcome.error(), executed, at);
           },
           now);
}

void OperatorService::setZone(const std::string &zone, bool out, const Done<bool> &done,
                              Instant now)
{
    change([&zone, out](const RecordId &id) { return zoneRecord(id, zone, out); },
           [done](Result<ConfigChangeOutcome> outcome, Executed executed, Instant at) {
               if (outcome)
                   done(outcome->inForce, executed, at);
               else
                   done(outcome.error(), executed, at);
           },
           now);
}

std::optional<std::string> OperatorService::localRows(const std::string &view, Instant now)
{
    if (view == DirectoryView)
        return m_node.directory().historyJson(now);
    const auto rows = viewRows(m_node, view, now);
    if (!rows)
        return std::nullopt;
    return json::serialize(*rows);
}

std::optional<PeerBody> OperatorService::handlePeer(const PeerBody &request, Instant now)
{
    if (const auto *rows = std::get_if<RowsRequest>(&request)) {
        const auto text = localRows(rows->view, now);
        if (text)
            return RowsAnswer{*text};
    }
    return std::nullopt;
}

void OperatorService::rows(const std::string &view, RowsDone done, Instant now)
{
    const auto local = view == DirectoryView ? std::nullopt : localRows(view, now);
    if (!local) {
        done(Error{ErrorCode::NotFound, "unknown view \"" + view + "\""}, now);
        return;
    }
    const auto aggregation = std::make_shared<RowAggregation>();
    aggregation->view = view;
    aggregation->done = std::move(done);
    aggregation->add(*local);
    aggregation->pendingAnswers = isSharedView(view) ? 0 : m_node.seatCount() - 1;
    if (aggregation->pendingAnswers == 0) {
        aggregation->finish(now);
        return;
    }
    for (SeatId seat = 0; seat < m_node.seatCount(); ++seat) {
        if (seat == m_node.self())
            continue;
        m_node.peers().request(seat, RowsRequest{view}, RowsTimeout,
                               [aggregation](const Result<PeerBody> &body, Instant at) {
                                   const auto *answer =
                                       body ? std::get_if<RowsAnswer>(&*body) : nullptr;
                                   if (answer != nullptr)
                                       aggregation->add(answer->json);
                                   if (--aggregation->pendingAnswers == 0)
                                       aggregation->finish(at);
                               });
    }
}

void OperatorService::explainWaiting(const JobKey &key,
                                     const std::function<void(Result<std::string>, Instant)> &done,
                                     Instant now)
{
    const Job *job = m_node.jobs().store().find(key);
    if (job == nullptr) {
        done(Error{ErrorCode::NotFound, "unknown job \"" + key.toString() + "\""}, now);
        return;
    }
    if (job->ended()) {
        done("the job has ended: " + std::string(jobStateName(job->state))
                 + (job->endReason.empty() ? "" : ", " + job->endReason),
             now);
        return;
    }
    m_node.queryOwner(
        key, job->spec.pool,
        [done](const std::optional<WhyAnswer> &answer, Instant at) {
            if (answer)
                done(answer->text, at);
            else
                done(Error{ErrorCode::Unavailable, "the owner of the pool did not answer"}, at);
        },
        now);
}

} // namespace cardamompaddle
