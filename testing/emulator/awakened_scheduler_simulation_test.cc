// Instances in virtual time over a slow log. The scheduler's process stands still until another
// instance has claimed the tenure, and goes on beside it, in an order that a seed draws. No task
// may run twice.
#include "simulated_fleet_testing.h"

#include <array>

namespace cardamompaddle::emulator {
namespace {

// Delivers the answers of workers to one process, which may be suspended.
class ProcessWorkerGateway : public WorkerGateway
{
public:
    ProcessWorkerGateway(boost::asio::io_context &io, testing::VirtualTime &time,
                         testing::VirtualTime::Owner owner, WorkerGateway &workers)
        : m_io(io), m_time(time), m_owner(owner), m_workers(workers)
    { }
    void poll(const WorkerEntry &worker, const CommandFence &fence, int64_t acknowledged,
              Duration wait, Duration timeout, Instant requestedAt, PollDone done) override
    {
        m_workers.poll(worker, fence, acknowledged, wait, timeout, requestedAt,
                       delivered(std::move(done)));
    }
    void start(const WorkerEntry &worker, const CommandFence &fence, const StartOrder &order,
               Duration timeout, StartDone done) override
    {
        m_workers.start(worker, fence, order, timeout, delivered(std::move(done)));
    }
    void stop(const WorkerEntry &worker, const CommandFence &fence, const StopOrder &order,
              Duration timeout, Done done) override
    {
        m_workers.stop(worker, fence, order, timeout, delivered(std::move(done)));
    }
    void throttle(const WorkerEntry &worker, const CommandFence &fence, const ThrottleOrder &order,
                  Duration timeout, Done done) override
    {
        m_workers.throttle(worker, fence, order, timeout, delivered(std::move(done)));
    }

private:
    template <typename Answer>
    std::function<void(Answer)> delivered(std::function<void(Answer)> done)
    {
        return [this, done = std::move(done)](Answer answer) {
            m_time.runAs(m_owner, [&] {
                auto timer = std::make_shared<Timer>(m_io, Duration::zero());
                timer->asyncWait(
                    [timer, done, answer = std::move(answer)](const auto &) { done(answer); });
            });
        };
    }

