#include "base/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace cardamompaddle {
namespace {

void printAndAbort(std::string_view rule, std::string_view state)
{
    std::fprintf(stderr, "invariant violated: %.*s; state: %.*s\n", static_cast<int>(rule.size()),
                 rule.data(), static_cast<int>(state.size()), state.data());
    std::abort();
}

InvariantHandler currentHandler = printAndAbort;

} // namespace

InvariantHandler setInvariantHandler(InvariantHandler handler)
{
    const InvariantHandler previous = currentHandler;
    currentHandler = handler != nullptr ? handler : printAndAbort;
    return previous;
}

void reportInvariantViolation(std::string_view rule, std::string_view state)
{
    currentHandler(rule, state);
    std::abort();
}

} // namespace cardamompaddle
