// The process of an entry instance: the sockets, timers and threads that a Node needs.
#pragma once

#include "base/result.h"
#include "settings/settings.h"

#include <memory>

namespace cardamompaddle {

// Runs one Node with its HTTP servers and peer transport. Not thread-safe.
class EntryDaemon
{
public:
    // Creates the daemon and binds all addresses. Errors: InvalidArgument, Unavailable if an
    // address cannot be bound.
    static Result<std::unique_ptr<EntryDaemon>> create(const Settings &settings);
    ~EntryDaemon();

    // Runs until a planned stop, begun by SIGTERM or SIGINT, has completed. A second signal ends
    // the drain delay. Returns the exit code of the process: 0 if every request was finished and
    // every pool handed over, 1 if the stop exceeded its time limit or another process has taken
    // over the seat.
    int run();

private:
    class Impl;
    explicit EntryDaemon(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace cardamompaddle