    boost::asio::io_context &m_io;
    testing::VirtualTime &m_time;
    testing::VirtualTime::Owner m_owner;
    WorkerGateway &m_workers;
};

// What happens beside the scheduler that stands still.
struct Beside
{
    bool silentWorkers = false; // some give no answer around the takeover, and go on working
    bool secondTakeover = false; // the successor is lost soon after its claim
    bool cancellations = false; // some jobs are cancelled soon after they were handed in
    bool unreadableJobs = false; // the log does not answer reads of the jobs after some claims
    bool releases = false; // some schedulers are stopped as planned instead
};

class AwakenedSchedulerSimulationTest : public SimulatedFleet,
                                        public ::testing::WithParamInterface<uint64_t>
{
protected:
    static constexpr int Workers = 6;
    static constexpr std::array<const char *, 4> Names = {"a", "b", "c", "d"};
    static constexpr Duration SimulatedTime{45'000};
    static constexpr Duration FinishTime{15'000}; // without disturbances and further jobs

    void play()
    {
        const uint64_t seed = GetParam();
        m_beside = {seed % 3 == 0, seed % 4 == 0, seed % 2 == 0, seed % 7 == 0, seed % 5 == 0};
        addWorkers(seed, Workers, Duration(100), Duration(1'200));
        for (size_t i = 0; i < Names.size(); ++i)
            addProcess(Names[i], static_cast<testing::VirtualTime::Owner>(i + 1));
        ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }, Duration(10'000)));
        changeLogTimes();
        submitSome();
        at(Duration(3'000), [this] { suspendScheduler(); });
        runFor(SimulatedTime);
        m_finishing = true;
        runFor(FinishTime);
    }
    // Returns the accepted jobs that have not ended.
    std::vector<std::string> unfinished()
    {
        std::vector<std::string> out;
        for (const auto &[id, outcome] : m_outcomes) {
            const JobEntry *entry = scheduler().instance->jobTable().find(id);
            if (outcome == SubmitOutcome::Accepted
                && (entry == nullptr || entry->state() < work::JobState::Completed))
                out.push_back(id);
        }
        return out;
    }

    int m_takeovers = 0;

private:
    void addProcess(const std::string &name, testing::VirtualTime::Owner owner)
    {
        m_owners[name] = owner;
        m_gateways.push_back(std::make_unique<ProcessWorkerGateway>(m_io, time, owner, *m_models));
        startProcess(name);
    }
    void startProcess(const std::string &name)
    {
        const testing::VirtualTime::Owner owner = m_owners.at(name);
        m_workerGateway = m_gateways.at(static_cast<size_t>(owner) - 1).get();
        time.runAs(owner, [&] { addNode(name); });
        m_nodes[name].log->virtualTime = &time;
        auto &receive = m_policy.receivers[name + ":1"];
        receive = [this, owner, inner = receive](const work::StoredRecords &records) {
            time.runAs(owner, [&] { at(Duration(1), [inner, records] { inner(records); }); });
        };
    }
    // The log's answers take 110 to 230 ms, so starts are not recorded before they are sent.
    void changeLogTimes()
    {
        for (auto &[name, node] : m_nodes) {
            node.log->appendTime = Duration(draw(110, 230));
            node.log->readTime = Duration(draw(110, 230));
        }
        at(Duration(400), [this] { changeLogTimes(); });
    }
    bool isServing(const std::string &name)
    {
        return m_nodes[name].instance && !time.isSuspended(m_owners.at(name));
    }
    void submitTo(const std::string &name)
    {
        if (!isServing(name))
            return;
        const std::string id = nextJob();
        time.runAs(m_owners.at(name),
                   [&] { startSubmission(m_nodes[name], id, static_cast<int32_t>(draw(1, 3))); });
        if (m_beside.cancellations && percent(20))
            at(Duration(draw(0, 600)), [this, id] { cancelSoon(id); });
    }
    void cancelSoon(const std::string &id)
    {
        const std::string name = randomName();
        if (isServing(name))
            time.runAs(m_owners.at(name), [&] {
                m_nodes[name].instance->submitter().cancel(
                    id, m_team, m_clock.now() + Duration(2'000),
                    [](SubmitOutcome, const std::string &) {});
            });
    }
    std::string randomName() { return Names[static_cast<size_t>(draw(0, Names.size() - 1))]; }
    void submitSome()
    {
        if (m_finishing)
            return;
        at(Duration(draw(50, 200)), [this] { submitSome(); });
        submitTo(randomName());
    }
    void suspendScheduler()
    {
        if (m_finishing)
            return;
        at(Duration(draw(4'000, 7'000)), [this] { suspendScheduler(); });
        // Answers of workers vary, and with them when each of them is fenced.
        for (int i = 0; i < Workers; ++i)
            m_models->faults(workerName(i)).slowestAnswer = Duration(draw(2, 150));
        const std::string name = schedulerName();
        if (name.empty())
            return;
        if (m_beside.silentWorkers)
            at(Duration(draw(0, 2'000)), [this] { silenceWorker(); });
        if (m_beside.releases && percent(50))
            return stop(name);
        time.setSuspended(m_owners.at(name), true);
        // What was on its way is stored by then.
        constexpr Duration SettlingTime{250};
        at(SettlingTime, [this, name] { awaitClaim(name, workRecords(), m_clock.now()); });
    }
    void silenceWorker()
    {
        const std::string id = workerName(static_cast<int>(draw(0, Workers - 1)));
        m_models->setCutOff(id, true);
        at(Duration(draw(200, 6'000)), [this, id] { m_models->setCutOff(id, false); });
    }
    void stop(const std::string &name)
    {
        ++m_takeovers;
        time.runAs(m_owners.at(name), [&] {
            m_nodes[name].instance->stop(
                [this, name] { at(Duration(1), [=, this] { restart(name); }); });
        });
    }
    // Ends a process, and starts it again a little later.
    void restart(const std::string &name)
    {
        lose(name);
        time.setSuspended(m_owners.at(name), false);
        at(Duration(700), [this, name] { startProcess(name); });
    }
    void loseSuccessor(const std::string &former)
    {
        for (const char *name : Names) {
            if (name != former && m_nodes[name].instance && m_nodes[name].instance->isScheduler())
                return restart(name);
        }
    }
    void hideJobs()
    {
        for (auto &[name, node] : m_nodes)
            node.log->unreadableTopic = JobsTopic;
        at(Duration(draw(500, 2'500)), [this] {
            for (auto &[name, node] : m_nodes)
                node.log->unreadableTopic.clear();
        });
    }
    size_t workRecords() { return m_model.topics[WorkTopic].records.size(); }
    void awaitClaim(const std::string &suspended, size_t records, Instant since)
    {
        constexpr Duration LongestSuspension{2'700};
        constexpr Duration CheckInterval{5};
        const bool claimed = workRecords() > records;
        if (!claimed && m_clock.now() - since < LongestSuspension)
            return at(CheckInterval, [=, this] { awaitClaim(suspended, records, since); });
        m_takeovers += claimed ? 1 : 0;
        if (m_beside.secondTakeover)
            at(Duration(draw(0, 900)), [=, this] { loseSuccessor(suspended); });
        if (m_beside.unreadableJobs)
            at(Duration(draw(0, 900)), [this] { hideJobs(); });
        at(Duration(draw(150, 550)), [this, suspended] {
            time.setSuspended(m_owners.at(suspended), false);
            // Its callers hand in what they had ready.
            for (int i = 0; i < 12; ++i)
                at(Duration(draw(0, 200)), [this, suspended] { submitTo(suspended); });
        });
    }

    Beside m_beside;
    std::map<std::string, testing::VirtualTime::Owner> m_owners;
    std::vector<std::unique_ptr<ProcessWorkerGateway>> m_gateways;
    bool m_finishing = false;
};

} // namespace

// Guards against a task that runs twice: a scheduler that stood still stores jobs and starts their
// tasks beside its successor, which takes the runs for unknown, because it has read the jobs before
// the workers refused the former scheduler.
TEST_P(AwakenedSchedulerSimulationTest, NoTaskRunsTwice)
{
    play();
    EXPECT_EQ(m_checker.violations(), std::vector<std::string>());
    EXPECT_EQ(unfinished(), std::vector<std::string>());
    EXPECT_GE(m_takeovers, 3);
    EXPECT_GT(m_checker.starts(), 300);
}

INSTANTIATE_TEST_SUITE_P(Drawn, AwakenedSchedulerSimulationTest,
                         ::testing::Range<uint64_t>(1, simulationSeeds(20) + 1));

} // namespace cardamompaddle::emulator
