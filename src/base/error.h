// Error codes and their stable names, shared by all modules and the HTTP interfaces.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cardamompaddle {

enum class ErrorCode {
    InvalidArgument, // malformed or inconsistent input; no state changed
    Unauthenticated, // missing, unknown or withdrawn API key
    PermissionDenied, // for example a key of another team, or a stale epoch
    NotFound,
    Conflict, // a concurrent change came first, or the id exists with other content
    TooLarge,
    Overloaded, // a bounded queue, a limit or a retry budget is exhausted
    Unavailable, // the component responsible for the call cannot serve it at present
    DeadlineExceeded,
    OutcomeUnknown, // the action may or may not have taken effect
    Failed, // the work ran and failed
    Cancelled,
    Internal,
};

// Whether the work of a failed call may have run. `No` guarantees that it has not.
enum class Executed { No, Unknown };

// Returns the stable lower-case name, for example "invalid_argument".
std::string_view errorName(ErrorCode code);
// Inverse of errorName; empty for an unknown name.
std::optional<ErrorCode> errorFromName(std::string_view name);
// "no" or "unknown".
std::string_view executedName(Executed executed);

// An error value: a code for callers to branch on and a human-readable reason.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string reason;

    friend bool operator==(const Error &, const Error &) = default;
};

} // namespace cardamompaddle
