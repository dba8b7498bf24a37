#include "scheduler/scheduler_testing.h"

namespace cardamompaddle {
namespace {

class GangTest : public SchedulerFixture
{
protected:
    WorkItem gang(const std::string &id, int32_t tasks)
    {
        WorkItem item = work(id, WorkKind::Gang, tasks);
        item.spec.perTask = {1'000, 1'000, 0, 4, 1}; // two per worker
        return item;
    }
};

// A gang must not start some of its tasks while others have no capacity.
TEST_F(GangTest, StartsWholeOrNotAtAll)
{
    addWorkers(2);
    submit(work("small"));
    const std::vector<Decision> small = starts();
    submit(gang("gang", 4));
    EXPECT_TRUE(starts().empty());
    end(small[0]);
    EXPECT_EQ(starts().size(), 4U);
}

// The team limit must be checked for the whole gang at once, not task by task.
TEST_F(GangTest, LimitCountsTheWholeGang)
{
    addWorkers(2);
    gate.left["team"] = 3;
    submit(gang("gang", 4));
    EXPECT_TRUE(starts().empty());
    gate.left["team"] = 4;
    EXPECT_EQ(starts().size(), 4U);
}

// A stream of small jobs must not starve a gang by taking each slot as it becomes free.
TEST_F(GangTest, ReservationKeepsFreedCapacityFromSmallWork)
{
    addWorkers(2);
    submit(work("fill", WorkKind::Batch, 16));
    std::vector<Decision> running = starts();
    submit(gang("gang", 4));
    // There is always small work of the same urgency waiting. Its class comes after that of gangs,
    // but without a reservation it would always fit first.
    int rounds = 0;
    bool started = false;
    for (; rounds < 40 && !started; ++rounds) {
        submit(work("small" + std::to_string(rounds)));
        ASSERT_FALSE(running.empty());
        end(running.front());
        running.erase(running.begin());
        for (const Decision &it : starts(Duration(1'000))) {
            started = started || it.start.task.job.id == "gang";
            running.push_back(it);
        }
    }
    EXPECT_TRUE(started);
    EXPECT_LT(rounds, 30);
}

// Two gangs must not deadlock by reserving half of the capacity each.
TEST_F(GangTest, TwoGangsDoNotDeadlock)
{
    addWorkers(2);
    submit(work("fill", WorkKind::Batch, 16));
    std::vector<Decision> running = starts();
    submit(gang("one", 4));
    submit(gang("two", 4));
    starts(Duration(6'000));
    std::set<std::string> done;
    for (int round = 0; round < 12; ++round) {
        for (const Decision &it : running)
            end(it);
        running = starts(Duration(1'000));
        for (const Decision &it : running)
            done.insert(it.start.task.job.id);
    }
    EXPECT_EQ(done, (std::set<std::string>{"one", "two"}));
}

// A reservation must end when its gang is cancelled, or capacity would stay idle.
TEST_F(GangTest, ReservationEndsWithTheGangAndWithTime)
{
    addWorkers(2);
    submit(work("fill", WorkKind::Batch, 16));
    std::vector<Decision> running = starts();
    submit(gang("gang", 4));
    starts(Duration(6'000));
    for (int it = 0; it < 12; ++it)
        end(running[static_cast<size_t>(it)]);
    submit(work("small", WorkKind::Batch, 16));
    EXPECT_LT(starts().size(), 12U); // some capacity is reserved
    scheduler->cancel({"team", "gang"}, now);
    size_t count = 0;
    for (int it = 0; it < 3; ++it)
        count += starts().size();
    EXPECT_GE(count, 4U);
    EXPECT_EQ(scheduler->workerRows(now)[0].free.slots, 0);
    EXPECT_EQ(scheduler->workerRows(now)[1].free.slots, 0);
}

// The reservation of a gang that cannot get all its capacity must expire and pass to the next gang.
TEST_F(GangTest, ExpiredReservationGoesToTheNextGang)
{
    addWorkers(2);
    submit(work("fill", WorkKind::Batch, 16));
    std::vector<Decision> running = starts();
    submit(gang("one", 4));
    starts(Duration(6'000));
    for (const Decision &it : running) {
        if (it.worker == running[0].worker)
            end(it); // the other worker stays full
    }
    submit(gang("two", 2));
    EXPECT_TRUE(starts(Duration(20'000)).empty());
    size_t started = starts(Duration(11'000)).size();
    started += starts(Duration(100)).size();
    EXPECT_EQ(started, 2U);
}

// Urgent work must be able to use capacity that is reserved for a gang of lower urgency.
TEST_F(GangTest, UrgentWorkMayTakeReservedCapacity)
{
    addWorkers(2);
    submit(work("fill", WorkKind::Batch, 16));
    std::vector<Decision> running = starts();
    submit(gang("gang", 4));
    starts(Duration(6'000));
    for (size_t it = 0; it < 8; ++it)
        end(running[it]); // empties one worker, which the gang reserves
    EXPECT_TRUE(starts().empty());
    WorkItem urgent = work("urgent", WorkKind::Request);
    urgent.spec.urgency = 9;
    submit(urgent);
    EXPECT_EQ(jobs(decide()), (std::vector<std::string>{"urgent"}));
    for (size_t it = 8; it < 16; ++it)
        end(running[it]);
    EXPECT_TRUE(starts().empty()); // 7 and 8 free slots hold only three tasks of the gang
}

} // namespace
} // namespace cardamompaddle
