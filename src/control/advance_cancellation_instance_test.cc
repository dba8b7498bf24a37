// Cancellations of jobs that are not known when they are sent, in virtual time.
#include "control/instance_testing.h"
#include "control/virtual_time_testing.h"
#include "work/codec.h"

#include <tuple>

namespace cardamompaddle {
namespace {

// Lets virtual time begin before the timers of InstanceTest are created.
struct VirtualTimeBegins
{
    testing::VirtualTime time;
};

class AdvanceCancellationTest : private VirtualTimeBegins, public InstanceTest
{
protected:
    void begin()
    {
        for (const char *name : {"a", "b", "c"})
            addNode(name);
        ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
        runFor(Duration(500));
    }
    // Hands a job in, and its appends get no answer and are carried out after `delay`.
    void submitInDoubt(Node &node, const std::string &id, Duration delay)
    {
        node.log->lateTopic = JobsTopic;
        node.log->lateAppendDelay = delay;
        EXPECT_EQ(submit(node, id), SubmitOutcome::Unknown);
        node.log->lateAppendDelay.reset();
    }
    // Whether all instances that run show the state.
    bool allShow(const std::string &id, work::JobState::type state)
    {
        return std::ranges::all_of(m_nodes, [&](const auto &it) {
            const JobEntry *entry =
                it.second.instance ? it.second.instance->jobTable().find(id) : nullptr;
            return !it.second.instance || (entry != nullptr && entry->state() == state);
        });
    }
    size_t idleCancellations(Node &node) const
    {
        return node.instance->jobTable().idleCancellations().size();
    }
    // Cancels unknown jobs of the team until that is refused. Returns how many were taken.
    int64_t cancelUntilRefused(Node &node, const std::string &team)
    {
        int64_t taken = 0;
        int64_t refused = 0;
        for (int64_t i = 0; i < MaxAdvanceCancellations + 20; ++i)
            node.instance->submitter().cancel(
                team + std::to_string(i), team, m_clock.now() + Duration(2'000),
                [&](SubmitOutcome outcome, const std::string &) {
                    taken += outcome == SubmitOutcome::NotFound ? 1 : 0;
                    refused += outcome == SubmitOutcome::LimitReached ? 1 : 0;
                });
        EXPECT_TRUE(runUntil([&] { return taken + refused == MaxAdvanceCancellations + 20; }));
        return taken;
    }
};

enum class CancelledAt { SameInstance, OtherInstance };
enum class Meanwhile { Nothing, Takeover, InstanceLost };

class LateAppendTest : public AdvanceCancellationTest,
                       public ::testing::WithParamInterface<
                           std::tuple<int /* delay in ms */, CancelledAt, Meanwhile>>
{ };

} // namespace

// Guards against a job that runs although its caller was told that it does not exist: its append
// was in doubt and is carried out after the cancellation.
TEST_P(LateAppendTest, ACancelledJobThatIsStoredLateNeverRuns)
{
    const auto [delayMs, where, meanwhile] = GetParam();
    begin();
    Node &first = follower();
    submitInDoubt(first, "job", Duration(delayMs));
    const bool stored = first.instance->jobTable().find("job") != nullptr;
    Node &second = where == CancelledAt::SameInstance ? first : scheduler();
    const int starts = m_workers.starts;
    const auto outcome = cancel(second, "job");
    EXPECT_EQ(outcome, stored ? SubmitOutcome::Accepted : SubmitOutcome::NotFound);
    if (meanwhile == Meanwhile::Takeover) {
        lose(schedulerName());
        ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }, Duration(8'000)));
    }
    if (meanwhile == Meanwhile::InstanceLost) {
        const auto it = std::ranges::find_if(
            m_nodes, [&first](const auto &node) { return &node.second == &first; });
        lose(it->first);
    }
    runFor(Duration(delayMs + 4'000));
    EXPECT_EQ(m_workers.starts, starts);
    EXPECT_TRUE(allShow("job", work::JobState::Cancelled));
    EXPECT_EQ(idleCancellations(scheduler()), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Delays, LateAppendTest,
    ::testing::Combine(::testing::Values(1'000, 3'000, 6'000, 12'000),
                       ::testing::Values(CancelledAt::SameInstance, CancelledAt::OtherInstance),
                       ::testing::Values(Meanwhile::Nothing, Meanwhile::Takeover,
                                         Meanwhile::InstanceLost)));

// Guards against an answer that tells more than is stored: without an answer of the log to the
// cancellation, the job may still run.
TEST_F(AdvanceCancellationTest, IsAnsweredOnlyOnceItIsStored)
{
    begin();
    Node &node = follower();
    node.log->lateTopic = JobsTopic;
    node.log->lateAppendDelay = Duration(5'000);
    const Instant sentAt = m_clock.now();
    EXPECT_EQ(cancel(node, "job"), SubmitOutcome::Unknown);
    EXPECT_LE(m_clock.now() - sentAt, Duration(2'050)) << "the caller waits for 2 s";
}

// Guards against a state that is told to be none while this instance may be storing the job.
TEST_F(AdvanceCancellationTest, AStateIsNotDeniedWhileAnAppendOfTheInstanceIsInDoubt)
{
    begin();
    Node &node = follower();
    node.log->lateTopic = JobsTopic;
    node.log->lateAppendDelay = Duration(6'000);
    startSubmission(node, "job");
    runFor(Duration(1'000));
    std::optional<bool> current;
    node.instance->submitter().find("job",
                                    [&](const JobEntry *, bool isCurrent) { current = isCurrent; });
    ASSERT_TRUE(runUntil([&] { return current.has_value(); }));
    EXPECT_FALSE(*current);
    node.instance->submitter().find("other",
                                    [&](const JobEntry *, bool isCurrent) { current = isCurrent; });
    ASSERT_TRUE(runUntil([&] { return *current; }));
}

// Guards against a job that is accepted after its cancellation and whose state is then unknown, or
// that runs.
TEST_F(AdvanceCancellationTest, AJobThatIsHandedInAgainIsShownAsCancelled)
{
    begin();
    EXPECT_EQ(cancel(follower(), "job"), SubmitOutcome::NotFound);
    EXPECT_EQ(submit(scheduler(), "job"), SubmitOutcome::Accepted);
    runFor(Duration(2'000));
    EXPECT_TRUE(allShow("job", work::JobState::Cancelled));
    EXPECT_EQ(m_workers.starts, 0);
}

// Guards against a client account that cancels what another one is about to hand in.
TEST_F(AdvanceCancellationTest, ActsOnNoJobOfAnotherAccount)
{
    begin();
    m_team = "owner";
    EXPECT_EQ(cancel(follower(), "job", "other"), SubmitOutcome::NotFound);
    EXPECT_EQ(submit(scheduler(), "job"), SubmitOutcome::Accepted);
    EXPECT_TRUE(runUntil([this] { return m_workers.starts == 1; }));
    m_workers.finishAllRuns(RunOutcome::Succeeded);
    EXPECT_TRUE(runUntil([this] { return allShow("job", work::JobState::Completed); }));
    // Of both accounts, in either order.
    EXPECT_EQ(cancel(follower(), "second", "owner"), SubmitOutcome::NotFound);
    EXPECT_EQ(cancel(scheduler(), "second", "other"), SubmitOutcome::NotFound);
    EXPECT_EQ(submit(follower(), "second"), SubmitOutcome::Accepted);
    runFor(Duration(1'000));
    EXPECT_EQ(m_workers.starts, 1);
    lose(schedulerName());
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }, Duration(8'000)));
    runFor(Duration(3'000));
    EXPECT_TRUE(allShow("second", work::JobState::Cancelled));
    EXPECT_EQ(m_workers.starts, 1) << "an instance that loads the log has to know both";
}

// Guards against a cancelled job that goes on for longer than its caller was promised: the job is
// stored elsewhere while its cancellation is.
TEST_F(AdvanceCancellationTest, ReachesTheSchedulerAtOnceIfTheJobIsStoredMeanwhile)
{
    begin();
    std::optional<SubmitOutcome> outcome;
    follower().instance->submitter().cancel(
        "job", "", m_clock.now() + Duration(2'000),
        [&](SubmitOutcome it, const std::string &) { outcome = it; });
    m_model.put(JobsTopic, work_key::job("job"), encodeRecord(makeJob("job")));
    ASSERT_TRUE(runUntil([&] { return outcome.has_value(); }));
    const Instant answeredAt = m_clock.now();
    EXPECT_TRUE(runUntil([this] { return allShow("job", work::JobState::Cancelled); }));
    runUntil([this] { return m_workers.runningCount() == 0; });
    EXPECT_LT(m_clock.now() - answeredAt, Duration(1'000));
}

// Guards against a log and instances that one client account fills with cancellations, against
// accounts that suffer for another one, and against cancellations that stay for good.
TEST_F(AdvanceCancellationTest, AreLimitedForEachAccountAndForgotten)
{
    begin();
    EXPECT_EQ(cancelUntilRefused(follower(), "t"), MaxAdvanceCancellations);
    EXPECT_EQ(cancel(follower(), "t0", "t"), SubmitOutcome::NotFound) << "it is stored already";
    EXPECT_EQ(cancel(scheduler(), "more", "t"), SubmitOutcome::LimitReached);
    EXPECT_EQ(cancel(scheduler(), "more", "other"), SubmitOutcome::NotFound);
    runFor(AdvanceCancellationRetention - Duration(10'000));
    EXPECT_EQ(idleCancellations(scheduler()), static_cast<size_t>(MaxAdvanceCancellations) + 1);
    EXPECT_TRUE(runUntil([this] { return idleCancellations(scheduler()) == 0; }, Duration(20'000)));
    EXPECT_EQ(cancel(scheduler(), "more", "t"), SubmitOutcome::NotFound);
}

// Guards against records that stay for good or cancel nothing after an upgrade: an earlier version
// has stored the cancellation of a job that never came.
TEST_F(AdvanceCancellationTest, RecordsOfTheVersionBeforeAreRead)
{
    m_model.put(JobsTopic, work_key::cancel("gone"), "1");
    m_model.put(JobsTopic, work_key::cancel("late"), "1");
    begin();
    m_model.put(JobsTopic, work_key::job("late"), encodeRecord(makeJob("late")));
    runFor(Duration(2'000));
    EXPECT_TRUE(allShow("late", work::JobState::Cancelled));
    EXPECT_EQ(m_workers.starts, 0);
    EXPECT_TRUE(runUntil([this] { return idleCancellations(scheduler()) == 0; },
                         AdvanceCancellationRetention + Duration(10'000)));
}

} // namespace cardamompaddle
