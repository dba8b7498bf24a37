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
    void approve(const std::string &address, const work::ApprovalRequest &, Duration,
                 PeerGateway::Done done) override
    {
        peers.push_back({address, std::move(done)});
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

    std::vector<std::pair<std::string, PolicyGateway::Done>> own;
    std::vector<std::pair<std::string, PeerGateway::Done>> peers;
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
    void sendRequests() { m_approvals.sendRequests(m_members, UnixNow); }
    // Fails the last call to a peer.
    void failPeer()
    {
        const auto done = std::move(m_calls.peers.back().second);
        m_calls.peers.pop_back();
        done(Error{ErrorCode::OutcomeUnknown, "no answer"});
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
    EXPECT_EQ(m_calls.peers[0].first, "b:1");
}

// Guards against steps that repeatedly wait for an instance that has permanently failed.
TEST_F(ApprovalRequesterTest, BackoffOfAMemberGrowsWithConsecutiveFailures)
{
    for (const char *id : {"j1", "j2"})
        add(id, {step(1)});
    const auto sentAfter = [this](Duration wait) {
        m_clock.time += wait;
        sendRequests();
        return m_calls.peers.size() == 1;
    };
    ASSERT_TRUE(sentAfter(Duration(0)));
    failPeer();
    EXPECT_FALSE(sentAfter(Duration(1'000)));
    ASSERT_TRUE(sentAfter(Duration(1'000)));
    failPeer();
    EXPECT_FALSE(sentAfter(Duration(2'000))) << "the second failure in a row";
    ASSERT_TRUE(sentAfter(Duration(2'000)));
    m_calls.peers.back().second(work::ApprovalAnswer{});
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
