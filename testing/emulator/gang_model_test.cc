// Compares gangs of several WorkerModels, and their tickets, with the rules of the platform's page
// on running tasks.
#include "gang_model.h"
#include "worker_model.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace cardamompaddle::emulator {

namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;
using ::testing::UnorderedElementsAre;

constexpr Duration MaxLease{60'000};
constexpr Duration RunTime{2'000};
constexpr Duration GangTimeout{4'000};
constexpr Duration StopTime{100};

class GangModelTest : public ::testing::Test
{
protected:
    GangModelTest()
    {
        for (const char *id : {"a", "b", "c"})
            m_workers.push_back(std::make_unique<WorkerModel>(options(id), m_now));
    }

    WorkerModelOptions options(const std::string &id)
    {
        WorkerModelOptions out;
        out.id = id;
        out.maxLease = MaxLease;
        out.stopTime = StopTime;
        out.runTime = [](const std::string &) { return std::optional(RunTime); };
        out.gangSize = [](const std::string &task) { return task.starts_with("gang") ? 3 : 0; };
        out.gangs = &m_gangs;
        out.gangTimeout = GangTimeout;
        out.acceptsTicket = [](const std::string &ticket, const std::string &, const std::string &,
                               int, Instant) { return ticket == "valid"; };
        return out;
    }
    StartReply start(size_t worker, const std::string &task, int64_t run = 1,
                     const std::string &ticket = "valid")
    {
        WorkerModel &model = *m_workers[worker];
        return model.start(task, run, model.clockMs(m_now) + MaxLease.count(), m_now, ticket);
    }
    void startAll()
    {
        for (size_t i = 0; i < m_workers.size(); ++i)
            EXPECT_EQ(start(i, "gang.0.0." + std::to_string(i)), StartReply::Started);
    }
    // Two passes: a member's end is seen by the others in the next one.
    void advance(Duration by)
    {
        m_now += by;
        for (int pass = 0; pass < 2; ++pass) {
            for (const auto &it : m_workers)
                it->advance(m_now);
        }
    }
    std::vector<std::string> ends() const
    {
        std::vector<std::string> out;
        for (const auto &worker : m_workers) {
            for (const ModelledEnd &it : worker->ends())
                out.push_back(it.task + " " + it.how);
        }
        return out;
    }

    Instant m_now = Instant(Duration(5'000));
    GangModel m_gangs;
    std::vector<std::unique_ptr<WorkerModel>> m_workers;
};

} // namespace

TEST_F(GangModelTest, WorksFromTheMomentWhenAllMembersArePresent)
{
    start(0, "gang.0.0.0");
    start(1, "gang.0.0.1");
    EXPECT_FALSE(m_workers[0]->workBegan("gang.0.0.0", m_workers[0]->runs().begin()->second));
    advance(GangTimeout - Duration(1));
    start(2, "gang.0.0.2");
    advance(RunTime - Duration(1));
    EXPECT_THAT(ends(), IsEmpty());
    advance(Duration(1));
    EXPECT_THAT(ends(), ElementsAre("gang.0.0.0 done", "gang.0.0.1 done", "gang.0.0.2 done"));
}

// Guards against members of different runs that are taken for one gang.
TEST_F(GangModelTest, MembersOfAnotherRunAreNotPresent)
{
    start(0, "gang.0.0.0", 1);
    start(1, "gang.0.0.1", 1);
    start(2, "gang.0.0.2", 2);
    advance(GangTimeout);
    EXPECT_THAT(ends(),
                UnorderedElementsAre("gang.0.0.0 alone", "gang.0.0.1 broken", "gang.0.0.2 alone"));
}

TEST_F(GangModelTest, AMemberThatIsStoppedBreaksTheOthers)
{
    startAll();
    m_workers[1]->stop("gang.0.0.1", 1, m_now);
    advance(StopTime);
    EXPECT_THAT(ends(),
                ElementsAre("gang.0.0.0 broken", "gang.0.0.1 stopped", "gang.0.0.2 broken"));
}

TEST_F(GangModelTest, ACrashBreaksTheOthers)
{
    startAll();
    m_workers[2]->crash(m_now);
    advance(Duration(1));
    EXPECT_THAT(ends(), ElementsAre("gang.0.0.0 broken", "gang.0.0.1 broken"));
}

TEST_F(GangModelTest, TasksWithoutAGangAreOnTheirOwn)
{
    start(0, "single.0.0.0");
    advance(RunTime);
    EXPECT_THAT(ends(), ElementsAre("single.0.0.0 done"));
}

TEST_F(GangModelTest, AStartWithoutAValidTicketIsRefused)
{
    EXPECT_EQ(start(0, "single.0.0.0", 1, ""), StartReply::NoTicket);
    EXPECT_THAT(m_workers[0]->runs(), IsEmpty());
    EXPECT_EQ(start(0, "single.0.0.0", 1), StartReply::Started) << "the refused run is not spent";
    EXPECT_EQ(start(0, "single.0.0.0", 1, ""), StartReply::Started) << "it is already there";
}

} // namespace cardamompaddle::emulator
