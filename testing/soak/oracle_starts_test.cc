// Checks the oracle's promises on starts and gangs with made-up histories.
#include "oracle_fixture.h"

namespace cardamompaddle::soak {

namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

constexpr Duration StartDelay{3'000};
constexpr const char *First = "gang.0.0.0";
constexpr const char *Second = "gang.0.0.1";

class OracleStartsTest : public OracleTest
{
protected:
    OracleStartsTest()
    {
        JobPlan gang = plan("gang", {First, Second});
        gang.gang = true;
        m_oracle.planned(gang);
    }
    void check(int places = 4)
    {
        m_oracle.checkStarts(m_now, [places](const std::string &, int) {
            return StartRoom{1, places};
        });
    }
};

} // namespace

TEST_F(OracleStartsTest, AReadyStepWithRoomStartsSoon)
{
    submit("job");
    pass(StartDelay);
    check();
    EXPECT_THAT(broken(), IsEmpty());
    pass(2 * Slack + Duration(5));
    check();
    EXPECT_THAT(broken(), ElementsAre("starts"));
}

TEST_F(OracleStartsTest, AStepWithTooLittleRoomMayWait)
{
    submit("job");
    pass(2 * StartDelay);
    check(3);
    EXPECT_THAT(broken(), IsEmpty());
}

TEST_F(OracleStartsTest, TheBoundHoldsOnlyAfterACalmTime)
{
    submit("job");
    m_disturbances.begin(PolicyPart, m_now);
    pass(Duration(1'000));
    m_disturbances.end(PolicyPart, m_now);
    pass(Duration(6'000));
    check();
    EXPECT_THAT(broken(), IsEmpty());
    pass(Duration(1'100));
    check();
    EXPECT_THAT(broken(), ElementsAre("starts"));
}

// Guards against a slow harness that breaks a bound, and against one that excuses a wait for good.
TEST_F(OracleStartsTest, ALateHarnessExcusesAWaitOnlyForAWhile)
{
    submit("job");
    m_disturbances.begin(HarnessPart, m_now);
    pass(Duration(1'000));
    m_disturbances.end(HarnessPart, m_now);
    pass(Duration(6'000));
    check();
    EXPECT_THAT(broken(), IsEmpty());
    EXPECT_EQ(m_oracle.excused(), 1U);
    pass(Duration(1'100));
    check();
    EXPECT_THAT(broken(), ElementsAre("starts"));
}

// Guards against a scheduler that goes on using workers that leave.
TEST_F(OracleStartsTest, AWorkerThatLeavesGetsNoStartAfterItsDrainTime)
{
    const Instant since = m_now;
    const auto startAfter = [&](Duration delay) {
        m_oracle.startedOnLeaving(
            {emulator::RunEventKind::Started, since + delay, Task, 1, "w", 1, ""}, since);
    };
    startAfter(Duration(2'000));
    EXPECT_THAT(broken(), IsEmpty());
    startAfter(Duration(2'001));
    EXPECT_THAT(broken(), ElementsAre("placed"));
    m_disturbances.begin(LogPart, since + Duration(2'500));
    startAfter(Duration(3'000));
    EXPECT_THAT(broken(), ElementsAre("placed")) << "the log may not have told it";
}

TEST_F(OracleStartsTest, AGangNeedsAllItsMembers)
{
    submit("gang");
    submit("job");
    started(First);
    started(Task);
    pass(2 * StartDelay);
    check();
    EXPECT_THAT(broken(), ElementsAre("starts")) << "of the gang only";
}

// Guards against an oracle that waits for the end of each member, or misses a second run.
TEST_F(OracleStartsTest, TheEndOfOneMemberRepresentsTheGang)
{
    submit("gang");
    started(First);
    started(Second);
    ended(First, "done");
    EXPECT_FALSE(m_oracle.isUnfinished("gang"));
    ended(Second, "lapsed");
    acknowledged(First, "done");
    started(Second, 2);
    EXPECT_THAT(broken(), ElementsAre("runs-once"));
}

} // namespace cardamompaddle::soak
