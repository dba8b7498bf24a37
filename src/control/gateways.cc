#include "control/gateways.h"

#include <array>

namespace cardamompaddle {

std::string_view appendOutcomeName(AppendOutcome outcome)
{
    static constexpr std::array<std::string_view, 6> Names = {"stored", "not_stored", "end_moved",
                                                              "fenced", "rejected",   "unknown"};
    return Names[static_cast<size_t>(outcome)];
}

size_t storedBytes(const KeyedRecord &record)
{
    // The lengths of the record and of its key.
    constexpr size_t FramingBytes = 5;
    return FramingBytes + record.key.size() + record.value.size();
}

void assignOffsets(std::vector<KeyedRecord> &records, const AppendResult &answer)
{
    if (answer.offset < 0)
        records.clear();
    int64_t offset = answer.offset;
    for (KeyedRecord &record : records)
        record.offset = offset++;
}

} // namespace cardamompaddle
