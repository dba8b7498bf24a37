// standin_worker: serves the stand-in for a worker over HTTP.
#include "net/blocking_client.h"
#include "net/worker_protocol.h"
#include "standins/serve_standin.h"
#include "standins/worker_standin.h"

#include <gflags/gflags.h>

#include <memory>
#include <sstream>

DEFINE_string(listen, "127.0.0.1:0", "IP:PORT to serve on; port 0 selects a free port");
DEFINE_string(id, "worker-0", "name in the instance list");
DEFINE_string(zone, "zone-a", "availability zone");
DEFINE_string(rack, "rack-0", "rack");
DEFINE_string(labels, "", "comma-separated NAME=VALUE pairs");
DEFINE_int64(slots, 8, "maximum number of concurrent tasks");
DEFINE_int64(connections, 64, "maximum number of concurrent requests");
DEFINE_int64(cpu_milli, 16'000, "processor capacity in thousandths of a core");
DEFINE_int64(memory_mb, 32'768, "memory capacity in MiB");
DEFINE_int64(accelerators, 0, "number of accelerators");
DEFINE_int32(overcommit_cpu_percent, 100, "limit for started tasks, in percent of cpu_milli");
DEFINE_int64(usage_lag_ms, 500, "age of the reported usage");
DEFINE_string(list, "", "IP:PORT of the instance list to register with; empty: do not register");
DEFINE_bool(fail_all, false, "fail every task shortly after its start");

namespace {

using namespace cardamompaddle;

constexpr Duration RegistrationPeriod{1'000};

std::map<std::string, std::string> parseLabels(const std::string &text)
{
    std::map<std::string, std::string> labels;
    std::istringstream in(text);
    for (std::string pair; std::getline(in, pair, ',');) {
        const size_t eq = pair.find('=');
        if (eq != std::string::npos)
            labels[pair.substr(0, eq)] = pair.substr(eq + 1);
    }
    return labels;
}

// Registers the worker with the instance list, now and every RegistrationPeriod.
void registerPeriodically(TimerThread &timers, const WorkerInfo &info)
{
    const auto response = blockingRequest(FLAGS_list, "PUT", "/instances/" + percentEncode(info.id),
                                          encodeWorkerInfo(info), RegistrationPeriod);
    (void)response; // an error needs no handling, since the registration is repeated
    timers.runAfter(RegistrationPeriod, [&timers, info] { registerPeriodically(timers, info); });
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    blockStopSignals();
    const Resources capacity{FLAGS_cpu_milli, FLAGS_memory_mb, FLAGS_accelerators, FLAGS_slots,
                             FLAGS_connections};
    WorkerStandin worker(FLAGS_id,
                         {capacity, Duration(FLAGS_usage_lag_ms), FLAGS_overcommit_cpu_percent});
    worker.setFailAll(FLAGS_fail_all);
    TimerThread registration;
    return serveUntilStopped(
        FLAGS_listen,
        [&worker](const auto &request, const auto &respond) { worker.handle(request, respond); },
        [&registration, capacity](const std::string &bound) {
            if (FLAGS_list.empty())
                return;
            const WorkerInfo info{
                FLAGS_id, bound, FLAGS_zone, FLAGS_rack, parseLabels(FLAGS_labels),
                capacity, false};
            registration.runAfter(
                Duration(0), [&registration, info] { registerPeriodically(registration, info); });
        });
}
