// Conversion of ConfigState to and from the JSON text of a snapshot.
#include "config/config_state.h"
#include "config/json_reader.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace cardamompaddle {
namespace {

namespace json = boost::json;

// Must be raised when the computation of the state or of its digest changes. Otherwise instances of
// two releases would report each other's snapshots as violations of invariant I11.
constexpr int64_t SnapshotFormat = 1;
constexpr size_t MaxTablesBytes = 64 << 20;

} // namespace

// Writes and reads the private parts of ConfigState.
class SnapshotCodec
{
public:
    // The snapshot as a JSON object. Precondition: the state has applied at least one record.
    static json::object toJson(const ConfigState &state)
    {
        json::object text;
        text["format"] = SnapshotFormat;
        text["covers"] = state.m_next - 1;
        text["digest"] = state.digest();
        text["version"] = state.m_version;
        text["tables"] = formatTables(state.m_tables);
        json::array zones;
        for (const std::string &it : state.m_zonesOut)
            zones.emplace_back(it);
        text["zones_out"] = zones;
        json::array keys;
        for (const auto &[id, key] : state.m_keys) {
            keys.push_back(json::object{{"id", id},
                                        {"team", key.team},
                                        {"salt", key.salt},
                                        {"hash", key.hash},
                                        {"withdrawn_at", key.withdrawnAtVersion}});
        }
        text["keys"] = keys;
        json::array writers;
        for (const auto &[writer, seen] : state.m_seenRecords.writers()) {
            writers.push_back(json::object{{"writer", writer},
                                           {"newest", seen.newest},
                                           {"mask", seen.mask},
                                           {"last_offset", seen.lastOffset}});
        }
        text["writers"] = writers;
        return text;
    }

    // Reads everything except the tables and the digest.
    static void read(JsonObject &text, ConfigState &state)
    {
        text.integer("format", SnapshotFormat, SnapshotFormat);
        state.m_next = text.unsignedInteger("covers") + 1;
        state.m_version = text.unsignedInteger("version");
        text.forEachText("zones_out", [&](std::string_view zone, const std::string &) {
            state.m_zonesOut.emplace(zone);
        });
        text.forEach("keys", true, [&](JsonObject &row) {
            KeyEntry key;
            key.team = row.name("team");
            key.salt = row.text("salt");
            key.hash = row.text("hash");
            key.withdrawnAtVersion = row.unsignedInteger("withdrawn_at");
            state.m_keys[row.text("id")] = key;
            row.finish();
        });
        text.forEach("writers", true, [&](JsonObject &row) {
            SeenRecords::Writer seen;
            seen.newest = row.unsignedInteger("newest");
            seen.mask = row.unsignedInteger("mask");
            seen.lastOffset = row.unsignedInteger("last_offset");
            state.m_seenRecords.restore(row.unsignedInteger("writer"), seen);
            row.finish();
        });
    }

    static void readTables(JsonObject &text, ConfigState &state)
    {
        auto tables = parseTables(text.text("tables", MaxTablesBytes));
        if (tables.ok())
            state.setTables(*std::move(tables));
        else
            text.fail("tables", tables.error().reason);
    }
};

std::string ConfigState::snapshot() const
{
    invariant(m_next > 0, "I11 a snapshot covers at least one record");
    return json::serialize(SnapshotCodec::toJson(*this));
}

Result<ConfigState> ConfigState::fromSnapshot(std::string_view text)
{
    const auto value = parseStrictJson(text);
    if (!value.ok())
        return value.error();
    JsonErrors errors;
    JsonObject reader(*value, "", errors);
    ConfigState state;
    SnapshotCodec::read(reader, state);
    const uint64_t digest = reader.unsignedInteger("digest");
    SnapshotCodec::readTables(reader, state);
    reader.finish();
    if (!errors.ok())
        return errors.error();
    if (state.digest() != digest)
        return Error{ErrorCode::InvalidArgument, "digest: does not match the state"};
    state.m_recentDigests.emplace_back(state.m_next, digest);
    return state;
}

} // namespace cardamompaddle
