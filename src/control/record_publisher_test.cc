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

// Peers that apply and relay publications. Calls to a frozen peer stay unanswered, calls to a gone
// one fail.
class RelayingPeers : public PeerGateway
{
public:
    explicit RelayingPeers(const Clock &clock) : m_clock(clock) { }
    void approve(const std::string &, const work::ApprovalRequest &, Duration, Done) override { }
    void recordsStored(const std::string &address, const work::StoredRecords &records,
                       std::function<void(Result<void>)> done) override
    {
        m_calls.push_back({address, records, std::move(done)});
    }
    void forward(const std::string &, const work::CallerRequest &, Duration, ForwardDone) override
    { }
    void callWorkers(const std::string &, const work::WorkerCalls &, Duration,
                     WorkerCallsDone) override
    { }
    void answerWorkerCalls(const std::string &, const work::WorkerAnswers &,
                           std::function<void(Result<void>)>) override
    { }

    // Answers all calls to peers that are not frozen. Returns how many calls were made.
    int deliver()
    {
        int count = 0;
        const std::vector<Call> calls = std::exchange(m_calls, {});
        for (const Call &call : calls) {
            if (frozen.contains(call.address)) {
                if (!call.records.relayTo.empty())
                    ++callsToFrozenHead;
                continue;
            }
            ++count;
            if (gone.contains(call.address)) {
                ++callsToGone;
                call.done(Error{ErrorCode::Unavailable, "gone"});
                continue;
            }
            receive(call.address, call.records);
            call.done({});
        }
        return count;
    }

    std::set<std::string> frozen;
    std::set<std::string> gone;
    int callsToGone = 0;
    int callsToFrozenHead = 0;
    std::string anyHead; // of the last publication
    std::map<std::string, std::vector<int64_t>> offsets; // of received records, by address
    std::map<std::string, Instant> receivedAt; // last time, by address

private:
    struct Call
    {
        std::string address;
        work::StoredRecords records;
        std::function<void(Result<void>)> done;
    };
    void receive(const std::string &address, const work::StoredRecords &records)
    {
        for (const work::StoredRecord &record : records.records)
            offsets[address].push_back(record.offset);
        receivedAt[address] = m_clock.now();
        if (!records.relayTo.empty())
            anyHead = address;
        work::StoredRecords relayed = records;
        relayed.relayTo.clear();
        for (const std::string &other : records.relayTo) {
            if (!frozen.contains(other) && !gone.contains(other))
                receive(other, relayed);
        }
    }
    const Clock &m_clock;
    std::vector<Call> m_calls;
};

constexpr int64_t Epoch = 7;

class PublicationTest : public ::testing::Test
{
protected:
    PublicationTest()
    {
        for (int i = 0; i < 40; ++i)
            m_members.push_back({"p" + std::to_string(i), 0, ""});
    }
    // Publishes a record with the next offset. Returns the number of calls that were answered.
    int publish()
    {
        ++m_offset;
        m_publisher.publish(m_members, {Epoch,
                                        m_clock.now(),
                                        Duration::zero(),
                                        "work",
                                        {{"k", "v", false, m_offset}},
                                        m_offset + 1});
        return m_peers.deliver();
    }

    ManualClock m_clock;
    RelayingPeers m_peers{m_clock};
    RecordPublisher m_publisher{m_clock, m_peers};
    std::vector<PublicationPeer> m_members;
    int64_t m_offset = 0;
};

} // namespace

// Guards against a scheduler whose processor time goes into a call to each of many peers.
TEST_F(PublicationTest, FortyPeersCostSevenCallsAndGetEachPublicationOnce)
{
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(publish(), 7);
        m_clock.time += Duration(40);
    }
    for (const PublicationPeer &peer : m_members)
        EXPECT_EQ(m_peers.offsets[peer.address], (std::vector<int64_t>{1, 2, 3, 4, 5}))
            << peer.address;
}

