// standin_log: serves the stand-in for the platform's log over HTTP.
#include "standins/log_standin.h"
#include "standins/serve_standin.h"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "IP:PORT to serve on; port 0 selects a free port");

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    cardamompaddle::blockStopSignals();
    cardamompaddle::LogStandin log;
    return cardamompaddle::serveUntilStopped(
        FLAGS_listen,
        [&log](const auto &request, const auto &respond) { log.handle(request, respond); });
}
