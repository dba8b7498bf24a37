#include "scheduler/scheduler_testing.h"

namespace cardamompaddle {
namespace {

using OrderTest = SchedulerFixture;

// Work starts in the order of urgency, kind and deadline, so that batch work does not delay
// interactive requests.
TEST_F(OrderTest, UrgencyThenKindThenDeadline)
{
    const auto add = [this](const std::string &id, WorkKind kind, int urgency, int deadlineMs) {
        WorkItem item = work(id, kind);
        item.spec.urgency = urgency;
        if (deadlineMs > 0)
            item.deadline = now + Duration(deadlineMs);
        submit(item);
    };
    add("batch5", WorkKind::Batch, 5, 0);
    add("gang5", WorkKind::Gang, 5, 0);
    add("service5", WorkKind::Service, 5, 0);
    add("late5", WorkKind::Request, 5, 900);
    add("soon5", WorkKind::Request, 5, 500);
    add("batch9", WorkKind::Batch, 9, 0);
    addWorkers(1);
    EXPECT_EQ(jobs(decide()), (std::vector<std::string>{"batch9", "soon5", "late5", "service5",
                                                        "gang5", "batch5"}));
}

// A team must not take the whole pool because its work was submitted first.
TEST_F(OrderTest, TeamsGetCapacityByWeightedDominantShare)
{
    scheduler->setTeams({{"big", {"big", 3, 0}}, {"small", {"small", 1, 0}}});
    scheduler->setRoutes({});
    for (const std::string team : {"big", "small"}) {
        for (int it = 0; it < 40; ++it) {
            WorkItem item = work(team + std::to_string(it));
            item.spec.key.team = team;
            submit(item);
        }
    }
    addWorkers(4); // 32 slots
    std::map<std::string, int> started;
    for (const Decision &it : starts())
        ++started[it.start.task.job.team];
    EXPECT_EQ(started["big"], 24);
    EXPECT_EQ(started["small"], 8);
}

// The share of a team includes its usage in other pools.
TEST_F(OrderTest, UsageInOtherPoolsCounts)
{
    scheduler->setRemoteUsage({{"elsewhere", 900'000}});
    WorkItem first = work("first");
    first.spec.key.team = "elsewhere";
    submit(first);
    submit(work("second"));
    addWorkers(1);
    EXPECT_EQ(jobs(decide()), (std::vector<std::string>{"second", "first"}));
}

// The queue of a team on a route is bounded, and a full queue does not affect other teams.
TEST_F(OrderTest, QueueOfATeamIsBounded)
{
    RouteSpec route;
    route.name = "route";
    route.maxQueuePerTeam = 2;
    scheduler->setRoutes({{"route", route}});
    submit(work("a"));
    submit(work("b"));
    EXPECT_EQ(refusal(work("c")), ErrorCode::Overloaded);
    WorkItem other = work("c");
    other.spec.key.team = "other";
    submit(other);
    WorkItem replayed = work("d");
    replayed.alreadyAccepted = true; // acknowledged work must not be refused
    submit(replayed);
    addWorkers(1);
    EXPECT_EQ(starts().size(), 4U);
    submit(work("e")); // the queue is no longer full
}

// A request must not start after its deadline, and must not be reported as not executed if an
// attempt may have run.
TEST_F(OrderTest, ExpiredRequestsAreRejectedNotSent)
{
    WorkItem item = work("quick", WorkKind::Request);
    item.deadline = now + Duration(100);
    submit(item);
    const std::vector<Decision> out = decide(Duration(101));
    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(out[0].kind, DecisionKind::RejectRequest);
    EXPECT_EQ(out[0].code, ErrorCode::DeadlineExceeded);
    EXPECT_EQ(out[0].executed, Executed::No);

    addWorkers(1);
    WorkItem ran = work("ran", WorkKind::Request);
    ran.deadline = now + Duration(1'000);
    submit(ran);
    const std::vector<Decision> started = starts();
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(end(started[0], TaskOutcome::Failed), TaskDisposition::WillRetry);
    scheduler->workerLost("w0", now);
    const std::vector<Decision> failed = decide(Duration(1'000));
    ASSERT_EQ(failed.size(), 1U);
    EXPECT_EQ(failed[0].kind, DecisionKind::JobFailed);
    EXPECT_EQ(failed[0].executed, Executed::Unknown);
}

// A team at its limit starts nothing and does not block other teams.
TEST_F(OrderTest, TeamLimitBlocksOnlyThatTeam)
{
    gate.left["team"] = 1;
    submit(work("a"));
    submit(work("b"));
    WorkItem other = work("c");
    other.spec.key.team = "other";
    submit(other);
    addWorkers(1);
    EXPECT_EQ(jobs(decide()), (std::vector<std::string>{"a", "c"}));
    EXPECT_NE(scheduler->explainWaiting({"team", "b"}, now).find("limit"), std::string::npos);
}

// Jobs that no known worker can ever hold and jobs under a key in use are refused.
TEST_F(OrderTest, WorkThatCanNeverRunAndRepeatedKeysAreRefused)
{
    submit(work("early")); // accepted, since no worker is known yet
    addWorkers(2);
    WorkItem large = work("large");
    large.spec.perTask.memoryMb = 32'001;
    EXPECT_EQ(refusal(large), ErrorCode::InvalidArgument);
    WorkItem gang = work("gang", WorkKind::Gang, 17); // 16 slots
    EXPECT_EQ(refusal(gang), ErrorCode::InvalidArgument);
    EXPECT_EQ(refusal(work("early")), ErrorCode::Conflict);
}

// The baseline order must ignore urgency and shares, or comparisons with it would be meaningless.
TEST_F(OrderTest, FifoIgnoresUrgencyAndShares)
{
    SchedulerOptions options;
    options.order = makeFifoOrder();
    reset(options);
    submit(work("a"));
    WorkItem urgent = work("b");
    urgent.spec.urgency = 9;
    submit(urgent);
    addWorkers(1);
    EXPECT_EQ(jobs(decide()), (std::vector<std::string>{"a", "b"}));
}

} // namespace
} // namespace cardamompaddle
