// Implements the operators' calls: changes of the configuration, and views of all instances.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "config/tables.h"
#include "node/node.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle {

struct TablesChangeResult
{
    uint64_t version = 0; // of the configuration after the change; of a dry run: the current one
    bool inForce = false; // confirmed by a majority of seats
    std::vector<std::string> diff;
};

struct NewKeyResult
{
    std::string keyId;
    std::string key; // not stored, so it cannot be shown again
    bool inForce = false;
};

// Not thread-safe: control thread only.
class OperatorService
{
public:
    // `node` must outlive the service.
    explicit OperatorService(Node &node);

    template <typename T>
    using Done = std::function<void(Result<T> result, Executed executed, Instant now)>;

    // Replaces the tables if `baseVersion` is still current; a dry run only validates them and
    // computes the difference.
    void applyTables(uint64_t baseVersion, const std::string &text, bool dryRun,
                     const Done<TablesChangeResult> &done, Instant now);
    // `random`: KeyRandomBytes from a cryptographic source.
    void createKey(const std::string &team, std::span<const uint8_t> random,
                   const Done<NewKeyResult> &done, Instant now);
    // withdrawKey() and setZone() return whether a majority of seats has confirmed the change.
    void withdrawKey(const std::string &keyId, const Done<bool> &done, Instant now);
    void setZone(const std::string &zone, bool out, const Done<bool> &done, Instant now);

    using RowsDone = std::function<void(Result<std::string> json, Instant now)>;
    // Returns a JSON array of rows for one of the views: instances, workers, queues, teams, pools,
    // zones, keys, slo. The rows of other members are fetched; members that do not answer are left
    // out.
    void rows(const std::string &view, RowsDone done, Instant now);
    // Asks the owner of the job's pool why the job waits.
    void explainWaiting(const JobKey &key,
                        const std::function<void(Result<std::string>, Instant)> &done, Instant now);

private:
    std::optional<PeerBody> handlePeer(const PeerBody &request, Instant now);
    std::optional<std::string> localRows(const std::string &view, Instant now);
    void change(const ConfigService::RecordBuilder &builder, const ConfigService::ChangeDone &done,
                Instant now);

    Node &m_node;
};

} // namespace cardamompaddle
