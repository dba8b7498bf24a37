#include "control/approval_requester.h"

#include "dispatch/dispatcher_testing.h"

#include <gmock/gmock.h>

#include <string>
#include <vector>

namespace cardamompaddle {
namespace {

class ManualClock : public Clock
{
public:
    Instant now() const override { return time; }
    Instant time = instantFromMs(100'000);
};

// Stores each call until the test answers it.
class PendingCalls : public PolicyGateway, public PeerGateway
{
public:
    void approve(const std::string &step, const std::vector<WorkerId> &, Duration,
                 PolicyGateway::Done done) override
    {
        own.push_back({step, std::move(done)});
    }
    void closeIdleConnections() override { ++closedOwn; }
    void approve(const std::string &address, const work::ApprovalRequest &request, Duration,
                 PeerGateway::Done done) override
    {
        peers.push_back({address, request.step, request.newConnection, std::move(done)});
    }
    void recordsStored(const std::string &, const work::StoredRecords &,
                       std::function<void(Result<void>)>) override
    { }
    void forward(const std::string &, const work::CallerRequest &, Duration, ForwardDone) override
    { }
    void callWorkers(const std::string &, const work::WorkerCalls &, Duration,
                     WorkerCallsDone) override
    { }
    void answerWorkerCalls(const std::string &, const work::WorkerAnswers &,
                           std::function<void(Result<void>)>) override
    { }

