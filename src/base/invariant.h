// Invariant checks, active in every build. A violation stops the process rather than let it go on.
#pragma once

#include <string_view>

namespace cardamompaddle {

// Called with the rule and the relevant state when a check fails. The default handler prints
// both to standard error and aborts; a test may install one that throws.
using InvariantHandler = void (*)(std::string_view rule, std::string_view state);

// Installs a handler and returns the previous one. Not thread-safe; call it before threads start.
InvariantHandler setInvariantHandler(InvariantHandler handler);

// Calls the handler with the violated rule; aborts if the handler returns.
[[noreturn]] void reportInvariantViolation(std::string_view rule, std::string_view state);

// Stops the process if `holds` is false. `rule` begins with the number of the invariant in
// docs/design.md, for example "I1 no instance is overcommitted".
inline void invariant(bool holds, std::string_view rule, std::string_view state = {})
{
    if (!holds) [[unlikely]]
        reportInvariantViolation(rule, state);
}

} // namespace cardamompaddle
