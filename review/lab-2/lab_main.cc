// Plays one scenario of the second review against real processes of cardamompaddle-entry and checks
// one rule of the users' pages by what workers and clients have seen.
//
// Usage: lab SCENARIO --entry=PROGRAM --folder=TEMPORARY --record=FILE [--trouble=0] [--seed=N]
// Exit status: 0 the rule held, 1 it was broken, 2 the scenario could not run.

#include "instance_process.h"
#include "lab_worker.h"
#include "log_client.h"
#include "net/http_client.h"
#include "platform_emulator.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unistd.h>
#include <vector>

namespace lab {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace cardamompaddle;
using emulator::RunEvent;
using emulator::RunEventKind;

// Programs that are started from now on do not inherit the sockets of this one.
void keepFromPrograms()
{
    constexpr int MaxDescriptors = 4'096;
    for (int fd = 3; fd < MaxDescriptors; ++fd)
        ::fcntl(fd, F_SETFD, FD_CLOEXEC);
}

struct Scenario
{
    std::string name;
    std::string rule;
    int workers = 48;
    int instances = 6;
    // Load.
    Duration submitInterval{62};
    int minTasks = 1;
    int maxTasks = 11;
    int maxSteps = 2;
    int64_t taskCpuMilli = 1'200;
    int64_t taskMemoryMb = 512;
    int64_t shortestMs = 100;
    int64_t longestMs = 640;
    Duration loadTime{60'000};
    // Trouble: every `interval` from `firstAt` to `lastAt`, `crashed` workers crash for `downTime`.
    Duration firstAt{5'000};
    Duration lastAt{56'000};
    Duration interval{3'000};
    int crashed = 0;
    Duration downTime{600};
    bool silent = true;
    // A worker is cut off this long after its restart, for `cutTime`. 0: never
    Duration cutAfter{0};
    Duration cutTime{5'500};
    Duration finishTime{14'000};
    // Jobs on a second route, handed in at the start of the load. The trouble is a manifest that
    // does not have this route any more.
    int batchJobs = 0;
    // Scheduled submissions of so many occurrences, handed in one after the other from `firstAt`
    // on. The platform kills an instance that takes more than `memoryMb`, and starts it again.
    int large = 0;
    int occurrences = 0;
    int64_t memoryMb = 0; // 0: not watched
    bool spread = false; // at most one task of a step on a worker
    // Jobs that are cancelled as soon as the hand-in is answered, one every `interval`. The trouble
    // is an outage of the log for `outage`, in which its appends get no answer and are carried out
    // `late` later.
    int cancelled = 0;
    Duration outage{2'900};
    Duration late{5'000};
    Duration removeRouteAfter{0}; // 0: never
};

constexpr Duration BatchTaskTime{3'000};

struct RunRecord
{
    int64_t run = 0;
    std::string worker;
    int life = 0;
    Instant startedAt;
    Instant endedAt;
    std::string how; // empty while it goes on
    bool notedDone = false; // its end `done` has been taken note of
};

struct JobRecord
{
    std::string id;
    std::string body;
    std::string prefix = "/q/";
    int steps = 0;
    int tasks = 0; // of each step
    bool accepted = false;
    int tries = 0;
    std::string state;
    bool cancels = false;
    bool large = false;
    std::optional<Instant> cancelAckAt;
};

class Lab
{
public:
    Lab(Scenario scenario, bool trouble, uint64_t seed, std::string entry, std::string folder,
        std::FILE *record)
        : m_scenario(std::move(scenario)), m_trouble(trouble), m_random(seed),
          m_entry(std::move(entry)), m_folder(std::move(folder)), m_record(record), m_http(m_io),
          m_tick(m_io), m_signals(m_io, SIGTERM, SIGINT)
    {
        // The processes are ended by the destructor.
        m_signals.async_wait([this](const boost::system::error_code &ec, int) {
            m_interrupted = !ec;
            if (!ec)
                m_io.stop();
        });
    }
    ~Lab()
    {
        for (auto &it : m_instances)
            it.kill();
    }
    int run();

private:
    void note(const char *format, ...) __attribute__((format(printf, 2, 3)));
    void after(Duration wait, std::function<void()> action);
    bool setUp();
    void publishConfig(bool withBatch);
    void submitBatch();
    void checkStalled();
    void tick();
    void probeReady(size_t i);
    void begin();
    std::string newId();
    JobRecord batchJob();
    void submitAndCancel(int left);
    void cancel(size_t job);
    void checkCancelled(const RunEvent &event);
    void submit();
    void send(size_t job);
    void ask(size_t job, int tries);
    void crashSome();
    void ran(const RunEvent &event);
    void submitLarge(int left);
    void watchMemory();
    void broken(const std::string &rule, const std::string &what);
    void finish();
    std::optional<Duration> runTime(const std::string &task) const;
    Duration elapsed() const { return now() - m_zero; }

    Scenario m_scenario;
    bool m_trouble;
    std::mt19937_64 m_random;
    std::string m_entry;
    std::string m_folder;
    std::FILE *m_record;
    asio::io_context m_io{1};
    HttpClient m_http;
    asio::steady_timer m_tick;
    asio::signal_set m_signals;
    bool m_interrupted = false;
    std::unique_ptr<emulator::PlatformEmulator> m_platform;
    std::vector<std::unique_ptr<LabWorker>> m_workers;
    std::map<std::string, Instant> m_beatAt;
    std::vector<soak::InstanceProcess> m_instances;
    std::set<size_t> m_ready;
    std::vector<JobRecord> m_jobs;
    std::map<std::string, std::vector<RunRecord>> m_runs; // by task
    std::map<std::string, int> m_broken; // by rule
    std::map<std::string, std::string> m_stalled; // what is wrong, by job
    std::set<std::string> m_batchIds;
    std::map<std::string, size_t> m_byId;
    size_t m_asked = 0;
    Instant m_zero = now();
    Instant m_beganAt;
    bool m_began = false;
    bool m_loadEnded = false;
    int m_crashes = 0;
    int64_t m_peakRssKb = 0;
    int m_killedForMemory = 0;
};

void Lab::note(const char *format, ...)
{
    std::fprintf(m_record, "%8lld ", static_cast<long long>(elapsed().count()));
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(m_record, format, arguments);
    va_end(arguments);
    std::fputc('\n', m_record);
}

void Lab::after(Duration wait, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(m_io, wait);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &ec) {
        if (!ec)
            action();
    });
}

std::optional<Duration> Lab::runTime(const std::string &task) const
{
    if (m_batchIds.contains(task.substr(0, task.find('.'))))
        return BatchTaskTime;
    const auto span = static_cast<uint64_t>(m_scenario.longestMs - m_scenario.shortestMs + 1);
    return Duration(m_scenario.shortestMs
                    + static_cast<int64_t>(std::hash<std::string>()(task) % span));
}

bool Lab::setUp()
{
    emulator::PlatformEmulatorOptions options;
    options.workers = 0;
    options.registersWorkers = false;
    auto platform = emulator::PlatformEmulator::create(m_io, options);
    if (!platform)
        return false;
    m_platform = std::move(*platform);
    publishConfig(true);
    for (int i = 0; i < m_scenario.workers; ++i) {
        WorkerSpec spec;
        spec.id = "i-" + std::to_string(1'000 + i);
        spec.zone = "z" + std::to_string(i % 4 + 1);
        spec.rack = "r" + std::to_string(i / 6);
        emulator::WorkerModelOptions model;
        model.id = spec.id;
        model.maxLease = Duration(10'000);
        model.stopTime = Duration(400);
        model.runTime = [this](const std::string &task) { return runTime(task); };
        model.observer = [this](const RunEvent &event) { ran(event); };
        m_workers.push_back(std::make_unique<LabWorker>(m_io, spec, model));
        m_beatAt[spec.id] = Instant::min();
    }
    for (int i = 0; i < m_scenario.instances; ++i) {
        soak::InstanceProcessOptions instance;
        instance.program = m_entry;
        instance.folder = m_folder;
        instance.name = "entry-" + std::to_string(i + 1);
        instance.availabilityZone = "z" + std::to_string(i % 4 + 1);
        instance.logAddress = m_platform->logAddress();
        instance.maxLease = Duration(10'000);
        instance.keepEnded = Duration(120'000);
        auto process = soak::InstanceProcess::create(instance);
        keepFromPrograms();
        if (!process || !process->start())
            return false;
        m_instances.push_back(std::move(*process));
        note("started process %s", instance.name.c_str());
    }
    return true;
}

void Lab::publishConfig(bool withBatch)
{
    const auto route = [](const char *name, const char *prefix) {
        return json::object{{"Name", name},          {"Host", "127.0.0.1"}, {"PathPrefix", prefix},
                            {"Service", "s"},        {"Kind", "unsafe"},    {"Priority", 0},
                            {"MaxAttempts", 4},      {"Stretch", 1.5},      {"TimeoutMs", 3'000},
                            {"TargetLatencyMs", 250}};
    };
    json::array routes{route("quick", "/q/")};
    if (withBatch)
        routes.push_back(route("batch", "/b/"));
    const json::object tenant{{"Name", "t"}, {"ApiKeys", json::array{"key"}}, {"Weight", 100}};
    const json::object service{{"Name", "s"}, {"AdmissionCheck", false}};
    m_platform->put(topic::Operators, "config",
                    json::serialize(json::object{{"Version", withBatch ? 3 : 7},
                                                 {"Routes", std::move(routes)},
                                                 {"Services", json::array{service}},
                                                 {"Tenants", json::array{tenant}},
                                                 {"Limits", json::object{}}}));
    note("manifest %d is stored, %s route /b/", withBatch ? 3 : 7, withBatch ? "with" : "without");
}

// Lets time pass for the workers, and writes their entries.
void Lab::tick()
{
    constexpr Duration HeartbeatInterval{1'500};
    constexpr int SilentIntervals = 3;
    for (auto &worker : m_workers) {
        worker->advance();
        Instant &beat = m_beatAt[worker->spec().id];
        const bool never = beat == Instant::min();
        if (worker->isUp() && (never || now() - beat >= HeartbeatInterval)) {
            beat = now();
            m_platform->put(topic::Registry, worker->spec().id, worker->entry());
        } else if (!worker->isUp() && !never
                   && now() - beat >= HeartbeatInterval * SilentIntervals) {
            beat = Instant::min();
            m_platform->put(topic::Registry, worker->spec().id, "");
        }
    }
    for (auto &it : m_instances) {
        soak::ProcessEnd end;
        if (it.reap(end)) {
            note("process %s %s", it.name().c_str(), end.toString().c_str());
            broken("Fault", "a process ended by itself: " + it.name() + " " + end.toString());
        }
    }
    m_tick.expires_after(Duration(4));
    m_tick.async_wait([this](const boost::system::error_code &ec) {
        if (!ec)
            tick();
    });
}

void Lab::probeReady(size_t i)
{
    m_http.request(m_instances[i].readinessAddress(), "GET", "/cardamompaddle/readiness", "",
                   Duration(900), [this, i](const Result<HttpResponse> &response, bool) {
                       if (!response || response->status != 200)
                           return after(Duration(200), [this, i] { probeReady(i); });
                       m_ready.insert(i);
                       if (m_ready.size() == m_instances.size() && !m_began)
                           after(Duration(3'000), [this] { begin(); });
                   });
}

void Lab::begin()
{
    m_began = true;
    m_beganAt = now();
    note("load begins");
    if (m_scenario.cancelled > 0)
        after(m_scenario.firstAt, [this] { submitAndCancel(m_scenario.cancelled); });
    else
        submit();
    submitBatch();
    if (m_trouble && m_scenario.crashed > 0)
        after(m_scenario.firstAt, [this] { crashSome(); });
    if (m_scenario.memoryMb > 0)
        watchMemory();
    if (m_trouble && m_scenario.large > 0)
        after(m_scenario.firstAt, [this] { submitLarge(m_scenario.large); });
    if (m_trouble && m_scenario.removeRouteAfter > Duration::zero())
        after(m_scenario.removeRouteAfter, [this] { publishConfig(false); });
    after(m_scenario.loadTime, [this] {
        m_loadEnded = true;
        note("load ends");
        after(m_scenario.finishTime, [this] { finish(); });
    });
}

std::string Lab::newId()
{
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(m_random()));
    return id;
}

// A job of two steps, each of six tasks of BatchTaskTime.
JobRecord Lab::batchJob()
{
    JobRecord job;
    job.id = newId();
    job.prefix = "/b/";
    job.steps = 2;
    job.tasks = 6;
    json::array steps;
    for (int step = 0; step < job.steps; ++step) {
        steps.push_back(json::object{{"Count", job.tasks},
                                     {"Cpu", 2'600},
                                     {"MemoryRequestMb", m_scenario.taskMemoryMb},
                                     {"EstimatedMs", BatchTaskTime.count()}});
        if (step > 0)
            steps.back().as_object()["After"] = json::array{step - 1};
    }
    job.body = json::serialize(json::object{{"Specification", "lab"}, {"Steps", std::move(steps)}});
    m_batchIds.insert(job.id);
    return job;
}

void Lab::submitBatch()
{
    for (int i = 0; i < m_scenario.batchJobs; ++i) {
        m_jobs.push_back(batchJob());
        after(Duration(i * 200), [this, number = m_jobs.size() - 1] { send(number); });
    }
}

// Hands a job in while the log is down, and cancels it once there is an answer or none in time.
void Lab::submitAndCancel(int left)
{
    if (left == 0)
        return;
    m_jobs.push_back(batchJob());
    m_jobs.back().cancels = true;
    m_byId[m_jobs.back().id] = m_jobs.size() - 1;
    if (m_trouble) {
        note("the log's appends get no answer from now on");
        m_platform->logFaults().lostAnswerShare = 1;
        m_platform->logFaults().lostAppendDelay = m_scenario.late;
        after(m_scenario.outage, [this] {
            note("the log answers again");
            m_platform->logFaults().lostAnswerShare = 0;
            m_platform->logFaults().lostAppendDelay = Duration::zero();
        });
    }
    send(m_jobs.size() - 1);
    after(m_scenario.interval, [this, left] { submitAndCancel(left - 1); });
}

void Lab::cancel(size_t number)
{
    JobRecord &job = m_jobs[number];
    const auto &instance =
        m_instances[(number + static_cast<size_t>(job.tries)) % m_instances.size()];
    ++job.tries;
    note("DELETE %s at %s", job.id.c_str(), instance.name().c_str());
    m_http.request(
        instance.callersAddress(), "DELETE", job.prefix + job.id, "", Duration(3'000),
        [this, number](const Result<HttpResponse> &response, bool) {
            JobRecord &it = m_jobs[number];
            const int status = response ? response->status : 0;
            note("DELETE %s answered %d", it.id.c_str(), status);
            if (status == 410 || (status >= 200 && status < 300))
                it.cancelAckAt = now();
            else if (it.tries < 20)
                after(Duration(200), [this, number] { cancel(number); });
        },
        {{"Authorization", "Bearer key"}, {"Cardamompaddle-Deadline-Milliseconds", "3000"}});
}

// The rule UNASKED: a task starts later than cancel_ms after the cancelling was acknowledged.
void Lab::checkCancelled(const RunEvent &event)
{
    constexpr Duration CancelTime{3'000};
    const auto it = m_byId.find(event.task.substr(0, event.task.find('.')));
    if (it == m_byId.end())
        return;
    const JobRecord &job = m_jobs[it->second];
    if (job.cancelAckAt && now() - *job.cancelAckAt > CancelTime)
        broken("UNASKED", event.task + " starts "
                              + std::to_string((now() - *job.cancelAckAt).count())
                              + " ms after the cancelling of its job was acknowledged");
}

void Lab::submit()
{
    if (m_loadEnded)
        return;
    JobRecord job;
    job.id = newId();
    job.steps = std::uniform_int_distribution<int>(1, m_scenario.maxSteps)(m_random);
    job.tasks =
        std::uniform_int_distribution<int>(m_scenario.minTasks, m_scenario.maxTasks)(m_random);
    json::array steps;
    for (int i = 0; i < job.steps; ++i) {
        json::object step{{"Count", job.tasks},
                          {"Cpu", m_scenario.taskCpuMilli},
                          {"MemoryRequestMb", m_scenario.taskMemoryMb},
                          {"EstimatedMs", (m_scenario.shortestMs + m_scenario.longestMs) / 2}};
        if (i > 0)
            step["After"] = json::array{i - 1};
        if (m_scenario.spread)
            step["AntiAffinity"] = 1;
        steps.push_back(std::move(step));
    }
    job.body = json::serialize(json::object{{"Specification", "lab"}, {"Steps", std::move(steps)}});
    m_byId[job.id] = m_jobs.size();
    m_jobs.push_back(std::move(job));
    send(m_jobs.size() - 1);
    after(m_scenario.submitInterval, [this] { submit(); });
}

// Hands the job in, again at another instance while the outcome is unknown.
void Lab::send(size_t number)
{
    JobRecord &job = m_jobs[number];
    const auto &instance =
        m_instances[(number + static_cast<size_t>(job.tries)) % m_instances.size()];
    ++job.tries;
    note("POST %s at %s", job.id.c_str(), instance.name().c_str());
    m_http.request(instance.callersAddress(), "POST", job.prefix + job.id, job.body,
                   Duration(3'000),
                   [this, number](const Result<HttpResponse> &response, bool) {
                       JobRecord &it = m_jobs[number];
                       const int status = response ? response->status : 0;
                       note("POST %s answered %d", it.id.c_str(), status);
                       it.accepted = status >= 200 && status < 300;
                       if (it.cancels)
                           return after(Duration(200), [this, number] { cancel(number); });
                       const bool unknown = status == 0 || status == 502 || status == 504;
                       if (!it.accepted && unknown && it.tries < 5)
                           after(Duration(200), [this, number] { send(number); });
                   },
                   {{"Authorization", "Bearer key"},
                    {"Content-Type", "application/json"},
                    {"Cardamompaddle-Deadline-Milliseconds", "3000"}});
}

void Lab::ask(size_t number, int tries)
{
    const auto &instance = m_instances[(number + static_cast<size_t>(tries)) % m_instances.size()];
    m_http.request(
        instance.callersAddress(), "GET", m_jobs[number].prefix + m_jobs[number].id, "",
        Duration(3'000),
        [this, number, tries](const Result<HttpResponse> &response, bool) {
            JobRecord &job = m_jobs[number];
            const int status = response ? response->status : 0;
            if (status != 200 && status != 410 && tries > 0)
                return after(Duration(200), [this, number, tries] { ask(number, tries - 1); });
            boost::system::error_code ec;
            const json::value body =
                status == 200 ? json::parse(response->body, ec) : json::value();
            const json::value *state =
                body.is_object() ? body.as_object().if_contains("State") : nullptr;
            job.state = state != nullptr && state->is_string() ? std::string(state->as_string())
                                                               : std::to_string(status);
            note("GET %s answered %s", job.id.c_str(), job.state.c_str());
            ++m_asked;
        },
        {{"Authorization", "Bearer key"}, {"Cardamompaddle-Deadline-Milliseconds", "3000"}});
}

void Lab::crashSome()
{
    if (now() - m_beganAt >= m_scenario.lastAt)
        return;
    for (int i = 0; i < m_scenario.crashed; ++i) {
        LabWorker &worker = *m_workers[m_random() % m_workers.size()];
        if (!worker.isUp())
            continue;
        ++m_crashes;
        note("worker %s crashes with %zu runs", worker.spec().id.c_str(),
             worker.model().runs().size());
        worker.crash(m_scenario.silent);
        after(m_scenario.downTime, [this, &worker] {
            worker.restart();
            // It writes its entry as soon as it is up.
            const std::string &id = worker.spec().id;
            m_beatAt[id] = now();
            m_platform->put(topic::Registry, id, worker.entry());
            note("worker %s is up again", id.c_str());
            if (m_scenario.cutAfter <= Duration::zero())
                return;
            after(m_scenario.cutAfter, [this, &worker] {
                note("worker %s is cut off", worker.spec().id.c_str());
                worker.setCutOff(true);
                after(m_scenario.cutTime, [this, &worker] {
                    note("worker %s is reached again", worker.spec().id.c_str());
                    worker.setCutOff(false);
                });
            });
        });
    }
    after(m_scenario.interval, [this] { crashSome(); });
}

void Lab::broken(const std::string &rule, const std::string &what)
{
    ++m_broken[rule];
    note("BROKEN %s: %s", rule.c_str(), what.c_str());
}

void Lab::ran(const RunEvent &event)
{
    auto &runs = m_runs[event.task];
    const auto known = std::find_if(runs.begin(), runs.end(), [&event](const RunRecord &it) {
        return it.run == event.run && it.worker == event.worker && it.life == event.life;
    });
    note("%s %s run %lld on %s life %d %s", std::string(runEventKindName(event.kind)).c_str(),
         event.task.c_str(), static_cast<long long>(event.run), event.worker.c_str(), event.life,
         event.how.c_str());
    if (event.kind == RunEventKind::Started) {
        for (const RunRecord &it : runs) {
            if (it.how.empty())
                broken("TWICE", event.task + " runs at the same time as run "
                                    + std::to_string(it.run) + " on " + it.worker);
        }
        runs.push_back({event.run, event.worker, event.life, event.at, {}, "", false});
        checkCancelled(event);
        return;
    }
    if (known == runs.end())
        return;
    if (event.kind == RunEventKind::Ended) {
        known->how = event.how;
        known->endedAt = event.at;
    } else if (event.how == "done") {
        known->notedDone = true;
    }
}

// Hands in a scheduled submission: each minute two steps of four tasks, 10,000 times (a week), the
// first time an hour from now.
void Lab::submitLarge(int left)
{
    if (left == 0)
        return;
    constexpr int64_t HourMs = 3'600'000;
    JobRecord job = batchJob();
    job.large = true;
    const json::object first{
        {"Count", 4}, {"Cpu", 500}, {"MemoryRequestMb", 256}, {"EstimatedMs", 900}};
    json::object second = first;
    second["After"] = json::array{0};
    job.body = json::serialize(json::object{{"Specification", "lab"},
                                            {"Steps", json::array{first, second}},
                                            {"Repetitions", m_scenario.occurrences},
                                            {"FirstRunMs", unixNow() + HourMs},
                                            {"IntervalMs", 60'000}});
    m_jobs.push_back(std::move(job));
    send(m_jobs.size() - 1);
    after(Duration(500), [this, left] { submitLarge(left - 1); });
}

// Does as the platform: a process that exceeds its memory is killed, and started again.
void Lab::watchMemory()
{
    for (const auto &entry : std::filesystem::directory_iterator("/proc")) {
        const std::string pid = entry.path().filename();
        if (pid.find_first_not_of("0123456789") != std::string::npos)
            continue;
        std::ifstream status(entry.path() / "status");
        std::string line;
        long long parent = 0;
        long long rssKb = 0;
        while (std::getline(status, line)) {
            if (line.starts_with("PPid:"))
                parent = std::atoll(line.c_str() + 5);
            if (line.starts_with("VmRSS:"))
                rssKb = std::atoll(line.c_str() + 6);
        }
        if (parent != ::getpid())
            continue;
        std::ifstream commandLine(entry.path() / "cmdline");
        std::string command((std::istreambuf_iterator<char>(commandLine)), {});
        m_peakRssKb = std::max<int64_t>(m_peakRssKb, rssKb);
        if (rssKb <= m_scenario.memoryMb * 1'000)
            continue;
        for (soak::InstanceProcess &instance : m_instances) {
            if (command.find("/" + instance.name() + ".json") == std::string::npos)
                continue;
            note("%s takes %lld kB and is killed by the platform", instance.name().c_str(), rssKb);
            ++m_killedForMemory;
            instance.kill();
            after(Duration(300), [&instance] { (void)instance.start().ok(); });
        }
    }
    after(Duration(100), [this] { watchMemory(); });
}

// The rule LOST: for 3 s, a submission has nothing running while a task's turn has come, there is
// capacity for it twice over, its tenant has under half of its limit (here it has none) and under
// half of the service's capacity is in use. Looked at `finish_s` after the end of the traffic.
void Lab::checkStalled()
{
    int64_t capacity = 0;
    int64_t used = 0;
    for (const auto &worker : m_workers) {
        capacity += worker->isUp() ? worker->spec().cpuMilli : 0;
        used += static_cast<int64_t>(worker->model().runs().size()) * m_scenario.taskCpuMilli;
    }
    note("capacity %lld cpu, in use %lld", static_cast<long long>(capacity),
         static_cast<long long>(used));
    if (2 * used >= capacity)
        return;
    constexpr Duration StallTime{3'000};
    for (const JobRecord &job : m_jobs) {
        if (!job.accepted)
            continue;
        bool running = false;
        Instant turnSince = m_beganAt;
        Instant lastEnd = m_beganAt;
        std::string waiting;
        for (int step = 0; step < job.steps && waiting.empty(); ++step) {
            Instant stepDoneAt = turnSince;
            for (int index = 0; index < job.tasks; ++index) {
                const std::string task =
                    job.id + ".0." + std::to_string(step) + "." + std::to_string(index);
                bool done = false;
                for (const RunRecord &run : m_runs[task]) {
                    running = running || run.how.empty();
                    done = done || run.how == "done";
                    if (run.how.empty())
                        continue;
                    lastEnd = std::max(lastEnd, run.endedAt);
                    stepDoneAt = run.how == "done" ? std::max(stepDoneAt, run.endedAt) : stepDoneAt;
                }
                if (!done && waiting.empty())
                    waiting = task;
            }
            turnSince = stepDoneAt;
        }
        const Duration idle = now() - std::max(lastEnd, turnSince);
        if (!waiting.empty() && !running && idle > StallTime)
            m_stalled[job.id] = "nothing runs for " + std::to_string(idle.count())
                                + " ms, although it is the turn of " + waiting;
    }
}

void Lab::finish()
{
    checkStalled();
    for (size_t i = 0; i < m_jobs.size(); ++i) {
        if (m_jobs[i].accepted || m_jobs[i].cancels)
            after(Duration(static_cast<int64_t>(i)), [this, i] { ask(i, 5); });
    }
    after(Duration(static_cast<int64_t>(m_jobs.size()) + 5'000), [this] { m_io.stop(); });
}

int Lab::run()
{
    if (!setUp())
        return 2;
    tick();
    for (size_t i = 0; i < m_instances.size(); ++i)
        probeReady(i);
    after(Duration(20'000), [this] {
        if (!m_began)
            m_io.stop();
    });
    m_io.run();
    if (m_interrupted)
        return 2;
    if (!m_began) {
        std::printf("the instances did not become ready\n");
        return 2;
    }
    size_t starts = 0;
    for (const auto &[task, runs] : m_runs) {
        starts += runs.size();
        for (const RunRecord &done : runs) {
            for (const RunRecord &later : runs) {
                if (done.how == "done" && done.notedDone && later.startedAt > done.endedAt)
                    broken("TWICE", task + " run " + std::to_string(later.run) + " on "
                                        + later.worker + " started at "
                                        + std::to_string((later.startedAt - m_zero).count())
                                        + " after run " + std::to_string(done.run) + " on "
                                        + done.worker + " had ended done at "
                                        + std::to_string((done.endedAt - m_zero).count())
                                        + " and was taken note of");
            }
        }
    }
    size_t accepted = 0;
    std::map<std::string, size_t> states;
    for (const JobRecord &job : m_jobs) {
        if (!job.accepted && !job.cancels)
            continue;
        ++accepted;
        ++states[job.state];
        size_t failedRuns = 0;
        for (const auto &[task, runs] : m_runs) {
            if (task.compare(0, job.id.size(), job.id) == 0)
                failedRuns += static_cast<size_t>(
                    std::count_if(runs.begin(), runs.end(),
                                  [](const RunRecord &it) { return it.how == "failed"; }));
        }
        if (job.cancels || job.large)
            continue;
        if ((job.state == "failed" || job.state == "cancelled") && failedRuns == 0)
            broken("LOST", job.id + " is shown as " + job.state
                               + " although none of its runs ended failed and nobody cancelled it");
        else if (const auto it = m_stalled.find(job.id); it != m_stalled.end())
            broken("LOST", job.id + ", whose state is answered " + job.state + ": " + it->second);
        if (job.state == "410")
            broken("LOST", job.id + " is accepted and not known");
    }
    std::printf("%s, trouble=%d: %zu jobs accepted, %zu starts, %d crashes of workers; states:",
                m_scenario.name.c_str(), m_trouble ? 1 : 0, accepted, starts, m_crashes);
    for (const auto &[state, count] : states)
        std::printf(" %s %zu", state.c_str(), count);
    std::printf("; broken:");
    for (const auto &[rule, count] : m_broken)
        std::printf(" %s %d", rule.c_str(), count);
    std::printf("%s", m_broken.empty() ? " nothing" : "");
    if (m_peakRssKb > 0)
        std::printf("; peak of an instance %lld kB, killed for memory %d times",
                    static_cast<long long>(m_peakRssKb), m_killedForMemory);
    std::printf("\n");
    if (accepted == 0)
        return 2;
    return m_broken.contains(m_scenario.rule) ? 1 : 0;
}

std::vector<Scenario> scenarios()
{
    Scenario lease;
    lease.name = "lease";
    lease.rule = "TWICE";
    lease.crashed = 6;
    lease.spread = true;
    lease.taskCpuMilli = 400;
    lease.shortestMs = 7'000;
    lease.longestMs = 9'500;
    lease.minTasks = 20;
    lease.maxTasks = 40;
    lease.maxSteps = 1;
    lease.submitInterval = Duration(500);
    lease.loadTime = Duration(45'000);
    lease.lastAt = Duration(32'000);
    lease.interval = Duration(8'000);
    lease.downTime = Duration(400);
    lease.cutAfter = Duration(1'500);
    lease.finishTime = Duration(20'000);

    Scenario route;
    route.name = "route";
    route.rule = "LOST";
    route.loadTime = Duration(25'000);
    route.batchJobs = 10;
    route.removeRouteAfter = Duration(4'000);

    Scenario large;
    large.name = "large";
    large.rule = "LOST";
    large.loadTime = Duration(40'000);
    large.large = 12;
    large.occurrences = 10'000;
    large.memoryMb = 260;

    Scenario cancel;
    cancel.name = "cancel";
    cancel.rule = "UNASKED";
    cancel.cancelled = 3;
    cancel.interval = Duration(18'000);
    cancel.loadTime = Duration(55'000);
    return {large, route, cancel, lease};
}

} // namespace lab

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::string name;
    std::string entry;
    std::string folder;
    std::string record;
    bool trouble = true;
    uint64_t seed = 1;
    for (int i = 1; i < argc; ++i) {
        const std::string it = argv[i];
        const auto value = [&it](const std::string &option) {
            return it.compare(0, option.size(), option) == 0 ? it.substr(option.size())
                                                             : std::string();
        };
        if (it.compare(0, 2, "--") != 0)
            name = it;
        else if (!value("--entry=").empty())
            entry = value("--entry=");
        else if (!value("--folder=").empty())
            folder = value("--folder=");
        else if (!value("--record=").empty())
            record = value("--record=");
        else if (!value("--trouble=").empty())
            trouble = value("--trouble=") != "0";
        else if (!value("--seed=").empty())
            seed = std::strtoull(value("--seed=").c_str(), nullptr, 10);
    }
    std::FILE *file = std::fopen(record.c_str(), "w");
    if (file == nullptr || entry.empty() || folder.empty()) {
        std::fprintf(stderr,
                     "usage: lab SCENARIO --entry= --folder= --record= [--trouble=] [--seed=]\n");
        return 2;
    }
    for (lab::Scenario &it : lab::scenarios()) {
        if (it.name != name)
            continue;
        int status = 2;
        try {
            lab::Lab lab(it, trouble, seed, entry, folder, file);
            status = lab.run();
        } catch (const std::exception &error) { // the processes have been ended
            std::fprintf(stderr, "lab: %s\n", error.what());
        }
        std::fclose(file);
        return status;
    }
    std::fprintf(stderr, "no such scenario: %s\n", name.c_str());
    return 2;
}