    struct PeerCall
    {
        std::string address;
        std::string step;
        bool newConnection = false;
        PeerGateway::Done done;
    };
    int closedOwn = 0; // times that the idle connections of this instance were closed
    std::vector<std::pair<std::string, PolicyGateway::Done>> own; // step, callback
    std::vector<PeerCall> peers;
};

class ApprovalRequesterTest : public DispatcherTest
{
protected:
    ApprovalRequesterTest()
    {
        m_route.approval = ApprovalPolicy{Duration(20), 0.1, Duration(2'000)};
        setCatalog();
        join(entry("w", 100'000));
        for (const char *name : {"a", "b"}) {
            work::Member member;
            member.name = name;
            member.address = std::string(name) + ":1";
            m_members[name] = member;
        }
    }
    void addMembers(const std::vector<std::string> &names)
    {
        for (const std::string &name : names) {
            m_members[name].name = name;
            m_members[name].address = name + ":1";
        }
    }
    void sendRequests() { m_approvals.sendRequests(m_members, UnixNow); }
    void addJobs(int count)
    {
        for (int i = 0; i < count; ++i)
            add("j" + std::to_string(i), {step(1)});
    }
    PolicyGateway::Done takeOwn()
    {
        auto done = std::move(m_calls.own.back().second);
        m_calls.own.pop_back();
        return done;
    }
    // Answers the last call of this instance, and sends the next one.
    void answerOwn()
    {
        takeOwn()(std::vector<work::Approval>{});
        sendRequests();
    }
    void failOwn() { takeOwn()(Error{ErrorCode::OutcomeUnknown, "no answer"}); }
    // Fails the last call to a peer.
    void failPeer()
    {
        const auto done = std::move(m_calls.peers.back().done);
        m_calls.peers.pop_back();
        done(Error{ErrorCode::OutcomeUnknown, "no answer"});
    }

    // Answers all calls that the worker is approved.
    void approveAll()
    {
        work::Approval approval;
        approval.worker = "w";
        const auto own = std::exchange(m_calls.own, {});
        for (const auto &[step, done] : own)
            done(std::vector<work::Approval>{approval});
        const auto peers = std::exchange(m_calls.peers, {});
        for (const PendingCalls::PeerCall &call : peers) {
            work::ApprovalAnswer answer;
            answer.ok = true;
            answer.approved = {approval};
            call.done(answer);
        }
    }
    // Answers the last call to a peer.
    void answerPeer()
    {
        const auto done = std::move(m_calls.peers.back().done);
        m_calls.peers.pop_back();
        work::ApprovalAnswer answer;
        answer.ok = true;
        done(answer);
    }

    ManualClock m_clock;
    PendingCalls m_calls;
    std::map<std::string, work::Member> m_members;
    std::vector<std::string> m_outcomes; // "CALLER OUTCOME MS" of each ended call
    ApprovalRequester m_approvals{m_clock,
                                  m_calls,
                                  m_calls,
                                  m_dispatcher,
                                  "a",
                                  [] {},
                                  [this](const EndedApprovalCall &call) {
                                      m_outcomes.push_back(
                                          std::string(call.caller) + " "
                                          + std::string(approvalOutcomeName(call.outcome)) + " "
                                          + std::to_string(call.took.count()));
                                  }};
};

TEST_F(ApprovalRequesterTest, OneCallAtATimeForEachMember)
{
    for (const char *id : {"j1", "j2", "j3"})
        add(id, {step(1)});
    sendRequests();
    sendRequests();
    EXPECT_EQ(m_calls.own.size(), 1U);
    ASSERT_EQ(m_calls.peers.size(), 1U);
    EXPECT_EQ(m_calls.peers[0].address, "b:1");
}

// Guards against instances that make no calls at all, because they are reserved for short calls and
// no route has any.
TEST_F(ApprovalRequesterTest, AllMembersMakeCallsIfNoRouteHasShortOnes)
{
    m_route.approval = ApprovalPolicy{Duration(400), 5.7, Duration(2'000)};
    setCatalog();
    addJobs(3);
    sendRequests();
    EXPECT_EQ(m_calls.own.size(), 1U);
    EXPECT_EQ(m_calls.peers.size(), 1U);
}

// Guards against steps that repeatedly wait for an instance that has permanently failed.
TEST_F(ApprovalRequesterTest, BackoffOfAMemberThatFailsAloneGrowsWithConsecutiveFailures)
{
    addJobs(60);
    sendRequests();
    ASSERT_EQ(m_calls.peers.size(), 1U);
    for (const int backoffMs : {500, 1'000, 2'000, 4'000, 8'000, 16'000, 16'000}) {
        answerOwn();
        failPeer();
        m_clock.time += Duration(backoffMs - 50);
        sendRequests();
        EXPECT_TRUE(m_calls.peers.empty()) << backoffMs;
        m_clock.time += Duration(100);
        sendRequests();
        ASSERT_EQ(m_calls.peers.size(), 1U) << backoffMs;
    }
}

// Guards against approvals that stay slow after an outage of the policy service: all callers but
// one are left out for longer and longer although none of them is at fault.
TEST_F(ApprovalRequesterTest, AllMembersAreBackWithinASecondOfAnOutage)
{
    addJobs(60);
    sendRequests();
    takeOwn()(std::vector<work::Approval>{});
    work::ApprovalAnswer answered;
    answered.ok = true;
    m_calls.peers.back().done(answered);
    m_calls.peers.pop_back();
    m_clock.time += Duration(100);
    sendRequests();
    ASSERT_EQ(m_calls.peers.size(), 1U);
    for (int i = 0; i < 5; ++i) {
        m_clock.time += Duration(1'200);
        failOwn();
        failPeer();
        m_clock.time += Duration(350);
        sendRequests();
        ASSERT_EQ(m_calls.peers.size(), 1U) << "after failure " << i + 1;
        ASSERT_EQ(m_calls.own.size(), 1U) << "after failure " << i + 1;
    }
}

// Guards against a caller that was abandoned in an outage being left out once the policy service
// answers another one.
TEST_F(ApprovalRequesterTest, AnAnswerEndsTheBackoffOfAnOutage)
{
    addJobs(60);
    sendRequests();
    m_clock.time += Duration(1'200);
    failPeer();
    m_clock.time += Duration(50);
    answerOwn();
    sendRequests();
    EXPECT_EQ(m_calls.peers.size(), 1U);
}

// Guards against a jam at the policy service: it still handles an abandoned call, and makes the
// next one of the same caller wait until that one is late too.
TEST_F(ApprovalRequesterTest, ACallerIsNotUsedWhileItsAbandonedCallMayHoldItsTurn)
{
    m_route.approval = ApprovalPolicy{Duration(1'000), 0.1, Duration(2'000)};
    setCatalog();
    addJobs(4);
    sendRequests();
    ASSERT_EQ(m_calls.peers.size(), 1U);
    m_clock.time += Duration(2'000);
    failPeer();
    m_clock.time += Duration(900);
    sendRequests();
    EXPECT_TRUE(m_calls.peers.empty());
    m_clock.time += Duration(200);
    sendRequests();
    EXPECT_EQ(m_calls.peers.size(), 1U);
}

// Guards against a step that waits for the timeout of a call through a member that is cut off.
TEST_F(ApprovalRequesterTest, ALateCallIsRepeatedThroughAnotherMember)
{
    m_members.erase("b");
    add("j", {step(1)});
    sendRequests();
    ASSERT_EQ(m_calls.own.size(), 1U);
    m_members["b"].name = "b";
    m_members["b"].address = "b:1";
    sendRequests();
    EXPECT_TRUE(m_calls.peers.empty()) << "the call is not late yet";
    m_clock.time += Duration(230);
    sendRequests();
    ASSERT_EQ(m_calls.peers.size(), 1U);
    EXPECT_EQ(m_calls.peers[0].step, m_calls.own[0].first);
}

// Guards against callers that find out one after the other, each by a late call, that their
// connections to the policy service have gone silent.
TEST_F(ApprovalRequesterTest, AfterALateCallAllCallersUseNewConnectionsUntilTheyAreAnswered)
{
    m_members.erase("b");
    add("j1", {step(1)});
    sendRequests();
    ASSERT_EQ(m_calls.own.size(), 1U);
    addMembers({"b"});
    m_clock.time += Duration(230);
    sendRequests();
    ASSERT_EQ(m_calls.peers.size(), 1U);
    EXPECT_TRUE(m_calls.peers[0].newConnection);
    EXPECT_EQ(m_calls.closedOwn, 0) << "no call of its own since";
    m_clock.time += Duration(20);
    answerPeer();
    add("j2", {step(1)});
    sendRequests();
    ASSERT_EQ(m_calls.peers.size(), 1U);
    EXPECT_FALSE(m_calls.peers[0].newConnection) << "the connections of b work";
    failOwn();
    m_clock.time += Duration(2'000);
    answerPeer();
    add("j3", {step(1)});
    sendRequests();
    EXPECT_EQ(m_calls.own.size(), 1U);
    EXPECT_EQ(m_calls.closedOwn, 1);
}

// Guards against a step that meets one cut-off member after the other.
TEST_F(ApprovalRequesterTest, ALateCallIsRepeatedThroughMoreMembersEachTime)
{
    m_members.erase("b");
    add("j", {step(1)});
    sendRequests();
    addMembers({"b", "c", "d", "e", "f", "g", "h", "i", "j", "k"});
    m_clock.time += Duration(230);
    sendRequests();
    EXPECT_EQ(m_calls.peers.size(), 2U);
    sendRequests();
    EXPECT_EQ(m_calls.peers.size(), 2U) << "those are not late yet";
    m_clock.time += Duration(230);
    sendRequests();
    EXPECT_EQ(m_calls.peers.size(), 6U);
}

// Guards against copies of late calls that take the callers of steps without a call.
TEST_F(ApprovalRequesterTest, CopiesOfALateCallLeaveCallersIdle)
{
    m_members.erase("b");
    add("j", {step(1)});
    sendRequests();
    addMembers({"b", "c", "d"});
    for (int i = 0; i < 2; ++i) {
        m_clock.time += Duration(230);
        sendRequests();
    }
    EXPECT_EQ(m_calls.peers.size(), 3U) << "the second repetition has no copies";
    addMembers({"e", "f"});
    addJobs(1);
    m_clock.time += Duration(230);
    sendRequests();
    EXPECT_EQ(m_calls.peers.size(), 5U);
    EXPECT_THAT((std::vector<std::string>{m_calls.peers[3].step, m_calls.peers[4].step}),
                ::testing::UnorderedElementsAre("j.0.0", "j0.0.0"));
}

// Guards against a step that is asked about again although a copy of the failed call is on its way.
TEST_F(ApprovalRequesterTest, ACallFailsWithItsLastCopy)
{
    m_members.erase("b");
    add("j", {step(1)});
    sendRequests();
    addMembers({"b", "c", "d", "e", "f", "g", "h"});
    m_clock.time += Duration(230);
    sendRequests();
    ASSERT_EQ(m_calls.peers.size(), 2U);
    failPeer();
    sendRequests();
    EXPECT_EQ(m_calls.peers.size(), 1U);
    failPeer();
    sendRequests();
    EXPECT_EQ(m_calls.peers.size(), 2U);
}

// Guards against renewals that take the callers of steps without a call.
TEST_F(ApprovalRequesterTest, RenewalsLeaveHalfOfTheCallersIdle)
{
    m_limit.cpuMilli = 1'000; // of one task
    setCatalog();
    addMembers({"c", "d"});
    addJobs(6);
    for (int i = 0; i < 4; ++i) {
        m_now = m_clock.time;
        decide();
        sendRequests();
        approveAll();
        m_clock.time += Duration(30);
    }
    decide();
    sendRequests();
    ASSERT_TRUE(m_calls.own.empty() && m_calls.peers.empty()) << "all approvals are there";
    m_clock.time += Duration(1'580); // just before the first ones expire
    m_now = m_clock.time;
    decide();
    sendRequests();
    EXPECT_EQ(m_calls.own.size() + m_calls.peers.size(), 2U);
    add("new", {step(1)});
    sendRequests();
    EXPECT_EQ(m_calls.own.size() + m_calls.peers.size(), 3U);
}

// Guards against calls that fail or are late through one member and cannot be told from the others.
TEST_F(ApprovalRequesterTest, TheObserverLearnsCallerOutcomeAndTime)
{
    for (const char *id : {"j1", "j2", "j3"})
        add(id, {step(1)});
    sendRequests();
    ASSERT_EQ(m_calls.own.size(), 1U);
    ASSERT_EQ(m_calls.peers.size(), 1U);
    m_clock.time += Duration(30);
    m_calls.own.back().second(std::vector<work::Approval>{});
    m_clock.time += Duration(570);
    failPeer();
    m_calls.own.clear();
    sendRequests();
    ASSERT_EQ(m_calls.own.size(), 1U);
    m_clock.time += Duration(300);
    m_calls.own.back().second(std::vector<work::Approval>{});
    EXPECT_THAT(m_outcomes, ::testing::ElementsAre("a answered 30", "b failed 600", "a late 300"));
}

} // namespace
} // namespace cardamompaddle
