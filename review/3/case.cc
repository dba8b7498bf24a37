// Submissions of small tasks run on one worker; the store is down while they end, so that it has
// more ends to list than fit into one response.
#include "lab.h"

using namespace lab;

namespace {

constexpr int Submissions = 14;
constexpr int TasksEach = 50;
constexpr int64_t DownAfterMs = 3'000;
constexpr int64_t DownMs = 4'500;

std::string idOf(int submission)
{
    return "00000000000000" + std::string(submission < 10 ? "d" : "e")
           + std::to_string(submission % 10);
}

// 3.5 to 7 s, spread evenly over all tasks.
int64_t workTime(const std::string &task)
{
    const int submission = (task[14] == 'd' ? 0 : 10) + (task[15] - '0');
    const int index = std::stoi(task.substr(task.rfind('.') + 1));
    return 3'500 + (index * Submissions + submission) * 5;
}

Task<std::optional<std::vector<std::string>>> scenario(Case &it)
{
    std::vector<std::shared_ptr<RunEvent>> events;
    LogStore log(it.io, it.record);
    log.put("keyed.op", "config", manifest(3, 3));
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 0; i < 6; ++i) {
        Worker::Options options;
        options.id = "i-" + std::to_string(1'000 + i);
        options.service = "billing";
        options.zone = "zone-" + std::to_string(1 + i % 3);
        options.labels = {"kind-a", "rack-" + std::to_string(i)};
        workers.push_back(
            std::make_unique<Worker>(it.io, it.record, log, options, workTime, events));
    }
    Entries entries(it.io, it.record, log.address(), 3, it.folder);
    if (!co_await entries.awaitReady())
        co_return std::nullopt;
    co_await sleepFor(2'000);
    Client client(it.io, it.record, "runs.example", "/runs/", "key-one");
    const std::string job =
        "{\"Specification\":\"x\",\"Steps\":[{\"Count\":" + std::to_string(TasksEach)
        + ",\"Cpu\":20,\"MemoryRequestMb\":40,\"EstimatedMs\":5000}]}";
    for (int i = 0; i < Submissions; ++i) {
        if ((co_await client.send(entries.callers(0), "POST", idOf(i), job)).status != 200)
            co_return std::nullopt;
    }
    co_await sleepFor(DownAfterMs);
    if (it.trouble) {
        it.record.line("store   is down: it answers nothing");
        log.silent = true;
        co_await sleepFor(DownMs);
        it.record.line("store   is back");
        log.silent = false;
    }
    co_await sleepFor(3'000);
    const int64_t until = nowMs() + 20'000;
    for (int i = 0; i < Submissions && nowMs() < until;) {
        const Response answer = co_await client.send(entries.callers(1), "GET", idOf(i));
        if (answer.body.find("completed") != std::string::npos)
            ++i;
        else
            co_await sleepFor(500);
    }
    co_await sleepFor(2'000);
    co_return checkTwice(events);
}

} // namespace

int main(int, char **argv)
{
    return runCase(argv[1], scenario);
}
