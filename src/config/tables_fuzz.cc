// Fuzz target for the parsers of tables, settings, snapshots and records. No input may crash a
// parser, and an accepted input must keep its meaning when it is formatted and parsed again.
#include "config/config_change.h"
#include "config/config_state.h"
#include "config/tables.h"
#include "jobs/job_record.h"
#include "settings/settings.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

using namespace cardamompaddle;

// NOLINTNEXTLINE(readability-identifier-naming): the name that libFuzzer calls
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    if (const auto tables = parseTables(text); tables.ok()) {
        const auto again = parseTables(formatTables(*tables));
        invariant(again.ok() && *again == *tables, "canonical tables parse to the same tables");
    }
    if (const auto record = parseConfigRecord(text); record.ok()) {
        const auto again = parseConfigRecord(formatConfigRecord(*record));
        invariant(again.ok() && again->id == record->id,
                  "a formatted config record parses to the same record");
    }
    if (const auto record = parseJobRecord(text); record.ok()) {
        const auto again = parseJobRecord(formatJobRecord(*record));
        invariant(again.ok() && again->id == record->id,
                  "a formatted job record parses to the same record");
    }
    (void)Settings::create(text, "settings");
    (void)ConfigState::fromSnapshot(text);
    return 0;
}
