// standin_list: serves the stand-in for the platform's instance list over HTTP.
#include "standins/list_standin.h"
#include "standins/serve_standin.h"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "IP:PORT to serve on; port 0 selects a free port");

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    cardamompaddle::blockStopSignals();
    cardamompaddle::ListStandin list;
    return cardamompaddle::serveUntilStopped(
        FLAGS_listen,
        [&list](const auto &request, const auto &respond) { list.handle(request, respond); });
}
