#include "control/gateways.h"

#include <array>

namespace cardamompaddle {

std::string_view appendOutcomeName(AppendOutcome outcome)
{
    static constexpr std::array<std::string_view, 5> Names = {"stored", "not_stored", "end_moved",
                                                              "fenced", "unknown"};
    return Names[static_cast<size_t>(outcome)];
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
