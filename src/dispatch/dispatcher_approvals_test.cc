#include "dispatch/dispatcher_testing.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle {
namespace {

constexpr int64_t WorkerCpuMilli = 8'000;
constexpr Duration Validity{2'000};

class ApprovalsTest : public DispatcherTest
{
protected:
    ApprovalsTest()
    {
        m_route.approval = ApprovalPolicy{Duration(400), 5.7, Validity};
        setCatalog();
    }
    void joinWorkers(int count)
    {
        for (int i = 0; i < count; ++i)
            join(entry("w" + std::to_string(100 + i), WorkerCpuMilli));
    }
    // Returns a gang of which each member takes a whole worker.
    static work::StepSpec gang(int32_t tasks)
    {
        work::StepSpec out = step(tasks, WorkerCpuMilli);
        out.gang = true;
        return out;
    }
    std::optional<PendingApproval> next()
    {
        return m_dispatcher.nextPendingApproval(m_now, UnixNow, Duration::max());
    }
    // Sends all calls that are pending.
    std::vector<PendingApproval> sendAll()
    {
        std::vector<PendingApproval> out;
        for (auto pending = next(); pending; pending = next()) {
            m_dispatcher.approvalRequested(*pending);
            out.push_back(*pending);
        }
        return out;
    }
    std::optional<PendingApproval> nextRenewal()
    {
        return m_dispatcher.searchPendingApprovals(m_now, UnixNow).nextRenewal(Duration::max());
    }
    // Lets time pass in which all calls are answered at once, and counts the calls.
    int passTime(Duration time)
    {
        int calls = 0;
        for (const Instant end = m_now + time; m_now < end; m_now += Duration(100)) {
            decide();
            for (auto call = next(); call; call = next(), ++calls) {
                m_dispatcher.approvalRequested(*call);
                answer(*call, m_now, 1);
            }
            for (auto call = nextRenewal(); call; call = nextRenewal(), ++calls) {
                m_dispatcher.approvalRequested(*call);
                answer(*call, m_now, 1);
            }
        }
        return calls;
    }
    // Answers that one in `divisor` of the named workers is approved.
    void answer(const PendingApproval &pending, Instant sentAt, int divisor)
    {
        std::vector<work::Approval> approved;
        for (const WorkerId &id : pending.workers) {
            if (std::stoi(id.substr(1)) % divisor == 0) {
                work::Approval approval;
                approval.worker = id;
                approved.push_back(approval);
            }
        }
        m_dispatcher.approvalAnswered(pending, &approved, sentAt, m_now);
    }
};

// Guards against a gang that never starts because its approvals expire before one call after the
// other has brought enough of them.
TEST_F(ApprovalsTest, AGangThatNeedsSeveralCallsStartsWithinOneRoundOfThem)
{
    joinWorkers(200);
    add("job", {gang(60)});
    decide();
    const Instant sentAt = m_now;
    const auto calls = sendAll();
    EXPECT_GE(calls.size(), 5U);
    m_now += Duration(600);
    for (const PendingApproval &call : calls)
        answer(call, sentAt, 2);
    EXPECT_EQ(decide().starts.size(), 60U);
}

// Guards against a gang that asks about few workers in one call after the other.
TEST_F(ApprovalsTest, TheCallOfAGangNamesAllWorkersThatMayBeNamed)
{
    joinWorkers(60);
    add("job", {gang(4)});
    const auto pending = next();
    ASSERT_TRUE(pending);
    EXPECT_EQ(pending->workers.size(), 30U);
}

TEST_F(ApprovalsTest, CallsInProgressNameDifferentWorkers)
{
    joinWorkers(100);
    add("job", {gang(60)});
    std::set<WorkerId> named;
    size_t total = 0;
    const auto calls = sendAll();
    ASSERT_GE(calls.size(), 2U);
    for (const PendingApproval &call : calls) {
        named.insert(call.workers.begin(), call.workers.end());
        total += call.workers.size();
    }
    EXPECT_EQ(total, named.size());
}

// Guards against all callers being taken by one wide step while others wait for their first call.
TEST_F(ApprovalsTest, EachStepGetsACallBeforeAnyGetsASecondOne)
{
    joinWorkers(200);
    add("wide", {gang(60)});
    add("narrow", {step(1)});
    auto search = m_dispatcher.searchPendingApprovals(m_now, UnixNow);
    std::vector<std::string> jobs;
    for (int i = 0; i < 3; ++i) {
        const auto pending = search.next(Duration::max());
        ASSERT_TRUE(pending);
        m_dispatcher.approvalRequested(*pending);
        jobs.push_back(pending->step.job);
    }
    EXPECT_EQ(std::set<std::string>(jobs.begin(), jobs.begin() + 2),
              (std::set<std::string>{"narrow", "wide"}));
    EXPECT_EQ(jobs[2], "wide");
}

// Guards against a step that waits for its first call while steps that have had one get all
// callers.
TEST_F(ApprovalsTest, AStepWithoutACallGoesBeforeThoseThatHaveHadOne)
{
    joinWorkers(200);
    add("wide", {gang(60)});
    const auto first = next();
    ASSERT_TRUE(first);
    m_dispatcher.approvalRequested(*first);
    answer(*first, m_now, 2);
    m_now += Duration(300);
    m_jobRoute = "batch"; // less urgent
    add("narrow", {step(1)});
    const auto second = next();
    ASSERT_TRUE(second);
    EXPECT_EQ(second->step.job, "narrow");
}

// Guards against a step that gets no call at all while the callers are full and steps that can
// still be in time keep coming.
TEST_F(ApprovalsTest, AStepThatIsLateGetsACallAmongUrgentOnesWithoutEnd)
{
    joinWorkers(20);
    m_jobRoute = "batch"; // less urgent
    add("late", {step(1)});
    m_jobRoute = "r";
    constexpr Duration CallTime{250}; // one caller, always busy
    int calls = 0;
    for (; calls < 12; ++calls) {
        const std::string prefix = "urgent" + std::to_string(calls);
        add(prefix + "a", {step(1)});
        add(prefix + "b", {step(1)});
        startAll();
        const auto pending = next();
        ASSERT_TRUE(pending);
        m_dispatcher.approvalRequested(*pending);
        const Instant sentAt = m_now;
        m_now += CallTime;
        answer(*pending, sentAt, 1);
        if (pending->step.job == "late")
            break;
    }
    EXPECT_LT(calls, 8) << "of one caller in two seconds";
}

// Guards against urgent steps that wait behind a queue of old ones.
TEST_F(ApprovalsTest, OverdueStepsGetAtMostEverySecondCall)
{
    joinWorkers(20);
    m_jobRoute = "batch";
    for (int i = 0; i < 20; ++i)
        add("old" + std::to_string(i), {step(1)});
    startAll();
    m_now += Duration(5'000);
    m_jobRoute = "r";
    for (int i = 0; i < 20; ++i)
        add("urgent" + std::to_string(i), {step(1)});
    int urgent = 0;
    for (int i = 0; i < 20; ++i) {
        const auto pending = next();
        ASSERT_TRUE(pending);
        m_dispatcher.approvalRequested(*pending);
        urgent += pending->step.job.starts_with("urgent") ? 1 : 0;
    }
    EXPECT_EQ(urgent, 10);
}

// Guards against a late step that gets no call because a step which no worker may run has waited
// for longer and takes its turn each time without using it.
TEST_F(ApprovalsTest, AStepThatNeedsNoCallDoesNotTakeTheTurnOfAnother)
{
    joinWorkers(20);
    add("denied", {step(1)});
    for (auto call = next(); call; call = next()) {
        m_dispatcher.approvalRequested(*call);
        const std::vector<work::Approval> none;
        m_dispatcher.approvalAnswered(*call, &none, m_now, m_now);
        m_now += Duration(300);
    }
    m_jobRoute = "batch"; // less urgent
    add("late", {step(1)});
    decide();
    m_now += Duration(1'500);
    m_jobRoute = "r";
    std::vector<std::string> jobs;
    for (int i = 0; i < 4; ++i) {
        add("urgent" + std::to_string(2 * i), {step(1)});
        add("urgent" + std::to_string(2 * i + 1), {step(1)});
        decide();
        const auto pending = next(); // of one caller
        ASSERT_TRUE(pending);
        m_dispatcher.approvalRequested(*pending);
        jobs.push_back(pending->step.job);
        m_now += Duration(100);
    }
    EXPECT_EQ(std::ranges::count(jobs, "late"), 1) << "of four calls";
}

// Guards against turns that are lost in searches which lead to no call.
TEST_F(ApprovalsTest, ASearchWithoutACallTakesNoTurn)
{
    joinWorkers(20);
    m_jobRoute = "batch";
    for (int i = 0; i < 4; ++i)
        add("old" + std::to_string(i), {step(1)});
    decide();
    m_now += Duration(1'500);
    m_jobRoute = "r";
    for (int i = 0; i < 4; ++i)
        add("urgent" + std::to_string(i), {step(1)});
    int old = 0;
    for (int i = 0; i < 4; ++i) {
        EXPECT_FALSE(m_dispatcher.nextPendingApproval(m_now, UnixNow, Duration(10)))
            << "of a caller that makes only short calls";
        const auto pending = next();
        ASSERT_TRUE(pending);
        m_dispatcher.approvalRequested(*pending);
        old += pending->step.job.starts_with("old") ? 1 : 0;
    }
    EXPECT_EQ(old, 2);
}

// Guards against a step that waits before it asks about further workers, because the first call
// named only as many as it needed.
TEST_F(ApprovalsTest, ASmallCallThatBringsNothingIsFollowedAtOnce)
{
    joinWorkers(60);
    add("job", {step(1)});
    const auto first = next();
    ASSERT_TRUE(first);
    EXPECT_LT(first->workers.size(), 30U) << "one approved worker is enough";
    m_dispatcher.approvalRequested(*first);
    const std::vector<work::Approval> none;
    m_dispatcher.approvalAnswered(*first, &none, m_now, m_now);
    const auto second = next();
    ASSERT_TRUE(second);
    for (const WorkerId &id : second->workers)
        EXPECT_EQ(std::ranges::count(first->workers, id), 0);
}

// Guards against a step that waits for the timeout of a call on a connection that has gone silent.
TEST_F(ApprovalsTest, TheWorkersOfALateCallAreNamedInAnotherOne)
{
    joinWorkers(1);
    add("job", {step(1)});
    const auto first = next();
    ASSERT_TRUE(first);
    m_dispatcher.approvalRequested(*first);
    EXPECT_FALSE(next());
    m_dispatcher.approvalLate(*first);
    const auto second = next();
    ASSERT_TRUE(second);
    EXPECT_EQ(second->workers, first->workers);
    EXPECT_NE(second->call, first->call);
}

TEST_F(ApprovalsTest, ALateAnswerStillCounts)
{
    joinWorkers(1);
    add("job", {step(1)});
    const auto pending = next();
    ASSERT_TRUE(pending);
    m_dispatcher.approvalRequested(*pending);
    m_dispatcher.approvalLate(*pending);
    const Instant sentAt = m_now;
    m_now += Duration(900);
    answer(*pending, sentAt, 1);
    EXPECT_EQ(decide().starts.size(), 1U);
}

// Guards against a step that names no further worker because a place counts twice: as free on an
// approved worker, and as taken under the step's limit for each worker.
TEST_F(ApprovalsTest, PlacesThatTheLimitForEachWorkerTakesAreNotCounted)
{
    joinWorkers(2);
    work::StepSpec spread = step(4);
    spread.maxPerWorker = 2;
    add("job", {spread});
    const auto pending = next();
    ASSERT_TRUE(pending);
    m_dispatcher.approvalRequested(*pending);
    answer(*pending, m_now, 2); // w100 only
    EXPECT_EQ(startAll().size(), 2U);
    m_now += Duration(300);
    EXPECT_FALSE(next()) << "w101 is denied";
    join(entry("w102", WorkerCpuMilli));
    const auto again = next();
    ASSERT_TRUE(again);
    EXPECT_EQ(again->workers, std::vector<WorkerId>{"w102"});
}

// Guards against calls for more workers than a step can use.
TEST_F(ApprovalsTest, AStepThatOneCallServesGetsOneCall)
{
    joinWorkers(200);
    add("job", {step(10)});
    EXPECT_EQ(sendAll().size(), 1U);
}

// Guards against approvals that are requested only once the last worker of a takeover has reported,
// so that the steps it holds back wait for them after that.
TEST_F(ApprovalsTest, StepsThatATakeoverHoldsBackGetTheirApprovals)
{
    joinWorkers(10);
    m_dispatcher.setUnreconciledWorkers({"silent"});
    add("old", {step(2)}, nullptr, true);
    const auto pending = next();
    ASSERT_TRUE(pending);
    EXPECT_EQ(pending->step.job, "old");
    EXPECT_TRUE(decide().starts.empty());
}

// Guards against steps that a takeover holds back and that take the callers from steps which could
// start.
TEST_F(ApprovalsTest, StepsThatATakeoverHoldsBackGetCallsAfterTheOthers)
{
    joinWorkers(20);
    m_dispatcher.setUnreconciledWorkers({"silent"});
    for (int i = 0; i < 5; ++i)
        add("old" + std::to_string(i), {step(1)}, nullptr, true);
    m_dispatcher.reportOverdueTasks(m_now, UnixNow);
    m_now += Duration(3'000);
    m_jobRoute = "batch"; // less urgent
    for (int i = 0; i < 5; ++i)
        add("new" + std::to_string(i), {step(1)});
    for (int i = 0; i < 5; ++i) {
        const auto pending = next();
        ASSERT_TRUE(pending);
        m_dispatcher.approvalRequested(*pending);
        EXPECT_TRUE(pending->step.job.starts_with("new")) << pending->step.job;
    }
}

// Guards against steps that all find their places on the same few workers, so that most of them
// need a second call.
TEST_F(ApprovalsTest, CallsOfSeveralStepsNameDifferentWorkersOfEqualRoom)
{
    joinWorkers(60);
    std::set<WorkerId> named;
    size_t most = 0;
    for (int i = 0; i < 6; ++i) {
        add("job" + std::to_string(i), {step(1)});
        const auto pending = next();
        ASSERT_TRUE(pending);
        m_dispatcher.approvalRequested(*pending);
        named.insert(pending->workers.begin(), pending->workers.end());
        most = std::max(most, pending->workers.size());
    }
    EXPECT_GE(named.size(), 2 * most);
}

// Guards against a gang that learns which workers are approved only once they have room, when
// other work takes it first.
TEST_F(ApprovalsTest, AWaitingGangAsksAboutWorkersWithoutRoom)
{
    joinWorkers(2);
    add("other", {step(1, WorkerCpuMilli)});
    const auto other = next();
    ASSERT_TRUE(other);
    m_dispatcher.approvalRequested(*other);
    answer(*other, m_now, 1);
    ASSERT_EQ(startAll().size(), 1U);
    add("job", {gang(2)});
    decide();
    const auto early = next();
    ASSERT_TRUE(early);
    EXPECT_EQ(early->workers.size(), 1U);
    m_dispatcher.approvalRequested(*early);
    answer(*early, m_now, 1);
    m_now += Duration(600);
    const auto ahead = next();
    ASSERT_TRUE(ahead);
    EXPECT_EQ(ahead->workers.size(), 1U);
    EXPECT_NE(ahead->workers, early->workers);
}

// Guards against a gang that waits for a call once its room is back, because its approvals have
// expired while it waited.
TEST_F(ApprovalsTest, AGangWhoseRoomComesBackAfterTheValidityStartsInTheSameDecision)
{
    joinWorkers(4);
    add("other", {step(2, WorkerCpuMilli)});
    passTime(Duration(100));
    const auto first = startAll();
    ASSERT_EQ(first.size(), 2U);
    add("job", {gang(4)});
    passTime(3 * Validity);
    for (const StartOrder &order : first)
        report(order.worker, {}, {ended(order, RunOutcome::Succeeded)});
    EXPECT_EQ(decide().starts.size(), 4U);
}

// Guards against a step that loses its approvals while it waits for the limit of its team, and
// against renewals about more workers than it needs.
TEST_F(ApprovalsTest, AStepThatWaitsForTheLimitKeepsFewApprovals)
{
    m_limit.cpuMilli = 4'000;
    setCatalog();
    joinWorkers(20);
    add("other", {step(4)});
    passTime(Duration(100));
    add("job", {step(1)});
    const int calls = passTime(Duration(100));
    EXPECT_GE(calls, 1);
    const std::vector<StartOrder> none = decide().starts;
    ASSERT_TRUE(none.empty());
    m_now += Validity - Duration(1'200);
    EXPECT_FALSE(nextRenewal()) << "the approvals last";
    m_now += Duration(800);
    decide();
    const auto renewal = nextRenewal();
    ASSERT_TRUE(renewal);
    EXPECT_EQ(renewal->step.job, "job");
    EXPECT_EQ(renewal->workers.size(), 1U);
    m_dispatcher.approvalRequested(*renewal);
    EXPECT_FALSE(nextRenewal()) << "one is enough";
    m_now += Duration(200);
    EXPECT_TRUE(next()) << "no approval is valid, and a renewal holds up no other call";
}

// Guards against a worker that a step never names again: it left and came back while the policy
// service was asked, and the answer is about its former life.
TEST_F(ApprovalsTest, AnAnswerAboutAWorkerThatWasListedAgainIsIgnored)
{
    joinWorkers(1);
    add("job", {step(1)});
    const auto pending = next();
    ASSERT_TRUE(pending);
    m_dispatcher.approvalRequested(*pending);
    const Instant sentAt = m_now;
    m_dispatcher.removeWorker("w100");
    m_now += Duration(100);
    join(entry("w100", WorkerCpuMilli));
    m_now += Duration(300);
    const std::vector<work::Approval> none;
    m_dispatcher.approvalAnswered(*pending, &none, sentAt, m_now);
    m_now += Duration(300);
    EXPECT_TRUE(next());
}

// Guards against a late answer that shortens the validity of a newer approval.
TEST_F(ApprovalsTest, ALateAnswerDoesNotReplaceANewerOne)
{
    joinWorkers(1);
    add("job", {step(1)});
    const auto first = next();
    ASSERT_TRUE(first);
    m_dispatcher.approvalRequested(*first);
    m_dispatcher.approvalLate(*first);
    const Instant firstSentAt = m_now;
    m_now += Duration(900);
    const auto second = next();
    ASSERT_TRUE(second);
    m_dispatcher.approvalRequested(*second);
    answer(*second, m_now, 1);
    answer(*first, firstSentAt, 1);
    m_now += Duration(1'500);
    EXPECT_EQ(decide().starts.size(), 1U);
}

// Load: more steps than callers can ask for, for many seconds. Guards against a long-running task
// that waits behind all of them once its run has failed, while its users are without it.
TEST_F(ApprovalsTest, AnInterruptedLongRunningTaskGetsTheNextCall)
{
    joinWorkers(40);
    work::StepSpec service = step(1, WorkerCpuMilli);
    service.longRunning = true;
    m_jobRoute = "batch";
    add("service", {service});
    const auto first = next();
    m_dispatcher.approvalRequested(*first);
    answer(*first, m_now, 1);
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 1U);
    m_jobRoute = "r";
    for (int i = 0; i < 20; ++i)
        add("quick" + std::to_string(i), {step(4, 1'000)});
    decide();
    m_now += Duration(5'000); // all of them are overdue
    report(starts[0].worker, {}, {ended(starts[0], RunOutcome::Failed)});
    m_now += Duration(50); // the backoff after the failure
    decide();
    const auto calls = [this] {
        std::vector<std::string> out;
        for (int i = 0; i < 2; ++i) {
            const auto pending = next();
            if (!pending)
                break;
            m_dispatcher.approvalRequested(*pending);
            out.push_back(pending->step.job);
        }
        return out;
    }();
    EXPECT_NE(std::find(calls.begin(), calls.end(), "service"), calls.end())
        << "neither of the next two calls is for the interrupted task";
}

} // namespace
} // namespace cardamompaddle
