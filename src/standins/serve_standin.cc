#include "standins/serve_standin.h"

#include <csignal>
#include <iostream>
#include <pthread.h>
#include <utility>

namespace cardamompaddle {
namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void blockStopSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int serveUntilStopped(const std::string &address, HttpHandler handler,
                      const std::function<void(const std::string &boundAddress)> &started)
{
    // A single server thread, since tests run many stand-ins on one machine.
    const auto server = HttpServer::create({.address = address,
                                            .threads = 1,
                                            .maxBodyBytes = 16UL * 1024 * 1024,
                                            .idleTimeout = Duration(60'000)},
                                           std::move(handler));
    if (!server) {
        std::cerr << server.error().reason << "\n";
        return 1;
    }
    const std::string host = address.substr(0, address.rfind(':'));
    const std::string boundAddress = host + ":" + std::to_string((*server)->port());
    std::cout << "listening " << boundAddress << std::endl;
    if (started)
        started(boundAddress);
    const sigset_t signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
    (*server)->stop();
    return 0;
}

} // namespace cardamompaddle
