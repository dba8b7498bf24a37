#include "control/gateways.h"

#include <array>

namespace cardamompaddle {

std::string_view appendOutcomeName(AppendOutcome outcome)
{
    static constexpr std::array<std::string_view, 5> Names = {"stored", "not_stored", "end_moved",
                                                              "fenced", "unknown"};
    return Names[static_cast<size_t>(outcome)];
}

} // namespace cardamompaddle
