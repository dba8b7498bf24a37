// A submission with many occurrences runs. Once the record of its progress is longer than the store
// takes, nothing is stored or started any more, for nobody, also after a restart of all instances.
#include "lab.h"

#include <csignal>

using namespace lab;

namespace {

constexpr int Steps = 50;
constexpr int64_t IntervalMs = 200;
constexpr int Occurrences = 380; // 19,000 tasks in all
constexpr int OccurrencesWithoutTrouble = 100;
constexpr int64_t WorkMs = 100;
constexpr int64_t PatienceMs = 8'000; // the rule allows 3 s
const char *const Large = "00000000000000f0";
const char *const Small = "00000000000000f1";

// Whether the submission has nothing running for PatienceMs while all workers are idle.
Task<bool> isStuck(const std::string &id, const std::vector<std::shared_ptr<RunEvent>> &events,
                   const std::vector<std::unique_ptr<Worker>> &workers)
{
    const int64_t until = nowMs() + PatienceMs;
    while (nowMs() < until) {
        for (const auto &event : events) {
            if (event->task.starts_with(id))
                co_return false;
        }
        for (const auto &worker : workers) {
            if (worker->runningCount() > 0 && nowMs() > until - PatienceMs + 1'000)
                co_return false;
        }
        co_await sleepFor(100);
    }
    co_return true;
}

Task<std::optional<std::vector<std::string>>> scenario(Case &it)
{
    const int occurrences = it.trouble ? Occurrences : OccurrencesWithoutTrouble;
    std::vector<std::shared_ptr<RunEvent>> events;
    LogStore log(it.io, it.record);
    log.put("keyed.op", "config", manifest(3, 3));
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 0; i < 8; ++i) {
        Worker::Options options;
        options.id = "i-" + std::to_string(1'000 + i);
        options.service = "billing";
        options.zone = "zone-" + std::to_string(1 + i % 3);
        options.labels = {"kind-a", "rack-" + std::to_string(i / 6)};
        workers.push_back(std::make_unique<Worker>(
            it.io, it.record, log, options, [](const std::string &) { return WorkMs; }, events));
    }
    Entries entries(it.io, it.record, log.address(), 3, it.folder);
    if (!co_await entries.awaitReady())
        co_return std::nullopt;
    co_await sleepFor(1'500);
    Client client(it.io, it.record, "runs.example", "/runs/", "key-one");
    const std::string step =
        "{\"Count\":1,\"Cpu\":500,\"MemoryRequestMb\":256,\"EstimatedMs\":100}";
    std::string steps = step;
    for (int i = 1; i < Steps; ++i)
        steps += "," + step;
    const std::string large =
        "{\"Specification\":\"x\",\"Repetitions\":" + std::to_string(occurrences)
        + ",\"FirstRunMs\":" + std::to_string(unixMs() + 200)
        + ",\"IntervalMs\":" + std::to_string(IntervalMs) + ",\"Steps\":[" + steps + "]}";
    if ((co_await client.send(entries.callers(0), "POST", Large, large)).status != 200)
        co_return std::nullopt;
    co_await sleepFor(occurrences * IntervalMs + 1'500);
    // On a slow machine the runs may still be catching up.
    const int64_t until = nowMs() + 8'000;
    for (size_t seen = 0; events.size() > seen && nowMs() < until;) {
        seen = events.size();
        co_await sleepFor(1'000);
    }
    it.record.line("case    " + std::to_string(events.size()) + " runs have started, of "
                   + std::to_string(occurrences * Steps) + " tasks that are due");
    const std::string small = "{\"Specification\":\"x\",\"Steps\":[" + step + "]}";
    if ((co_await client.send(entries.callers(1), "POST", Small, small)).status != 200)
        co_return std::nullopt;
    std::vector<std::string> breaks;
    if (co_await isStuck(Small, events, workers)) {
        breaks.push_back("an accepted submission has nothing running for "
                         + std::to_string(PatienceMs)
                         + " ms, on 8 idle workers; the large one is stuck at "
                         + std::to_string(events.size()) + " runs");
        for (size_t i = 0; i < entries.size(); ++i)
            entries.signal(i, SIGKILL);
        for (size_t i = 0; i < entries.size(); ++i)
            entries.start(i);
        if (!co_await entries.awaitReady())
            co_return std::nullopt;
        if (co_await isStuck(Small, events, workers))
            breaks.push_back("nor in " + std::to_string(PatienceMs)
                             + " ms after all instances were started again");
    }
    co_await sleepFor(500);
    co_await client.send(entries.callers(2), "GET", Large);
    co_await client.send(entries.callers(2), "GET", Small);
    co_return breaks;
}

} // namespace

int main(int, char **argv)
{
    return runCase(argv[1], scenario);
}
