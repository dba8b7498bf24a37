#include "dispatch/dispatcher_testing.h"

#include "work/codec.h"
#include "work/limits.h"

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <iterator>
#include <set>

namespace cardamompaddle {
namespace {

constexpr auto PartSize = static_cast<int32_t>(TasksPerProgressPart);
// Three parts, the last of which is not full.
constexpr int32_t ManyTasks = 2 * PartSize + 40;

// What the log holds of one job's progress.
class StoredParts
{
public:
    void store(const std::vector<work::Progress> &changed)
    {
        for (const work::Progress &it : changed) {
            if (it.part != 0 && it.steps.empty())
                m_parts.erase(it.part);
            else
                m_parts[it.part] = it;
        }
    }
    std::vector<const work::Progress *> all() const
    {
        std::vector<const work::Progress *> out;
        for (const auto &[number, part] : m_parts)
            out.push_back(&part);
        return out;
    }
    const work::Progress &part(int32_t number) const { return m_parts.at(number); }
    size_t size() const { return m_parts.size(); }

private:
    std::map<int32_t, work::Progress> m_parts;
};

std::vector<int32_t> partsOf(const std::vector<work::Progress> &changed)
{
    std::vector<int32_t> out;
    std::transform(changed.begin(), changed.end(), std::back_inserter(out),
                   [](const work::Progress &it) { return it.part; });
    return out;
}

class DispatcherProgressTest : public DispatcherTest
{
protected:
    // Starts all tasks of a job of two steps with ManyTasks tasks, on one worker.
    std::vector<StartOrder> startLargeJob()
    {
        WorkerEntry worker = entry("w", 1'000'000);
        worker.capacity.memoryMb = 1'000'000;
        join(worker);
        add("large", {step(40, 1), step(ManyTasks - 40, 1)});
        auto orders = startAll();
        EXPECT_EQ(orders.size(), static_cast<size_t>(ManyTasks));
        m_stored.store(m_dispatcher.takeProgress(HeldNow));
        return orders;
    }
    // Lists all runs but the first `endedCount`, which have succeeded.
    void reportEnds(const std::vector<StartOrder> &orders, size_t endedCount)
    {
        std::vector<ActiveRun> active;
        std::vector<EndedRun> finished;
        for (size_t i = 0; i < orders.size(); ++i) {
            if (i < endedCount)
                finished.push_back(ended(orders[i], RunOutcome::Succeeded));
            else
                active.push_back(running(orders[i]));
        }
        report("w", active, finished);
    }

