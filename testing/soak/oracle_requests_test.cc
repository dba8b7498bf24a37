// Promises about single requests, keys and processes. Each promise is broken in a made-up history,
// and the histories next to it are allowed.
#include "oracle_fixture.h"

namespace cardamompaddle::soak {

namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

} // namespace

TEST_F(OracleTest, AStopMustNotCutRequests)
{
    stopBegan();
    cut(Options.answerSlack + Slack);
    EXPECT_THAT(broken(), ElementsAre("answered"));
    EXPECT_THAT(m_oracle.violations()[0].what, HasSubstr("entry-1"));
}

// Guards against an oracle that looks only at requests that were sent after the signal.
TEST_F(OracleTest, AStopMustNotCutRequestsThatWereSentBefore)
{
    m_oracle.stopBegan("entry-1", m_now + Duration(100));
    cut(Duration(300));
    EXPECT_THAT(broken(), ElementsAre("answered"));
}

TEST_F(OracleTest, AStopMayCutRequestsThatWereJustSent)
{
    stopBegan();
    cut(Options.answerSlack);
    EXPECT_THAT(broken(), IsEmpty());
}

TEST_F(OracleTest, RequestsMayBeCutWithoutAStop)
{
    cut(Duration(1'000)); // a kill, for example
    m_oracle.stopBegan("entry-2", m_now);
    cut(Duration(1'000));
    m_oracle.stopBegan("entry-1", m_now + Duration(2'000));
    cut(Duration(1'000)); // before the signal
    cut(Duration(3'000), true); // its caller gave up
    EXPECT_THAT(broken(), IsEmpty());
}

TEST_F(OracleTest, RequestsToAnInstanceThatHasGoneMayBeCut)
{
    stopBegan();
    pass(Duration(100));
    m_oracle.stopEnded("entry-1", m_now);
    cut(Duration(1'000));
    EXPECT_THAT(broken(), IsEmpty());
    EXPECT_EQ(m_oracle.callsAroundStops(), 0U);
    m_now -= Slack;
    cut(Duration(1'000));
    EXPECT_THAT(broken(), ElementsAre("answered")) << "sent before the end";
    EXPECT_EQ(m_oracle.callsAroundStops(), 1U);
}

TEST_F(OracleTest, RequestsMayBeCutBesideADisturbance)
{
    for (const std::string &part : {std::string("entry-1"), LogPart}) {
        m_disturbances.begin(part, m_now);
        m_disturbances.end(part, m_now + Duration(100));
        pass(Options.contactTime);
        stopBegan();
        cut(Duration(1'000));
        pass(Options.contactTime * 2);
    }
    EXPECT_THAT(broken(), IsEmpty());
    stopBegan();
    cut(Duration(1'000));
    EXPECT_THAT(broken(), ElementsAre("answered")) << "the disturbances are long over";
}

TEST_F(OracleTest, AWithdrawnKeyAdmitsNothing)
{
    m_oracle.keyWithdrawn("old", m_now);
    pass(Options.configurationDelay);
    callWithKey(200);
    EXPECT_THAT(broken(), ElementsAre("key-withdrawn"));
    EXPECT_EQ(m_oracle.checked(Promise::KeyWithdrawn), 1U);
}

TEST_F(OracleTest, AWithdrawnKeyMayAdmitUntilTheChangeHolds)
{
    callWithKey(200);
    m_oracle.keyWithdrawn("old", m_now);
    m_oracle.keyWithdrawn("another", m_now - Options.configurationDelay * 2);
    pass(Options.configurationDelay - Slack);
    callWithKey(200);
    pass(Options.configurationDelay);
    callWithKey(401);
    callWithKey(503);
    EXPECT_THAT(broken(), IsEmpty());
}

TEST_F(OracleTest, AWithdrawnKeyMayAdmitBesideADisturbance)
{
    m_oracle.keyWithdrawn("old", m_now);
    m_disturbances.begin(LogPart, m_now - Duration(100));
    pass(Options.configurationDelay * 2);
    callWithKey(200);
    EXPECT_THAT(broken(), IsEmpty());
}

TEST_F(OracleTest, AProcessStaysUp)
{
    m_oracle.processEnded("entry-1", "was ended by signal 11", m_now);
    EXPECT_THAT(broken(), ElementsAre("stays-up"));
    EXPECT_THAT(m_oracle.violations()[0].what, HasSubstr("signal 11"));
}

} // namespace cardamompaddle::soak