// Guards against a group that gets no publications because its head does not answer: what the head
// did not pass on and all that follows has to arrive within the interval of two heartbeats.
TEST_F(PublicationTest, TheGroupOfAFrozenHeadGetsPublicationsWithinTheBound)
{
    publish();
    const std::string frozen = m_peers.anyHead;
    m_peers.frozen.insert(frozen);
    Duration longest{0};
    for (int i = 0; i < 10; ++i) {
        m_clock.time += Duration(150);
        publish();
        m_peers.deliver();
        for (const PublicationPeer &peer : m_members) {
            if (peer.address != frozen)
                longest = std::max(longest, m_clock.time - m_peers.receivedAt[peer.address]);
        }
    }
    EXPECT_LE(longest, Duration(300));
    EXPECT_EQ(m_peers.callsToFrozenHead, 1);
    for (const PublicationPeer &peer : m_members) {
        if (peer.address == frozen)
            continue;
        const auto &offsets = m_peers.offsets[peer.address];
        EXPECT_EQ(std::set<int64_t>(offsets.begin(), offsets.end()).size(), 11U) << peer.address;
    }
}

// Guards against records that are lost for a group because the call to its head failed.
TEST_F(PublicationTest, TheGroupOfAFailedHeadGetsThePublicationAtOnce)
{
    publish();
    const std::string failed = m_peers.anyHead;
    m_peers.gone.insert(failed);
    publish();
    m_peers.deliver(); // the calls made after the failure
    for (const PublicationPeer &peer : m_members) {
        if (peer.address == failed)
            continue;
        EXPECT_EQ(m_peers.offsets[peer.address], (std::vector<int64_t>{1, 2})) << peer.address;
    }
}

// Guards against instances that are gone and cost a call with each publication, or at a steady rate
// forever.
TEST_F(PublicationTest, AGonePeerIsCalledEverMoreSeldom)
{
    publish();
    m_peers.gone.insert(m_peers.anyHead);
    for (int i = 0; i < 500; ++i) {
        publish();
        m_peers.deliver();
        m_clock.time += Duration(40);
    }
    EXPECT_GE(m_peers.callsToGone, 5) << "a peer that is back would not be noticed";
    EXPECT_LE(m_peers.callsToGone, 8) << "in 20 s";
}

// Guards against records of the jobs topic that a relay sends as records of the work topic.
TEST(RecordPublisherTest, KeepsTheTopicsOfQueuedRecordsApart)
{
    ManualClock clock;
    HeldPeers peers;
    RecordPublisher publisher(clock, peers);
    publisher.send("p", "jobs", {{"a", "1", false, 1}}, 0);
    publisher.send("p", "jobs", {{"b", "2", false, 2}}, 0);
    work::StoredRecords relayed;
    relayed.topic = "work";
    relayed.relayTo = {"p"};
    relayed.epoch = Epoch;
    relayed.publishedAtMs = 5;
    publisher.relay(relayed);
    ASSERT_EQ(peers.calls.size(), 2U);
    EXPECT_EQ(peers.calls[1].topic, "work");
    EXPECT_TRUE(peers.calls[1].records.empty());
    EXPECT_TRUE(peers.calls[1].relayTo.empty()) << "a relay's message is relayed again";
    EXPECT_EQ(peers.calls[1].epoch, Epoch);
    EXPECT_EQ(peers.calls[1].publishedAtMs, 5);
}

// Guards against a peer that goes on refusing jobs, because the end of the backlog was lost among
// messages that were put together, or by the backlog of an earlier tenure.
TEST(RecordPublisherTest, AMergedMessageHoldsTheNewestBacklogOfItsTenure)
{
    ManualClock clock;
    HeldPeers peers;
    RecordPublisher publisher(clock, peers);
    const auto relay = [&publisher](int64_t epoch, std::optional<int> accounts) {
        work::StoredRecords message;
        message.topic = "work";
        message.relayTo = {"p"};
        message.epoch = epoch;
        if (accounts) {
            work::Backlog backlog;
            backlog.accounts.resize(static_cast<size_t>(*accounts));
            message.__set_backlog(backlog);
        }
        publisher.relay(message);
    };
    relay(Epoch, std::nullopt); // in flight
    relay(Epoch, 2);
    relay(Epoch, 1);
    relay(Epoch, std::nullopt); // tells nothing
    std::exchange(peers.answer, nullptr)(Result<void>{});
    ASSERT_EQ(peers.calls.size(), 2U);
    ASSERT_TRUE(peers.calls[1].__isset.backlog);
    EXPECT_EQ(peers.calls[1].backlog.accounts.size(), 1U);
    relay(Epoch, 2);
    relay(Epoch + 1, std::nullopt);
    std::exchange(peers.answer, nullptr)(Result<void>{});
    ASSERT_EQ(peers.calls.size(), 3U);
    EXPECT_FALSE(peers.calls[2].__isset.backlog);
}

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

