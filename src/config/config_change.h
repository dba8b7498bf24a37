// Records of log stream "config": their types, parsing and formatting.
#pragma once

#include "base/result.h"
#include "config/record_id.h"
#include "config/tables.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace cardamompaddle {

class ConfigState;

// Name of the log stream that holds the configuration.
inline constexpr std::string_view ConfigStream = "config";

// Replaces all tables, if `baseVersion` is still the current version.
struct TablesChange
{
    uint64_t baseVersion = 0;
    std::string tables; // JSON; ConfigState validates it when it applies the record
};

// Adds a key. `id`, `salt` and `hash` are lower-case hexadecimal.
struct KeyCreate
{
    std::string id;
    std::string team;
    std::string salt;
    std::string hash; // SHA-256 of salt and secret
};

// Makes a key invalid.
struct KeyWithdraw
{
    std::string id;
};

// Takes an availability zone out of service, or puts it back into service.
struct ZoneChange
{
    std::string zone;
    bool out = false;
};

// The whole state after all records up to the one whose offset the snapshot names as "covers".
struct SnapshotChange
{
    std::string snapshot; // text of ConfigState::snapshot()
};

// One record of the stream.
struct ConfigRecord
{
    RecordId id;
    std::variant<TablesChange, KeyCreate, KeyWithdraw, ZoneChange, SnapshotChange> change;
};

// JSON text of a record, ready to append.
std::string formatConfigRecord(const ConfigRecord &record);
// Inverse of formatConfigRecord. Errors: InvalidArgument.
Result<ConfigRecord> parseConfigRecord(std::string_view text);

// Each returns the text of one record, as formatConfigRecord does.
std::string tablesRecord(const RecordId &id, uint64_t baseVersion, const Tables &tables);
std::string keyCreateRecord(const RecordId &id, const KeyCreate &key);
std::string keyWithdrawRecord(const RecordId &id, const std::string &keyId);
std::string zoneRecord(const RecordId &id, const std::string &zone, bool out);
// Precondition: the state has applied at least one record.
std::string snapshotRecord(const RecordId &id, const ConfigState &state);

} // namespace cardamompaddle
