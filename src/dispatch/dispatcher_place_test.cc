#include "dispatch/dispatcher_testing.h"

#include <algorithm>
#include <optional>
#include <random>

namespace cardamompaddle {
namespace {

constexpr int Racks = 3;

// What the test knows of a job with one step.
struct KnownJob
{
    work::StepSpec spec;
    std::set<WorkerId> approved;
    std::map<WorkerId, int32_t> perWorker;
    int32_t waiting = 0;
};

// Compares each start of a pass with a full scan of all workers. All workers are equally fast and
// no run fails, so that only room, labels and approvals decide.
class PlacementOracleTest : public DispatcherTest, public ::testing::WithParamInterface<int>
{
protected:
    PlacementOracleTest()
    {
        if (GetParam() % 2 == 1)
            m_route.approval = ApprovalPolicy{Duration(10), 0, Duration(60'000)};
        setCatalog();
    }
    int between(int least, int most)
    {
        return least + static_cast<int>(m_random() % static_cast<uint64_t>(most - least + 1));
    }
    void addWorkers()
    {
        for (int i = 0; i < 24; ++i) {
            WorkerEntry worker = entry("w" + std::to_string(i), int64_t{1'000} * between(1, 8));
            worker.capacity.memoryMb = int64_t{100} * between(2, 20);
            worker.labels = {"kind" + std::to_string(i % 2), "rack" + std::to_string(i % Racks)};
            worker.availabilityZone = i % 7 == 0 ? "out" : "in";
            worker.draining = i % 11 == 0;
            join(worker);
            m_entries[worker.id] = worker;
        }
        m_dispatcher.setZonesOut({"out"});
    }
    void addJob(const std::string &id)
    {
        KnownJob &job = m_jobs[id];
        job.spec = step(between(1, 6), int64_t{500} * between(1, 4));
        job.spec.memoryMb = int64_t{100} * between(1, 4);
        job.spec.estimatedMs = 0; // no run changes a worker's speed
        job.spec.gang = between(0, 3) == 0;
        job.spec.sameRack = job.spec.gang && between(0, 1) == 0;
        job.spec.maxPerWorker = between(0, 2);
        job.spec.requiredLabel = between(0, 3) == 0 ? "kind1" : "";
        job.spec.preferredRack = between(0, 1) == 0 ? "rack" + std::to_string(between(0, 2)) : "";
        job.waiting = job.spec.tasks;
        add(id, {job.spec});
        if (!m_route.approval)
            return;
        PendingApproval pending;
        pending.step = {id, 0, 0};
        pending.validity = m_route.approval->validity;
        std::vector<work::Approval> answer;
        for (const auto &[worker, unused] : m_entries) {
            work::Approval approval;
            approval.worker = worker;
            if (between(0, 2) > 0 && job.approved.insert(worker).second)
                answer.push_back(approval);
        }
        m_dispatcher.approvalAnswered(pending, &answer, m_now, m_now);
    }

    // Returns the worker that the full scan chooses, or null. If `label` is set, considers only
    // workers that have it.
    const WorkerEntry *scan(const KnownJob &job, const std::string *label)
    {
        const WorkerEntry *best = nullptr;
        double bestScore = 0;
        for (const auto &[id, worker] : m_entries) {
            const Resources left =
                worker.capacity - m_used[id]
                - Resources{job.spec.cpuMilli, job.spec.memoryMb, job.spec.accelerators, 0, 0};
            const auto active = job.perWorker.find(id);
            const bool atMost = job.spec.maxPerWorker > 0 && active != job.perWorker.end()
                                && active->second >= job.spec.maxPerWorker;
            if (!left.isNonNegative() || worker.draining || worker.availabilityZone == "out"
                || atMost || (label != nullptr && !worker.labels.contains(*label))
                || (!job.spec.requiredLabel.empty()
                    && !worker.labels.contains(job.spec.requiredLabel))
                || (m_route.approval && !job.approved.contains(id)))
                continue;
            const auto share = [](int64_t part, int64_t whole) {
                return static_cast<double>(part) / static_cast<double>(whole);
            };
            double score = 1
                           + 0.2
                                 * (share(left.cpuMilli, worker.capacity.cpuMilli)
                                    + share(left.memoryMb, worker.capacity.memoryMb));
            if (!job.spec.preferredRack.empty() && !worker.labels.contains(job.spec.preferredRack))
                score *= 2; // DispatchOptions::offRackFactor of the fixture
            if (best == nullptr || score < bestScore) {
                best = &worker;
                bestScore = score;
            }
        }
        return best;
    }
    void occupy(KnownJob &job, const WorkerId &id, int count)
    {
        m_used[id] += Resources{job.spec.cpuMilli, job.spec.memoryMb, 0, 0, 0} * count;
        job.perWorker[id] += count;
    }
    // Returns the workers for all tasks of a gang; empty if not all of them fit.
    std::vector<WorkerId> scanGang(KnownJob &job, const std::string *label)
    {
        std::vector<WorkerId> out;
        const WorkerEntry *worker = nullptr;
        while (std::cmp_less(out.size(), job.spec.tasks)
               && (worker = scan(job, label)) != nullptr) {
            occupy(job, worker->id, 1);
            out.push_back(worker->id);
        }
        for (const WorkerId &id : out)
            occupy(job, id, -1);
        return std::cmp_equal(out.size(), job.spec.tasks) ? out : std::vector<WorkerId>{};
    }
    std::vector<WorkerId> expectedGang(KnownJob &job)
    {
        for (const std::string label : {"kind0", "kind1", "rack0", "rack1", "rack2"}) {
            auto places = job.spec.sameRack ? scanGang(job, &label) : std::vector<WorkerId>();
            if (!places.empty())
                return places;
        }
        return scanGang(job, nullptr);
    }
    // Checks the starts of one pass, and that no task was left that fits.
    void checkPass(const std::vector<StartOrder> &starts)
    {
        std::vector<WorkerId> gang; // places of the gang whose starts come next
        for (const StartOrder &order : starts) {
            KnownJob &job = m_jobs.at(order.task.step.job);
            if (job.spec.gang && order.task.index == 0)
                gang = expectedGang(job);
            const WorkerEntry *single = job.spec.gang ? nullptr : scan(job, nullptr);
            const auto index = static_cast<size_t>(order.task.index);
            const WorkerId expected = single != nullptr     ? single->id
                                      : index < gang.size() ? gang[index]
                                                            : "";
            ASSERT_EQ(order.worker, expected) << order.task.toString();
            occupy(job, order.worker, 1);
            --job.waiting;
            ASSERT_GE(job.waiting, 0);
        }
        for (auto &[id, job] : m_jobs) {
            const bool fits =
                job.spec.gang ? !expectedGang(job).empty() : scan(job, nullptr) != nullptr;
            EXPECT_TRUE(job.waiting == 0 || !fits) << id << " waits although a worker has room";
        }
    }
    // Ends about a third of the runs.
    void endSome(std::vector<StartOrder> &active)
    {
        std::map<WorkerId, std::vector<EndedRun>> endedOn;
        std::map<WorkerId, std::vector<ActiveRun>> runningOn;
        std::set<std::string> endedJobs;
        for (const StartOrder &order : active) {
            if (between(0, 2) == 0)
                endedJobs.insert(order.task.step.job);
        }
        for (const StartOrder &order : active) {
            if (!endedJobs.contains(order.task.step.job)) {
                runningOn[order.worker].push_back(running(order, 100));
                continue;
            }
            endedOn[order.worker].push_back(ended(order, RunOutcome::Succeeded));
            occupy(m_jobs.at(order.task.step.job), order.worker, -1);
        }
        for (const auto &[id, unused] : m_entries)
            report(id, runningOn[id], endedOn[id]);
        std::erase_if(active, [&](const StartOrder &order) {
            return endedJobs.contains(order.task.step.job);
        });
    }

    std::mt19937_64 m_random{static_cast<uint64_t>(GetParam())};
    std::map<WorkerId, WorkerEntry> m_entries;
    std::map<WorkerId, Resources> m_used;
    std::map<std::string, KnownJob> m_jobs;
};

} // namespace

// Guards against a faster search for workers that chooses another worker than a full scan, or that
// leaves a task waiting although a worker has room.
TEST_P(PlacementOracleTest, ChoosesLikeAFullScan)
{
    addWorkers();
    std::vector<StartOrder> active;
    for (int pass = 0; pass < 30; ++pass) {
        for (int i = between(0, 4); i > 0; --i)
            addJob("job" + std::to_string(pass) + "-" + std::to_string(i));
        const auto starts = startAll();
        checkPass(starts);
        if (HasFatalFailure())
            return;
        active.insert(active.end(), starts.begin(), starts.end());
        m_now += Duration(100);
        endSome(active);
    }
    EXPECT_GT(m_jobs.size(), 20U);
}
INSTANTIATE_TEST_SUITE_P(Seeds, PlacementOracleTest, ::testing::Range(1, 51));

} // namespace cardamompaddle