// Guards against a claim of the tenure that comes too late, or never, because a relay that was
// suspended passes on old publications after the scheduler has died.
TEST_F(InstanceTest, OldRelayedPublicationsAreNoSignOfLife)
{
    work::Tenure dead;
    dead.holder = "dead";
    dead.address = "dead:1";
    dead.epoch = 1;
    m_model.put(WorkTopic, work_key::Tenure, encodeRecord(dead));
    Node &node = addNode("b");
    ASSERT_TRUE(runUntil([&] { return node.instance->isReady(); }));
    work::StoredRecords publication;
    publication.topic = WorkTopic;
    publication.topicEnd = 1'000;
    publication.epoch = dead.epoch;
    publication.publishedAtMs = 5'000; // the clock of another machine
    for (int i = 0; i < 20 && !node.instance->isScheduler(); ++i) {
        node.instance->recordsStored(publication);
        runFor(Duration(100));
    }
    EXPECT_TRUE(node.instance->isScheduler());
}

class ManyInstancesTest : public InstanceTest
{
protected:
    ManyInstancesTest()
    {
        addNode("a");
        runUntil([this] { return schedulers() == 1; });
        for (int i = 0; i < 11; ++i)
            addNode("b" + std::to_string(i));
        for (auto &[address, receive] : m_policy.receivers) {
            receive = [this, address = address, next = receive](const work::StoredRecords &it) {
                if (!it.relayTo.empty())
                    m_head = address;
                next(it);
            };
        }
        runUntil([this] { return !m_head.empty() && allForward(); });
    }
    // Whether all followers know a scheduler that has published lately.
    bool allForward()
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [](const auto &it) {
            return it.second.instance->isScheduler()
                   || !it.second.instance->forwardTarget().empty();
        });
    }

    std::string m_head; // address of the last relay that was called
};

// Guards against relays that do not pass on: the final state reaches instances without the log.
TEST_F(ManyInstancesTest, AFinalStateReachesAllWithoutReading)
{
    ASSERT_FALSE(m_head.empty());
    ASSERT_EQ(submit(scheduler(), "job"), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 1; }));
    for (auto &[name, node] : m_nodes) {
        if (!node.instance->isScheduler())
            node.log->unreadableTopic = WorkTopic;
    }
    runFor(Duration(1'000)); // the held reads may still be answered
    m_workers.finishAllRuns(RunOutcome::Succeeded);
    for (auto &[name, node] : m_nodes)
        EXPECT_TRUE(reached(node, "job", work::JobState::Completed)) << name;
}

// Guards against followers that claim the tenure while the scheduler lives, because the relay of
// their group does not answer.
TEST_F(ManyInstancesTest, AFrozenRelayCausesNoClaim)
{
    ASSERT_FALSE(m_head.empty());
    const int64_t epoch = scheduler().instance->jobTable().tenure().epoch;
    const std::string frozen = m_head;
    m_policy.unresponsivePeers.insert(frozen);
    m_nodes[frozen.substr(0, frozen.find(':'))].instance->stop(
        [] {}); // a frozen one claims nothing
    runFor(Duration(2'500));
    EXPECT_EQ(scheduler().instance->jobTable().tenure().epoch, epoch);
    m_head.clear();
    EXPECT_TRUE(runUntil([&] { return !m_head.empty() && m_head != frozen; }));
}

} // namespace cardamompaddle
