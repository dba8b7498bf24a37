#include "control/record_publisher.h"

#include "control/instance_testing.h"
#include "work/codec.h"

namespace cardamompaddle {

namespace {

// Records the calls; the test answers them through `answer`.
class HeldPeers : public PeerGateway
{
public:
    void approve(const std::string &, const work::ApprovalRequest &, Duration, Done) override { }
    void recordsStored(const std::string &, const work::StoredRecords &records,
                       std::function<void(Result<void>)> done) override
    {
        calls.push_back(records);
        answer = std::move(done);
    }

    void forward(const std::string &, const work::CallerRequest &, Duration, ForwardDone) override
    { }
    void callWorkers(const std::string &, const work::WorkerCalls &, Duration,
                     WorkerCallsDone) override
    { }
    void answerWorkerCalls(const std::string &, const work::WorkerAnswers &,
                           std::function<void(Result<void>)>) override
    { }

    std::vector<work::StoredRecords> calls;
    std::function<void(Result<void>)> answer;
};

class ManualClock : public Clock
{
public:
    Instant now() const override { return time; }
    Instant time = instantFromMs(1'000);
};

} // namespace

// Guards against calls that pile up for a peer that does not answer.
TEST(RecordPublisherTest, QueuesRecordsDuringACallAndBacksOffAfterAFailure)
{
    ManualClock clock;
    HeldPeers peers;
    RecordPublisher publisher(clock, peers);
    publisher.send("p", "topic", {{"a", "1", false, 1}}, 0);
    publisher.send("p", "topic", {{"b", "2", false, 2}}, 0);
    publisher.send("p", "topic", {{"c", "3", false, 3}}, 0);
    ASSERT_EQ(peers.calls.size(), 1U);
    std::exchange(peers.answer, nullptr)({});
    ASSERT_EQ(peers.calls.size(), 2U);
    ASSERT_EQ(peers.calls[1].records.size(), 2U);
    EXPECT_EQ(peers.calls[1].records[1].offset, 3);
    std::exchange(peers.answer, nullptr)(Error{ErrorCode::OutcomeUnknown, "timed out"});
    publisher.send("p", "topic", {{"d", "4", false, 4}}, 0);
    EXPECT_EQ(peers.calls.size(), 2U) << "the publisher backs off";
    clock.time += Duration(2'000);
    publisher.send("p", "topic", {}, 0);
    ASSERT_EQ(peers.calls.size(), 3U) << "a heartbeat";
    EXPECT_TRUE(peers.calls[2].records.empty()) << "dropped records are read from the log";
}

// Guards against callers that learn of the completion of their job only after the next read of the
// log.
TEST_F(InstanceTest, AFollowerLearnsOfACompletionWithoutReading)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    Node &other = addNode("b");
    ASSERT_TRUE(runUntil([&] { return other.instance->isReady(); }));
    ASSERT_EQ(submit(other, "job"), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 1; }));
    other.log->unreadableTopic = WorkTopic;
    runFor(Duration(1'000)); // the held read may still be answered
    m_workers.finishAllRuns(RunOutcome::Succeeded);
    EXPECT_TRUE(reached(other, "job", work::JobState::Completed));
}

// Guards against jobs that start only after the scheduler's next read of the log.
TEST_F(InstanceTest, TheSchedulerStartsAJobThatAPeerPublished)
{
    Node &first = addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    Node &other = addNode("b");
    ASSERT_TRUE(runUntil([&] { return other.instance->isReady(); }));
    first.log->unreadableTopic = JobsTopic;
    runFor(Duration(500));
    ASSERT_EQ(submit(other, "job"), SubmitOutcome::Accepted);
    EXPECT_TRUE(runUntil([this] { return m_workers.runningCount() == 1; }, Duration(1'000)));
}

// Guards against delayed takeovers (1.3 s instead of 0.7 s): records that the scheduler stored
// before it died are read after its death and must not count as activity.
TEST_F(InstanceTest, RecordsBeforeTheLastPublishedEndAreNoActivity)
{
    work::Tenure dead;
    dead.holder = "dead";
    dead.address = "dead:1";
    dead.epoch = 1;
    m_model.put(WorkTopic, work_key::Tenure, encodeRecord(dead));
    Node &node = addNode("b");
    ASSERT_TRUE(runUntil([&] { return node.instance->isReady(); }));
    work::StoredRecords lastPublished;
    lastPublished.topic = WorkTopic;
    lastPublished.topicEnd = 1'000;
    node.instance->recordsStored(lastPublished);
    work::Progress old;
    old.id = "job";
    for (int i = 0; i < 20 && !node.instance->isScheduler(); ++i) {
        m_model.put(WorkTopic, work_key::progress("job"), encodeRecord(old));
        runFor(Duration(100));
    }
    EXPECT_TRUE(node.instance->isScheduler());
}

} // namespace cardamompaddle
