#include "lab.h"

#include "log_client.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>

namespace review {

namespace {

// Queues of one service without a policy: batch work and work that lasts.
constexpr const char *Routes =
    R"({"Name": "batch", "Host": "127.0.0.1", "PathPrefix": "/batch/", "Service": "s", "Priority": 1,)"
    R"( "MaxAttempts": 4, "Stretch": 2, "TargetLatencyMs": 1000},)"
    R"({"Name": "watch", "Host": "127.0.0.1", "PathPrefix": "/watch/", "Service": "s", "Priority": 1,)"
    R"( "MaxAttempts": 3, "Stretch": 2, "TargetLatencyMs": 2500})";

LabOptions smallDeployment()
{
    LabOptions out;
    out.routes = Routes;
    out.platform.workers = 8;
    out.platform.workerCpuMilli = 16'000;
    out.platform.workerMemoryMb = 32'768;
    out.platform.availabilityZones = {"z1", "z2"};
    out.platform.stopTime = cp::Duration(200);
    out.platform.slowestClockRate = 0.99;
    out.platform.heartbeatInterval = cp::Duration(1'500);
    out.platform.readAnswerTime = cp::Duration(4);
    out.platform.appendTime = cp::Duration(1);
    return out;
}

} // namespace

namespace {

// A job of one task that lasts. Its data lies on rack-2, where worker i-1012 is alone.
std::string lastingJob()
{
    return R"({"Specification": "watch", "Steps": [{"Count": 1, "Cpu": 1000, "MemoryRequestMb": 512,)"
           R"( "EstimatedMs": 400, "LongRunning": true, "Affinity": "rack-2"}]})";
}

// 13 workers: six on rack-0, six on rack-1 and one on rack-2. Tasks last.
LabOptions deploymentWithLastingTasks()
{
    LabOptions out = smallDeployment();
    out.platform.workers = 13;
    out.platform.runTime = [](const std::string &) { return std::nullopt; };
    return out;
}

constexpr const char *Alone = "i-1012"; // the worker of rack-2

// Returns for how long nothing of the task has run: from its last end before `fromMs`, or from then
// if it has not run, to its next start, or to now. 0 if it runs at `fromMs` and goes on.
int64_t idleFrom(Lab &lab, const std::string &task, int64_t fromMs)
{
    int64_t lastEndMs = fromMs;
    int64_t until = lab.nowMs();
    for (const Run &it : lab.runs(task)) {
        if (it.startedMs > fromMs)
            until = std::min(until, it.startedMs);
        else if (it.endedMs < 0)
            return 0;
        else
            lastEndMs = std::max(lastEndMs, it.endedMs);
    }
    return until - lastEndMs;
}

// The rule LOST for a task that lasts: nothing of it runs for 3 s, from 6 s after its last run on,
// and these 3 s and the 4 s before them are calm. `calmFromMs` is when the last disruption has
// ended, with the time after which all machines are in touch again.
Verdict judgeLastingTask(Lab &lab, const std::string &task, int64_t sinceMs, int64_t calmFromMs)
{
    constexpr int64_t AfterLastRunMs = 6'000;
    constexpr int64_t CalmBeforeMs = 4'000;
    constexpr int64_t IdleMs = 3'000;
    lab.await(30'000, [&] { return lab.activeRun(task).has_value(); });
    const int64_t idle = idleFrom(lab, task, sinceMs);
    const int64_t allowed = std::max(AfterLastRunMs, calmFromMs - sinceMs + CalmBeforeMs) + IdleMs;
    lab.record("verdict: nothing of task " + task + " ran for " + std::to_string(idle)
               + " ms; calm since " + std::to_string(calmFromMs - sinceMs)
               + " ms after that began; the rule allows " + std::to_string(allowed) + " ms");
    return idle > allowed ? Verdict::Broken : Verdict::Held;
}

} // namespace

// A worker crashed and came back under its id 20 s ago. Now all processes lose power, and that
// worker is lost for good.
Verdict lostLongAfterRestart()
{
    constexpr int DownMs = 3'000;
    constexpr int64_t ContactMs = 3'000;
    const std::string id = "00000000000000c1";
    const std::string task = id + ".0.0.0";
    Lab lab(deploymentWithLastingTasks());
    if (!lab.start())
        return Verdict::CannotRun;
    // RESTART=0 leaves this restart out, to compare.
    const char *restart = std::getenv("RESTART");
    if (Lab::trouble() && (restart == nullptr || std::string(restart) != "0")) {
        lab.crash(Alone, emu::WorkerCrash::Reset, "one of 13 workers, for 0.5 s");
        lab.sleep(500);
        lab.restart(Alone, false);
    }
    lab.sleep(20'000);
    if (!lab.submit("/watch/" + id, lastingJob())
        || !lab.await(3'000, [&] { return lab.activeRun(task).has_value(); }))
        return Verdict::CannotRun;
    if (lab.activeRun(task)->worker != Alone)
        return Verdict::CannotRun;
    lab.sleep(2'000);
    const int64_t lostMs = lab.nowMs();
    if (Lab::trouble()) {
        lab.crash(Alone, emu::WorkerCrash::Silent, "one of 13 workers, for good");
        for (size_t i = 0; i < lab.instanceCount(); ++i)
            lab.killInstance(i);
        lab.sleep(DownMs);
        for (size_t i = 0; i < lab.instanceCount(); ++i)
            lab.startInstance(i);
    } else {
        lab.sleep(15'000);
    }
    return judgeLastingTask(lab, task, lostMs, lostMs + DownMs + ContactMs);
}

// The start of a task that lasts gets no answer, and then the operator evacuates the worker's zone.
Verdict unansweredStart()
{
    constexpr int64_t LateMs = 2'000; // after which the unanswered orders are carried out
    const std::string id = "00000000000000d1";
    const std::string task = id + ".0.0.0";
    LabOptions options = deploymentWithLastingTasks();
    options.platform.runTime = [id](const std::string &it) -> std::optional<cp::Duration> {
        if (it.starts_with(id))
            return std::nullopt;
        return cp::Duration(300);
    };
    Lab lab(std::move(options));
    if (!lab.start())
        return Verdict::CannotRun;
    // Other orders, of which those that get no answer are a small share.
    if (!lab.submit("/batch/00000000000000d0",
                    R"({"Specification": "work", "Steps": [{"Count": 90, "Cpu": 1000,)"
                    R"( "MemoryRequestMb": 512, "EstimatedMs": 300, "Affinity": "rack-0"}]})"))
        return Verdict::CannotRun;
    if (Lab::trouble()) {
        lab.onLoop([&] { lab.platform().delayOrders(Alone, 1, cp::Duration(LateMs)); });
        lab.record(std::string("worker ") + Alone
                   + ": leaves orders unanswered and carries them out 2 s later");
    }
    const int64_t submittedMs = lab.nowMs();
    if (!lab.submit("/watch/" + id, lastingJob()))
        return Verdict::CannotRun;
    while (lab.nowMs() < submittedMs + 1'100)
        lab.sleep(10);
    const int64_t endMs = lab.nowMs();
    if (Lab::trouble()) {
        lab.onLoop([&] {
            lab.platform().delayOrders(Alone, 0, cp::Duration(0));
            lab.platform().put("keyed.op", "evacuate/z1", "{}");
        });
        lab.record(std::string("worker ") + Alone + ": answers all orders again");
        lab.record("operator: zone z1 is evacuated, with " + std::string(Alone)
                   + " and six others; six workers in z2 go on");
    }
    lab.sleep(14'000);
    const auto others = lab.runs("00000000000000d0").size();
    lab.record("others: " + std::to_string(others)
               + " starts were answered, 3 tries of one start were not");
    return judgeLastingTask(lab, task, submittedMs, endMs + LateMs);
}

namespace {

// Writes the registry entries of the workers, with kinds and capacities of the scenario's choice:
// at the start of a life and every 1.5 s (HeartbeatIntervalMs).
class Registry
{
public:
    Registry(Lab &lab, const std::vector<std::string> &workers) : m_lab(lab)
    {
        // The emulator's own entries, before any instance is up, tell the addresses.
        for (const std::string &id : workers)
            m_lab.onLoop([&] { m_lab.platform().registerWorker(id); });
        const auto page = cp::decodeNewest(
            m_lab
                .callAddress(m_lab.logAddress(), "GET",
                             "/cardamompaddle/log-newest?Topic=keyed.servers&part=0", "", {})
                .body);
        for (const cp::KeyedRecord &it : page->records) {
            const auto entry = boost::json::parse(it.value).as_object();
            m_workers[it.key].address = entry.at("Address").as_string().c_str();
        }
    }
    ~Registry()
    {
        m_stop = true;
        if (m_thread.joinable())
            m_thread.join();
    }
    // The worker has begun a life of this kind and says so.
    void beginLife(const std::string &id, const std::string &kind, int64_t cpuMilli)
    {
        const Answer answer =
            m_lab.callAddress(m_workers[id].address, "POST", "/cardamompaddle/hold",
                              R"({"FencingToken": 0})", {{"Cardamompaddle-Expected-Instance", id}});
        const auto body = boost::json::parse(answer.body).as_object();
        {
            const std::lock_guard lock(m_mutex);
            Worker &worker = m_workers[id];
            worker.kind = kind;
            worker.cpuMilli = cpuMilli;
            worker.born = body.at("born").to_number<int64_t>();
            worker.up = true;
        }
        write(id);
    }
    void endLife(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        m_workers[id].up = false;
    }
    // Renews the entries from now on, those of different workers at different times.
    void keep()
    {
        m_thread = std::thread([this] {
            constexpr int TicksPerInterval = 30;
            for (int tick = 1; !m_stop; ++tick) {
                m_lab.sleep(50);
                int index = 0;
                for (const auto &[id, worker] : m_workers) {
                    if (tick % TicksPerInterval == index++ * 4 % TicksPerInterval)
                        write(id);
                }
            }
        });
    }

private:
    struct Worker
    {
        std::string address;
        std::string kind;
        int64_t cpuMilli = 0;
        int64_t born = 0;
        int64_t sequence = 0;
        bool up = false;
    };

    void write(const std::string &id)
    {
        std::string entry;
        {
            const std::lock_guard lock(m_mutex);
            Worker &it = m_workers[id];
            if (!it.up)
                return;
            entry = boost::json::serialize(
                boost::json::object{{"Service", "s"},
                                    {"Address", it.address},
                                    {"Zone", "z1"},
                                    {"Version", "1"},
                                    {"Slots", 8},
                                    {"State", "ready"},
                                    {"ColdRemainingMs", 0},
                                    {"Sequence", ++it.sequence},
                                    {"Capacity", boost::json::object{{"Cpu", it.cpuMilli},
                                                                     {"MemoryRequestMb", 32'768}}},
                                    {"Labels", boost::json::array{"kind-" + it.kind, "rack-0"}},
                                    {"born", it.born}});
        }
        m_lab.onLoop([&] { m_lab.platform().put("keyed.servers", id, entry); });
    }

    Lab &m_lab;
    std::mutex m_mutex;
    std::map<std::string, Worker> m_workers;
    std::atomic<bool> m_stop{false};
    std::thread m_thread;
};

} // namespace

// A worker crashes and is back under its id as another kind, while work for its former kind waits.
Verdict otherKind()
{
    const std::string id = "00000000000000c7";
    const std::vector<std::string> workers = {"w-1", "w-2", "w-3", "w-4",
                                              "w-5", "w-6", "w-7", "w-8"};
    const std::string victim = "w-1";
    LabOptions options = smallDeployment();
    options.platform.workerIds = workers;
    options.platform.registersWorkers = false;
    options.platform.runTime = [](const std::string &) { return cp::Duration(2'000); };
    Lab lab(std::move(options));
    Registry registry(lab, workers);
    for (const std::string &it : workers)
        registry.beginLife(it, it == victim ? "a" : "b", 16'000);
    registry.keep();
    if (!lab.start())
        return Verdict::CannotRun;
    // More work for kind a than its only worker has room for, so that some of it waits.
    if (!lab.submit("/batch/" + id,
                    R"({"Specification": "work", "Steps": [{"Count": 40, "Cpu": 2000,)"
                    R"( "MemoryRequestMb": 512, "EstimatedMs": 2000,)"
                    R"( "Requirements": "kind-a"}]})"))
        return Verdict::CannotRun;
    lab.sleep(1'000);
    int64_t bornMs = INT64_MAX;
    if (Lab::trouble()) {
        lab.crash(victim, emu::WorkerCrash::Reset, "one of eight workers, for 0.5 s");
        registry.endLife(victim);
        lab.sleep(500);
        lab.restart(victim, false);
        bornMs = lab.nowMs();
        registry.beginLife(victim, "b", 16'000);
        lab.record("worker " + victim + ": has registered as kind-b");
    }
    lab.sleep(6'000);
    int wrong = 0;
    for (const Run &it : lab.runs(id)) {
        const bool isOfKind = it.worker == victim && it.life == 1;
        wrong += isOfKind ? 0 : 1;
        if (!isOfKind)
            lab.record("check: task " + it.task + " run " + std::to_string(it.run) + " started on "
                       + it.worker + " life " + std::to_string(it.life) + ", "
                       + std::to_string(it.startedMs - bornMs)
                       + " ms after the start of that life, which is not of kind-a");
    }
    lab.record("verdict: " + std::to_string(wrong)
               + " starts on a worker without the label in Requirements");
    return lab.runs(id).empty() ? Verdict::CannotRun : wrong > 0 ? Verdict::Broken : Verdict::Held;
}

namespace {

// What breaks the rule TWICE, as the workers have seen it; empty if nothing does.
std::vector<std::string> runsTwice(const std::vector<Run> &runs)
{
    std::map<std::string, std::vector<Run>> byTask;
    for (const Run &it : runs)
        byTask[it.task].push_back(it);
    std::vector<std::string> out;
    const auto describe = [](const Run &it) {
        return "run " + std::to_string(it.run) + " on " + it.worker + " from "
               + std::to_string(it.startedMs) + " to " + std::to_string(it.endedMs) + " ms "
               + it.how;
    };
    for (const auto &[task, all] : byTask) {
        for (const Run &a : all) {
            for (const Run &b : all) {
                if (&a == &b || b.startedMs < a.startedMs)
                    continue;
                const bool together = a.endedMs < 0 || b.startedMs < a.endedMs;
                const bool afterDone =
                    a.how == "done" && a.acknowledgedMs >= 0 && b.startedMs > a.endedMs;
                if (together && (a.startedMs < b.startedMs || &a < &b))
                    out.push_back(task + ": two runs at the same time: " + describe(a) + "; "
                                  + describe(b));
                else if (afterDone)
                    out.push_back(task + ": a start after an end that was taken note of at "
                                  + std::to_string(a.acknowledgedMs) + " ms: " + describe(a) + "; "
                                  + describe(b));
            }
        }
    }
    return out;
}

} // namespace

// Some tries of starts get no answer, and later ones do. After the ends the worker crashes, and is
// back under its id while the unanswered tries are carried out.
Verdict lateStartAfterSuccess()
{
    constexpr int LateMs = 4'000; // of 2 to 12 s
    constexpr int QuietMs = 5'000; // for which the workers have been up
    constexpr int Jobs = 16;
    constexpr int GapMs = 60;
    LabOptions options = deploymentWithLastingTasks();
    options.platform.runTime = [](const std::string &) { return cp::Duration(300); };
    Lab lab(std::move(options));
    if (!lab.start())
        return Verdict::CannotRun;
    lab.sleep(QuietMs);
    // Other orders, of which those that get no answer are a small share.
    if (!lab.submit("/watch/00000000000000b0",
                    R"({"Specification": "work", "Steps": [{"Count": 500, "Cpu": 1000,)"
                    R"( "MemoryRequestMb": 512, "EstimatedMs": 300, "Affinity": "rack-0"}]})"))
        return Verdict::CannotRun;
    if (Lab::trouble()) {
        lab.onLoop([&] { lab.platform().delayOrders(Alone, 0.5, cp::Duration(LateMs)); });
        lab.record(std::string("worker ") + Alone
                   + ": leaves half of its orders unanswered and carries them out 4 s later");
    }
    const int64_t beganMs = lab.nowMs();
    for (int i = 0; i < Jobs; ++i) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", 0xb100 + i);
        if (!lab.submit(std::string("/batch/") + id,
                        R"({"Specification": "work", "Steps": [{"Count": 1, "Cpu": 1000,)"
                        R"( "MemoryRequestMb": 512, "EstimatedMs": 300, "Affinity": "rack-2"}]})"))
            return Verdict::CannotRun;
        while (lab.nowMs() < beganMs + (i + 1) * GapMs)
            lab.sleep(2);
    }
    const int64_t lastMs = lab.nowMs();
    if (Lab::trouble()) {
        lab.onLoop([&] { lab.platform().delayOrders(Alone, 0, cp::Duration(0)); });
        lab.record(std::string("worker ") + Alone + ": answers all orders again");
    }
    const int64_t restartMs = (beganMs + lastMs) / 2 + LateMs;
    while (lab.nowMs() < restartMs - 500)
        lab.sleep(5);
    if (Lab::trouble()) {
        lab.crash(Alone, emu::WorkerCrash::Reset, "one of 13 workers, for 0.5 s");
        lab.sleep(500);
        lab.restart(Alone, false);
    }
    while (lab.nowMs() < restartMs + 2'500)
        lab.sleep(50);
    const auto broken = runsTwice(lab.runs());
    for (const std::string &it : broken)
        lab.record("TWICE: " + it);
    lab.record("verdict: " + std::to_string(broken.size()) + " breaks of the rule TWICE, "
               + std::to_string(lab.runs("000000000000b1").size()) + " runs of "
               + std::to_string(Jobs) + " tasks on " + Alone);
    return broken.empty() ? Verdict::Held : Verdict::Broken;
}

// The store is slow, and the scheduler's machine stands still and wakes up again.
Verdict awakenedScheduler()
{
    constexpr int MaxCycles = 14;
    constexpr int SlowMs = 170; // 42 times as long as the usual 4 ms
    constexpr int SlowBeforeMs = 3'200;
    constexpr int SlowForMs = 5'600;
    constexpr int CalmMs = 1'600;
    constexpr int JobsAtOnce = 24;
    constexpr int MaxFreezeMs = 2'500;
    constexpr int FirstWakeMs = 310; // after the claim of the next scheduler
    constexpr int WakeStepMs = 20;
    const char *work = R"({"Specification": "work", "Steps": [{"Count": 2, "Cpu": 1000,)"
                       R"( "MemoryRequestMb": 512, "EstimatedMs": 500}]})";
    LabOptions options = smallDeployment();
    options.instances = 10;
    options.platform.stopTime = cp::Duration(400);
    options.platform.runTime = [](const std::string &) { return cp::Duration(500); };
    Lab lab(std::move(options));
    if (!lab.start())
        return Verdict::CannotRun;
    std::atomic<int> frozen{-1};
    std::atomic<bool> stop{false};
    std::atomic<int> number{0};
    const auto post = [&](size_t instance) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", ++number);
        lab.call(instance, "POST", std::string("/batch/") + id, work);
    };
    // Usual traffic: clients of the instances that are up hand in a job now and then.
    std::vector<std::thread> clients;
    for (int client = 0; client < 2; ++client) {
        clients.emplace_back([&, client] {
            for (int i = client; !stop; i += 2) {
                const auto instance = static_cast<size_t>(i) % lab.instanceCount();
                if (frozen != static_cast<int>(instance))
                    post(instance);
                lab.sleep(150);
            }
        });
    }
    int played = 0;
    for (int cycle = 0; cycle < MaxCycles && runsTwice(lab.runs()).empty(); ++cycle) {
        const int64_t beganMs = lab.nowMs();
        if (Lab::trouble())
            lab.slowStore(SlowMs);
        lab.sleep(SlowBeforeMs);
        const int scheduler = lab.scheduler();
        if (scheduler >= 0) {
            ++played;
            size_t records = 0;
            const auto hasNewRecord = [&] {
                size_t count = 0;
                lab.onLoop([&] { count = lab.platform().recordCount("keyed.scheduler"); });
                return count != std::exchange(records, count);
            };
            if (Lab::trouble()) {
                frozen = scheduler;
                lab.signalInstance(static_cast<size_t>(scheduler), SIGSTOP);
            }
            const int64_t frozenMs = lab.nowMs();
            lab.sleep(300); // what was on its way is stored
            hasNewRecord();
            // Until another instance has claimed the tenure, and a little longer.
            while (lab.nowMs() < frozenMs + MaxFreezeMs && !hasNewRecord())
                lab.sleep(5);
            lab.sleep(FirstWakeMs + WakeStepMs * (cycle % 5));
            // Its clients have not left; they hand in their next jobs.
            std::vector<std::thread> others;
            for (int i = 0; i < JobsAtOnce; ++i)
                others.emplace_back([&, i] {
                    lab.sleep(std::max(0, i - JobsAtOnce / 2) * 10);
                    post(static_cast<size_t>(scheduler));
                });
            lab.sleep(20);
            if (Lab::trouble())
                lab.signalInstance(static_cast<size_t>(scheduler), SIGCONT);
            lab.record("process front-" + std::to_string(scheduler + 1) + ": stood still for "
                       + std::to_string(lab.nowMs() - frozenMs) + " ms");
            frozen = -1;
            for (std::thread &it : others)
                it.join();
        }
        while (lab.nowMs() < beganMs + SlowForMs)
            lab.sleep(20);
        lab.slowStore(0);
        lab.sleep(CalmMs);
    }
    stop = true;
    for (std::thread &it : clients)
        it.join();
    lab.sleep(1'500);
    const auto broken = runsTwice(lab.runs());
    for (const std::string &it : broken)
        lab.record("TWICE: " + it);
    lab.record("verdict: " + std::to_string(broken.size()) + " breaks of the rule TWICE in "
               + std::to_string(played) + " freezes of the scheduler, "
               + std::to_string(lab.runs().size()) + " runs");
    return played == 0 ? Verdict::CannotRun : broken.empty() ? Verdict::Held : Verdict::Broken;
}

const std::vector<Scenario> &scenarios()
{
    static const std::vector<Scenario> all = {
        {"lost-long-after-restart", lostLongAfterRestart},
        {"unanswered-start", unansweredStart},
        {"other-kind", otherKind},
        {"awakened-scheduler", awakenedScheduler},
        {"late-start-after-success", lateStartAfterSuccess},
    };
    return all;
}

} // namespace review