    StoredParts m_stored;
};

// Guards against a record that grows with the number of tasks until the log does not take it, so
// that the scheduler can store nothing any more for anybody.
TEST_F(DispatcherProgressTest, EachRecordHoldsABoundedNumberOfTasks)
{
    startLargeJob();
    ASSERT_EQ(m_stored.size(), 3U);
    size_t placed = 0;
    for (const work::Progress *part : m_stored.all()) {
        size_t tasks = 0;
        for (const work::StepProgress &it : part->steps)
            tasks += it.placedOn.size();
        EXPECT_LE(tasks, static_cast<size_t>(PartSize));
        placed += tasks;
    }
    EXPECT_EQ(placed, static_cast<size_t>(ManyTasks));
    EXPECT_EQ(m_stored.part(0).state, work::JobState::Running);
}

TEST_F(DispatcherProgressTest, AChangeIsStoredWithThePartOfItsTaskOnly)
{
    const auto orders = startLargeJob();
    std::vector<ActiveRun> active;
    std::transform(orders.begin(), orders.end() - 1, std::back_inserter(active),
                   [](const StartOrder &it) { return running(it); });
    report("w", active, {ended(orders.back(), RunOutcome::Failed)});
    EXPECT_EQ(partsOf(m_dispatcher.takeProgress(HeldNow)), std::vector<int32_t>{2});
}

// Guards against a full part that the log does not take: the longest ids, two runs of each task,
// and tasks that have failed often.
TEST_F(DispatcherProgressTest, AFullPartFitsIntoARecord)
{
    constexpr size_t MaxRecordBytes = 262'144;
    constexpr int64_t FailuresOfEachTask = 100;
    work::Progress progress;
    progress.id = std::string(200, 'i');
    progress.part = MaxProgressParts - 1;
    progress.steps.resize(1);
    work::StepProgress &stored = progress.steps[0];
    for (int32_t index = MaxTasksPerJob - PartSize; index < MaxTasksPerJob; ++index) {
        stored.succeeded.push_back(index);
        stored.placedOn[index] = std::string(248, 'w');
        stored.copiesOn[index] = {std::string(248, 'w')};
        stored.__isset.copiesOn = true;
        stored.crashedRuns[index] = {1'000'000, 1'000'001};
        for (int64_t run = 0; run < FailuresOfEachTask; ++run)
            stored.failedRuns[index].push_back(1'000'000 + run);
    }
    EXPECT_LT(encodeRecord(progress).size(), MaxRecordBytes);
}

// Guards against parts of an ended job that stay in the log, and against an end that is stored
// after the parts whose tasks it replaces.
TEST_F(DispatcherProgressTest, TheEndOfAJobIsStoredBeforeItsOtherPartsAreRemoved)
{
    const auto orders = startLargeJob();
    reportEnds(orders, orders.size());
    const auto changed = m_dispatcher.takeProgress(HeldNow);
    ASSERT_FALSE(changed.empty());
    EXPECT_EQ(changed[0].part, 0);
    EXPECT_EQ(changed[0].state, work::JobState::Completed);
    EXPECT_EQ(changed[0].endedAtHeldMs, HeldNow);
    m_stored.store(changed);
    EXPECT_EQ(m_stored.size(), 1U);
    EXPECT_FALSE(m_dispatcher.hasJob("large"));
}

// Guards against tasks of a large job that run again after an update, because an earlier version
// stored all of them in part 0.
TEST_F(DispatcherProgressTest, TasksOfAnEarlierVersionMoveToTheirPartsBeforePart0IsReplaced)
{
    work::Progress progress;
    progress.id = "large";
    progress.state = work::JobState::Running;
    progress.steps.resize(1);
    for (int32_t index = 0; index < ManyTasks; index += 2)
        progress.steps[0].succeeded.push_back(index);
    m_stored.store({progress});
    add("large", {step(ManyTasks, 1)}, &progress);
    const auto changed = m_dispatcher.takeProgress(HeldNow);
    EXPECT_EQ(partsOf(changed), (std::vector<int32_t>{2, 1, 0}));
    m_stored.store(changed);
    Dispatcher later({2, 1.0}, nullptr);
    auto job = std::make_shared<work::Submission>();
    job->id = "large";
    job->steps = {step(ManyTasks, 1)};
    later.addJob(job, m_stored.all(), false);
    EXPECT_TRUE(later.takeProgress(HeldNow).empty()) << "every part is in its place";
    size_t succeeded = 0;
    for (const work::Progress *part : m_stored.all())
        succeeded += part->steps.at(0).succeeded.size();
    EXPECT_EQ(succeeded, progress.steps[0].succeeded.size());
}

// Guards against a job that holds up all others because its progress can't be stored.
TEST_F(DispatcherProgressTest, AJobThatIsGivenUpFailsAndIsStopped)
{
    startLargeJob();
    m_dispatcher.giveUpJob("large", "test");
    EXPECT_EQ(decide().stops.size(), static_cast<size_t>(ManyTasks));
    EXPECT_EQ(state("large"), work::JobState::Failed);
    m_dispatcher.giveUpJob("unknown", "test");
}

// What the test knows of a task of the property below.
struct KnownTask
{
    bool succeeded = false;
    std::set<int64_t> failedRuns;
    std::optional<StartOrder> run;
};

// Over all orders of starts, ends and records: the parts in the log together hold each success,
// each failed run and each worker on which a run may be.
RC_GTEST_PROP(DispatcherProgressProperty, ThePartsHoldAllThatIsKnown, ())
{
    Instant now = instantFromMs(100'000);
    Dispatcher dispatcher({1, 1.0}, nullptr);
    auto catalog = std::make_shared<Catalog>();
    WorkRoute route;
    route.name = "r";
    route.pool = "p";
    route.maxAttempts = 1'000;
    catalog->routes["r"] = route;
    dispatcher.setCatalog(catalog);
    auto job = std::make_shared<work::Submission>();
    job->id = "large";
    job->route = "r";
    job->repetitions = *rc::gen::inRange(0, 4);
    const auto steps = *rc::gen::container<std::vector<int32_t>>(3, rc::gen::inRange(1, 200));
    for (const int32_t tasks : steps)
        job->steps.push_back(step(tasks, 1));
    dispatcher.addJob(job, {}, false);
    WorkerEntry worker;
    worker.id = "w";
    worker.pool = "p";
    worker.capacity = {*rc::gen::inRange<int64_t>(50, 3'000), 1'000'000, 0, 0, 0};
    dispatcher.setWorker(worker);
    StoredParts stored;
    std::map<TaskRef, KnownTask> known;
    int64_t position = 0;
    const auto report = [&](std::vector<EndedRun> ends) {
        RunReport out;
        out.requestedAt = now;
        out.startedAtMs = 1;
        for (const auto &[ref, task] : known) {
            if (task.run)
                out.running.push_back({ref, task.run->run, "", 10, 0});
        }
        out.ended = std::move(ends);
        dispatcher.workerReported("w", out, now);
    };
    report({});
    dispatcher.setReachable("w", true);
    const int rounds = *rc::gen::inRange(1, 12);
    for (int round = 0; round < rounds; ++round) {
        now += Duration(2'000);
        for (const StartOrder &order : dispatcher.decide(now, UnixNow).starts) {
            known[order.task].run = order;
            dispatcher.startAnswered(order, StartOutcome::Started, now);
        }
        now += Duration(1);
        const auto permille = *rc::gen::inRange(0, 1'001);
        std::vector<EndedRun> ends;
        for (auto &[ref, task] : known) {
            if (!task.run || *rc::gen::inRange(0, 1'000) >= permille)
                continue;
            const bool succeeds = *rc::gen::inRange(0, 3) > 0;
            ends.push_back({++position, ref, task.run->run,
                            succeeds ? RunOutcome::Succeeded : RunOutcome::Failed, ""});
            task.succeeded = succeeds;
            if (!succeeds)
                task.failedRuns.insert(task.run->run);
            task.run.reset();
        }
        report(std::move(ends));
        if (*rc::gen::inRange(0, 3) == 0)
            continue;
        stored.store(dispatcher.takeProgress(HeldNow));
        if (stored.part(0).state >= work::JobState::Completed) {
            RC_ASSERT(stored.size() == 1U);
            return;
        }
        std::map<TaskRef, KnownTask> read;
        for (const work::Progress *part : stored.all()) {
            for (const work::StepProgress &it : part->steps) {
                const StepRef ref{"large", it.occurrence, it.step};
                for (const int32_t index : it.succeeded)
                    read[{ref, index}].succeeded = true;
                for (const auto &[index, runs] : it.failedRuns)
                    read[{ref, index}].failedRuns.insert(runs.begin(), runs.end());
                for (const auto &[index, id] : it.placedOn)
                    read[{ref, index}].run.emplace();
            }
        }
        for (const auto &[ref, task] : known) {
            RC_ASSERT(read[ref].succeeded == task.succeeded);
            RC_ASSERT(read[ref].failedRuns == task.failedRuns);
            RC_ASSERT(read[ref].run.has_value() || !task.run.has_value());
        }
    }
}

} // namespace
} // namespace cardamompaddle
