#include "base/error.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cardamompaddle {
namespace {

constexpr std::array<std::pair<ErrorCode, std::string_view>, 13> ErrorNames = {{
    {ErrorCode::InvalidArgument, "invalid_argument"},
    {ErrorCode::Unauthenticated, "unauthenticated"},
    {ErrorCode::PermissionDenied, "permission_denied"},
    {ErrorCode::NotFound, "not_found"},
    {ErrorCode::Conflict, "conflict"},
    {ErrorCode::TooLarge, "too_large"},
    {ErrorCode::Overloaded, "overloaded"},
    {ErrorCode::Unavailable, "unavailable"},
    {ErrorCode::DeadlineExceeded, "deadline_exceeded"},
    {ErrorCode::OutcomeUnknown, "outcome_unknown"},
    {ErrorCode::Failed, "failed"},
    {ErrorCode::Cancelled, "cancelled"},
    {ErrorCode::Internal, "internal"},
}};

} // namespace

std::string_view errorName(ErrorCode code)
{
    const auto it = std::find_if(ErrorNames.begin(), ErrorNames.end(),
                                 [code](const auto &entry) { return entry.first == code; });
    return it == ErrorNames.end() ? "internal" : it->second;
}

std::optional<ErrorCode> errorFromName(std::string_view name)
{
    const auto it = std::find_if(ErrorNames.begin(), ErrorNames.end(),
                                 [name](const auto &entry) { return entry.second == name; });
    if (it == ErrorNames.end())
        return std::nullopt;
    return it->first;
}

std::string_view executedName(Executed executed)
{
    return executed == Executed::No ? "no" : "unknown";
}

} // namespace cardamompaddle
