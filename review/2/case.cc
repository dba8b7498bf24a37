// The only worker that may run a service crashes three times, each time soon after the service's
// task has started, and is sound from then on.
#include "lab.h"

using namespace lab;

namespace {

constexpr int64_t DownMs = 1'000;
constexpr int64_t RunsBeforeCrashMs = 300;
constexpr int Crashes = 3;
constexpr int64_t SoundMs = 20'000; // how long all is calm afterwards
const char *const Id = "00000000000000c0";

Task<std::optional<std::vector<std::string>>> scenario(Case &it)
{
    std::vector<std::shared_ptr<RunEvent>> events;
    LogStore log(it.io, it.record);
    log.put("keyed.op", "config", manifest(3, 3));
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 0; i < 8; ++i) {
        Worker::Options options;
        options.id = "i-" + std::to_string(1'000 + i);
        options.service = "billing";
        options.zone = "zone-" + std::to_string(1 + i % 3);
        options.labels = {i == 0 ? "kind-b" : "kind-a", "rack-" + std::to_string(i / 6)};
        workers.push_back(std::make_unique<Worker>(
            it.io, it.record, log, options, [](const std::string &) { return -1; }, events));
    }
    Entries entries(it.io, it.record, log.address(), 3, it.folder);
    if (!co_await entries.awaitReady())
        co_return std::nullopt;
    co_await sleepFor(2'000);
    Client client(it.io, it.record, "runs.example", "/runs/", "key-one");
    Worker &worker = *workers[0];
    int64_t startedAt = -1;
    worker.onStart = [&startedAt](const std::string &, int64_t) { startedAt = nowMs(); };
    const std::string job =
        "{\"Specification\":\"x\",\"Steps\":[{\"Count\":1,\"Cpu\":3000,\"MemoryRequestMb\":4096,"
        "\"EstimatedMs\":400,\"Requirements\":\"kind-b\",\"LongRunning\":true}]}";
    if ((co_await client.send(entries.callers(0), "POST", Id, job)).status != 200)
        co_return std::nullopt;
    for (int i = 0; i < Crashes && it.trouble; ++i) {
        for (const int64_t until = nowMs() + 15'000; startedAt < 0;) {
            if (nowMs() > until)
                co_return std::nullopt;
            co_await sleepFor(10);
        }
        co_await sleepFor(std::max<int64_t>(0, startedAt + RunsBeforeCrashMs - nowMs()));
        worker.crash(false);
        startedAt = -1;
        co_await sleepFor(DownMs);
        worker.restart("i-200" + std::to_string(i));
    }
    const int64_t calmSince = nowMs();
    std::vector<std::string> breaks;
    int64_t idleSince = -1;
    while (nowMs() < calmSince + SoundMs) {
        co_await sleepFor(1'000);
        const Response answer = co_await client.send(entries.callers(1), "GET", Id);
        if (answer.body.find("failed") != std::string::npos && breaks.empty())
            breaks.push_back(
                "the submission is shown as `failed`, and no run of it has ended `failed`");
        // LOST: a task that lasts has nothing running for 3 s, from 6 s after its last run, while
        // the worker that may run it is sound and empty.
        if (worker.runningCount() > 0)
            idleSince = -1;
        else if (idleSince < 0)
            idleSince = nowMs();
    }
    if (idleSince >= 0 && nowMs() - idleSince > 10'000)
        breaks.push_back(
            "nobody has cancelled the submission, and its task that lasts has had no run for "
            + std::to_string(nowMs() - idleSince) + " ms while the worker is sound and empty");
    co_return breaks;
}

} // namespace

int main(int, char **argv)
{
    return runCase(argv[1], scenario);
}
