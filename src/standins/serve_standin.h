// Main loop shared by the stand-in programs.
#pragma once

#include "net/http_server.h"

#include <functional>
#include <string>

namespace cardamompaddle {

// Blocks SIGTERM and SIGINT in the calling thread and in threads that it starts later. Must be
// called before any thread is started.
void blockStopSignals();
// Serves `handler` on `address`, prints "listening IP:PORT" to standard output, calls `started`
// with that address and waits for SIGTERM or SIGINT. Returns the exit status of the program.
int serveUntilStopped(const std::string &address, HttpHandler handler,
                      const std::function<void(const std::string &boundAddress)> &started = {});

} // namespace cardamompaddle
