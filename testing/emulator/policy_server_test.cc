// Calls the policy service of the emulator, and starts tasks with its tickets, through the
// product's own clients.
#include "platform_emulator_fixture.h"

namespace cardamompaddle::emulator {

namespace {

constexpr Duration DecisionTime{200};

class PolicyServerTest : public PlatformEmulatorTest
{
protected:
    using Approvals = Result<std::vector<work::Approval>>;

    void createWithPolicy()
    {
        m_options.policy.decisionTime = DecisionTime;
        m_options.policy.validity = Duration(600);
        m_options.needsTicket = [](const std::string &) { return true; };
        create();
        m_policy = std::make_unique<PlatformPolicyClient>(*m_http, m_platform->policyAddress());
    }
    Approvals approve(Duration timeout = Timeout)
    {
        return await<Approvals>(
            [&](auto done) { m_policy->approve("job.0.0", {"i-1000"}, timeout, done); });
    }
    Result<StartOutcome> startWith(const std::string &ticket, int64_t run)
    {
        const WorkerEntry worker = entry("i-1000");
        StartOrder order;
        order.worker = worker.id;
        order.task = m_task;
        order.run = run;
        order.ticket = ticket;
        order.job = std::make_shared<work::Submission>();
        const auto answer = await<Result<StartAnswer>>([&](auto done) {
            m_workers->start(worker, fence(worker, Lease.count()), order, Timeout, done);
        });
        return answer ? Result<StartOutcome>(answer->outcome) : answer.error();
    }

    std::unique_ptr<PlatformPolicyClient> m_policy;
};

} // namespace

TEST_F(PolicyServerTest, AStartNeedsAValidTicket)
{
    createWithPolicy();
    const auto approvals = approve();
    ASSERT_TRUE(approvals);
    ASSERT_EQ(approvals->size(), 1U);
    const std::string ticket = approvals->front().ticket;
    EXPECT_EQ(*startWith("", 1), StartOutcome::NoApproval);
    EXPECT_EQ(*startWith(ticket, 1), StartOutcome::Started);
    ASSERT_TRUE(runUntil([this] { return m_events.size() == 2; })) << "started and ended";
    runFor(Duration(600));
    EXPECT_EQ(*startWith(ticket, 2), StartOutcome::NoApproval) << "expired";
}

// Guards against a service that forgets a call whose client has given up: the next call of the
// same caller has to wait for it.
TEST_F(PolicyServerTest, AnAbandonedCallIsHandledToItsEnd)
{
    createWithPolicy();
    EXPECT_EQ(approve(Duration(50)).error().code, ErrorCode::OutcomeUnknown);
    const Instant sentAt = SteadyClock().now();
    ASSERT_TRUE(approve());
    EXPECT_GE(SteadyClock().now() - sentAt, DecisionTime + DecisionTime / 2);
}

TEST_F(PolicyServerTest, CallersWithTheirOwnAddressesDoNotWaitForEachOther)
{
    createWithPolicy();
    const auto address = m_platform->addPolicyCaller();
    ASSERT_TRUE(address);
    PlatformPolicyClient other(*m_http, *address);
    bool otherAnswered = false;
    bool secondAnswered = false;
    const auto ignore = [](const Approvals &) {};
    m_policy->approve("job.0.0", {"i-1000"}, Timeout, ignore);
    m_policy->approve("job.0.1", {"i-1000"}, Timeout,
                      [&](const Approvals &) { secondAnswered = true; });
    other.approve("job.0.2", {"i-1000"}, Timeout,
                  [&](const Approvals &answer) { otherAnswered = answer.ok(); });
    ASSERT_TRUE(runUntil([&] { return otherAnswered; }));
    EXPECT_FALSE(secondAnswered);
    EXPECT_TRUE(runUntil([&] { return secondAnswered; }));
    EXPECT_EQ(m_platform->policyCallCount(), 3);
}

TEST_F(PolicyServerTest, PlaysFaults)
{
    createWithPolicy();
    m_platform->policyFaults().silent = true;
    EXPECT_EQ(approve(Duration(400)).error().code, ErrorCode::OutcomeUnknown);
    m_platform->policyFaults() = {};
    m_platform->policyFaults().refuses = true;
    EXPECT_FALSE(approve());
    m_platform->policyFaults() = {};
    m_platform->policyFaults().delay = Duration(300);
    const Instant sentAt = SteadyClock().now();
    EXPECT_TRUE(approve());
    EXPECT_GE(SteadyClock().now() - sentAt, DecisionTime + Duration(300));
    m_platform->policyFaults() = {};
    EXPECT_TRUE(approve(DecisionTime + Duration(200))) << "calls that were silenced do not wait";
}

} // namespace cardamompaddle::emulator
