// Exit codes of the command-line program. Scripts depend on the values.
#pragma once

namespace cardamompaddle {

enum class ExitCode {
    Done = 0,
    Failed = 1, // the work or the command failed
    Usage = 2, // invalid command line or unreadable local file
    Refused = 3, // refused; nothing was executed
    OutcomeUnknown = 4, // may or may not have been executed
    Unreachable = 5, // no address was reachable, or a read received no response
    Conflict = 6, // the tables have changed meanwhile, or the id belongs to different work
};

} // namespace cardamompaddle
