#include "config/config_change.h"

#include "config/config_state.h"
#include "config/json_reader.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace cardamompaddle {
namespace {

namespace json = boost::json;

// Valid records are a few MiB at most. The limit bounds the memory that a damaged record can take.
constexpr size_t MaxTextBytes = 64 << 20;

// Writes the type and the body of a change into the JSON object of its record.
struct Formatter
{
    json::object &record;

    void operator()(const TablesChange &change) const
    {
        record["type"] = "tables";
        record["base_version"] = change.baseVersion;
        record["body"] = json::object{{"tables", change.tables}};
    }
    void operator()(const KeyCreate &change) const
    {
        record["type"] = "key_create";
        record["body"] = json::object{
            {"id", change.id}, {"team", change.team}, {"salt", change.salt}, {"hash", change.hash}};
    }
    void operator()(const KeyWithdraw &change) const
    {
        record["type"] = "key_withdraw";
        record["body"] = json::object{{"id", change.id}};
    }
    void operator()(const ZoneChange &change) const
    {
        record["type"] = change.out ? "zone_out" : "zone_in";
        record["body"] = json::object{{"zone", change.zone}};
    }
    void operator()(const SnapshotChange &change) const
    {
        record["type"] = "snapshot";
        record["body"] = json::object{{"snapshot", change.snapshot}};
    }
};

// Reads a string of exactly `digits` lower-case hexadecimal digits.
std::string readHex(JsonObject &body, std::string_view key, size_t digits)
{
    std::string text = body.text(key);
    const bool isHex = text.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (text.size() != digits || !isHex)
        body.fail(key, "must be " + std::to_string(digits) + " lower-case hexadecimal digits");
    return text;
}

void readBody(JsonObject &record, const std::string &type, ConfigRecord &result)
{
    JsonObject body = record.object("body");
    if (type == "tables") {
        const uint64_t base = record.unsignedInteger("base_version");
        result.change = TablesChange{base, body.text("tables", MaxTextBytes)};
    } else if (type == "key_create") {
        KeyCreate change;
        change.id = readHex(body, "id", 16);
        change.team = body.name("team");
        change.salt = readHex(body, "salt", 32);
        change.hash = readHex(body, "hash", 64);
        result.change = change;
    } else if (type == "key_withdraw") {
        result.change = KeyWithdraw{readHex(body, "id", 16)};
    } else if (type == "zone_out" || type == "zone_in") {
        result.change = ZoneChange{body.name("zone"), type == "zone_out"};
    } else if (type == "snapshot") {
        result.change = SnapshotChange{body.text("snapshot", MaxTextBytes)};
    } else {
        record.fail("type", "unknown type \"" + type + "\"");
    }
    body.finish();
}

} // namespace

std::string formatConfigRecord(const ConfigRecord &record)
{
    json::object text;
    text["writer"] = record.id.writer;
    text["seq"] = record.id.seq;
    std::visit(Formatter{text}, record.change);
    return json::serialize(text);
}

Result<ConfigRecord> parseConfigRecord(std::string_view text)
{
    const auto value = parseStrictJson(text);
    if (!value.ok())
        return value.error();
    JsonErrors errors;
    JsonObject record(*value, "", errors);
    ConfigRecord result;
    result.id.writer = record.unsignedInteger("writer");
    result.id.seq = record.unsignedInteger("seq");
    const std::string type = record.text("type");
    if (errors.ok())
        readBody(record, type, result);
    record.finish();
    if (!errors.ok())
        return errors.error();
    return result;
}

std::string tablesRecord(const RecordId &id, uint64_t baseVersion, const Tables &tables)
{
    return formatConfigRecord({id, TablesChange{baseVersion, formatTables(tables)}});
}

std::string keyCreateRecord(const RecordId &id, const KeyCreate &key)
{
    return formatConfigRecord({id, key});
}

std::string keyWithdrawRecord(const RecordId &id, const std::string &keyId)
{
    return formatConfigRecord({id, KeyWithdraw{keyId}});
}

std::string zoneRecord(const RecordId &id, const std::string &zone, bool out)
{
    return formatConfigRecord({id, ZoneChange{zone, out}});
}

std::string snapshotRecord(const RecordId &id, const ConfigState &state)
{
    return formatConfigRecord({id, SnapshotChange{state.snapshot()}});
}

} // namespace cardamompaddle
