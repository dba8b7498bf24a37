// Refusals of jobs for load, in virtual time. The load is an account whose backlog takes 12 s on
// all workers together, and callers whose attempts get no answer and who try another instance.
#include "control/instance_testing.h"
#include "control/virtual_time_testing.h"

#include <tuple>

namespace cardamompaddle {
namespace {

// Lets virtual time begin before the timers of InstanceTest are created.
struct VirtualTimeBegins
{
    testing::VirtualTime time;
};

class AdmissionInstanceTest : private VirtualTimeBegins, public InstanceTest
{
protected:
    AdmissionInstanceTest() { m_policies.admission.emplace(); }

    void begin()
    {
        for (const char *name : {"a", "b", "c"})
            addNode(name);
        ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
        runFor(Duration(1'500)); // all have read the members
    }
    // Hands a job in whose appends get no answer and are carried out after `delay`.
    void submitInDoubt(Node &node, const std::string &id, Duration delay)
    {
        node.log->lateTopic = JobsTopic;
        node.log->lateAppendDelay = delay;
        EXPECT_EQ(submit(node, id), SubmitOutcome::Unknown);
        node.log->lateAppendDelay.reset();
    }
    bool refuse(Node &node, const std::string &id)
    {
        std::optional<bool> refused;
        node.instance->submitter().refuse(id, [&refused](bool it) { refused = it; });
        EXPECT_TRUE(runUntil([&refused] { return refused.has_value(); }));
        return refused.value_or(false);
    }
    // Has the fleet wait for 12 s.
    void fillBacklog()
    {
        ASSERT_EQ(submit(scheduler(), "backlog", 104), SubmitOutcome::Accepted);
        ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 8; }));
        runFor(Duration(400));
    }
    AdmissionDecision decide(Node &node) const
    {
        AdmissionRequest request;
        request.id = "new";
        request.pool = "p";
        request.chain = request.objective = Duration(1'000);
        return node.instance->decideAdmission(request);
    }
    // An instance that schedules and one that does not, and is not `other`.
    Node &followerBut(const Node &other)
    {
        for (auto &[name, node] : m_nodes) {
            if (node.instance && !node.instance->isScheduler() && &node != &other)
                return node;
        }
        throw std::logic_error("no follower");
    }
    std::string nameOf(const Node &node) const
    {
        return std::ranges::find_if(m_nodes,
                                    [&node](const auto &it) { return &it.second == &node; })
            ->first;
    }
};

enum class Meanwhile { Nothing, Takeover, InstanceLost, NewInstanceSchedules };

class LateAttemptTest
    : public AdmissionInstanceTest,
      public ::testing::WithParamInterface<std::tuple<int /* delay in ms */, Meanwhile>>
{ };

} // namespace

// Guards against a job that runs although its caller was told that it is refused: an earlier
// attempt got no answer from another instance, and its append is carried out after the refusal.
TEST_P(LateAttemptTest, ARefusedJobThatIsStoredLateRunsOnlyOnceItIsSubmittedAgain)
{
    const auto [delayMs, meanwhile] = GetParam();
    begin();
    Node &first = follower();
    submitInDoubt(first, "job", Duration(delayMs));
    Node &second = followerBut(first);
    const bool stored = second.instance->jobTable().find("job") != nullptr;
    EXPECT_EQ(refuse(second, "job"), !stored);
    if (meanwhile == Meanwhile::InstanceLost)
        lose(nameOf(first));
    if (meanwhile == Meanwhile::Takeover || meanwhile == Meanwhile::NewInstanceSchedules) {
        lose(schedulerName());
        ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }, Duration(8'000)));
    }
    runFor(Duration(delayMs + 2'000));
    if (meanwhile == Meanwhile::NewInstanceSchedules) {
        // It loads the newest record of each key and has seen none of what happened.
        m_nodes.clear();
        addNode("z");
        ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }, Duration(8'000)));
        runFor(Duration(2'000));
    }
    EXPECT_EQ(m_workers.starts, stored ? 1 : 0);
    for (const auto &[name, node] : m_nodes)
        EXPECT_EQ(node.instance && node.instance->jobTable().find("job") != nullptr,
                  stored && node.instance)
            << name;
    EXPECT_EQ(submit(scheduler(), "job"), SubmitOutcome::Accepted);
    EXPECT_TRUE(runUntil([this] { return m_workers.starts == 1; }));
    runFor(Duration(2'000));
    EXPECT_EQ(m_workers.starts, 1);
}

INSTANTIATE_TEST_SUITE_P(Delays, LateAttemptTest,
                         ::testing::Combine(::testing::Values(3'000, 6'000, 12'000),
                                            ::testing::Values(Meanwhile::Nothing,
                                                              Meanwhile::Takeover,
                                                              Meanwhile::InstanceLost,
                                                              Meanwhile::NewInstanceSchedules)));

// Guards against a job that is accepted and forgotten: the instance that stores it has not read the
// refusal by another one, which makes its record ineffective.
TEST_F(AdmissionInstanceTest, AnInstanceThatDoesNotKnowTheRefusalDoesNotAcceptTheJob)
{
    begin();
    Node &first = follower();
    Node &second = followerBut(first);
    // Its reads that wait for records get no answer, and the one in progress ends.
    second.log->silentTopic = JobsTopic;
    runFor(Duration(1'600));
    // The caller has got no answer from the second instance and repeats its attempt at once.
    second.log->appendTime = Duration(30);
    startSubmission(second, "job");
    ASSERT_TRUE(refuse(first, "job"));
    ASSERT_TRUE(runUntil([this] { return m_outcomes.contains("job"); }));
    EXPECT_EQ(m_outcomes["job"], SubmitOutcome::Shed);
    second.log->silentTopic.clear();
    runFor(Duration(3'000));
    EXPECT_EQ(m_workers.starts, 0);
    EXPECT_EQ(submit(second, "job"), SubmitOutcome::Accepted);
    EXPECT_TRUE(runUntil([this] { return m_workers.starts == 1; }));
}

// Guards against an accepted job that is refused, and against a refusal that takes it back.
TEST_F(AdmissionInstanceTest, AStoredJobIsNotRefusedByAnInstanceThatHasNotReadIt)
{
    begin();
    Node &first = follower();
    ASSERT_EQ(submit(first, "job"), SubmitOutcome::Accepted);
    Node &second = followerBut(first);
    EXPECT_FALSE(refuse(second, "job"));
    EXPECT_EQ(submit(second, "job"), SubmitOutcome::Accepted);
    // The append of the job overtakes that of the refusal.
    second.log->appendTime = Duration(30);
    startSubmission(first, "other");
    EXPECT_FALSE(refuse(second, "other"));
    EXPECT_TRUE(runUntil([this] { return m_workers.starts == 2; }));
}

// Guards against a refusal that nobody can rely on: the log may not have stored it.
TEST_F(AdmissionInstanceTest, ARefusalIsNotToldUnlessTheLogConfirmsIt)
{
    begin();
    Node &node = follower();
    node.log->refusedTopic = JobsTopic;
    EXPECT_FALSE(refuse(node, "refused"));
    node.log->refusedTopic.clear();
    node.log->lateTopic = JobsTopic;
    node.log->lateAppendDelay = Duration(0);
    EXPECT_FALSE(refuse(node, "unanswered"));
    node.log->lateAppendDelay.reset();
    runFor(Duration(2'000));
    EXPECT_EQ(submit(node, "unanswered"), SubmitOutcome::Accepted);
    EXPECT_TRUE(runUntil([this] { return m_workers.starts == 1; }));
}

// Guards against a refusal that is lifted by an attempt from before it: a forwarder repeats the
// request of a caller who has given up, or a suspended process goes on with what it had received.
TEST_F(AdmissionInstanceTest, OnlyALaterAttemptLiftsARefusal)
{
    begin();
    Node &node = follower();
    ASSERT_TRUE(refuse(node, "job"));
    EXPECT_EQ(submit(node, "job"), SubmitOutcome::Shed) << "received before the refusal was read";
    runFor(Duration(500));
    std::optional<SubmitOutcome> repeated;
    node.instance->submitter().submit(
        makeJob("job"), true, m_clock.now() + Duration(2'000),
        [&repeated](SubmitOutcome outcome, const std::string &) { repeated = outcome; });
    EXPECT_EQ(repeated, SubmitOutcome::Shed);
    EXPECT_EQ(submit(node, "job"), SubmitOutcome::Accepted);
    EXPECT_FALSE(refuse(node, "job"));
}

// Guards against refusals that fill the log, and against a removal that lets a late append run.
TEST_F(AdmissionInstanceTest, ARefusalIsRemovedOnceNoAppendOfTheJobCanFollow)
{
    begin();
    ASSERT_TRUE(refuse(follower(), "job"));
    runFor(AdvanceCancellationRetention - Duration(5'000));
    EXPECT_TRUE(scheduler().instance->jobTable().idleRefusals().contains("job"));
    runFor(Duration(10'000));
    EXPECT_TRUE(scheduler().instance->jobTable().idleRefusals().empty());
}

// Guards against refusals that stay in force when the backlog has drained or the scheduler is gone.
TEST_F(AdmissionInstanceTest, AllInstancesDecideByTheBacklogUntilItHasDrained)
{
    begin();
    EXPECT_EQ(decide(follower()).reason, AdmissionReason::NoSummary);
    fillBacklog();
    for (auto &[name, node] : m_nodes)
        EXPECT_EQ(decide(node).reason, AdmissionReason::Worthless) << name;
    ASSERT_EQ(cancel(scheduler(), "backlog"), SubmitOutcome::Accepted);
    runFor(Duration(400));
    for (auto &[name, node] : m_nodes)
        EXPECT_FALSE(decide(node).refused()) << name;
}

// Guards against refusals by what an earlier scheduler has told, while nobody schedules and after
// another one has taken over.
TEST_F(AdmissionInstanceTest, NothingIsRefusedDuringALongTakeover)
{
    begin();
    fillBacklog();
    Node &node = follower();
    ASSERT_TRUE(decide(node).refused());
    for (auto &[name, it] : m_nodes)
        it.log->claimsFail = true;
    lose(schedulerName());
    runFor(AdmissionOptions().maxStateAge);
    EXPECT_EQ(decide(node).reason, AdmissionReason::Stale);
    for (auto &[name, it] : m_nodes)
        it.log->claimsFail = false;
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }, Duration(8'000)));
    EXPECT_TRUE(runUntil([this, &node] { return decide(node).refused(); }));
}

// Guards against a job that an instance without admission control accepts after a refusal that it
// does not look for.
TEST_F(AdmissionInstanceTest, NothingIsRefusedWhileAnInstanceDoesNotTakePart)
{
    begin();
    fillBacklog();
    m_policies.admission.reset();
    Node &other = addNode("d");
    runFor(Duration(2'000));
    for (auto &[name, node] : m_nodes)
        EXPECT_EQ(decide(node).reason, AdmissionReason::Disabled) << name;
    ASSERT_TRUE(refuse(follower(), "job"));
    EXPECT_EQ(submit(other, "job"), SubmitOutcome::Shed);
}

} // namespace cardamompaddle
