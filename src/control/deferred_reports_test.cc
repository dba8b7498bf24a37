#include "control/deferred_reports.h"

#include <gtest/gtest.h>

#include <set>

namespace cardamompaddle {
namespace {

class DeferredReportsTest : public ::testing::Test
{
protected:
    static Instant at(int64_t ms) { return instantFromMs(1'000 + ms); }
    static RunReport running(const std::string &job, int64_t startedAtMs = 1)
    {
        RunReport out;
        out.startedAtMs = startedAtMs;
        out.running.push_back({{{job, 0, 0}, 0}, 1, "", 50, 0});
        return out;
    }
    static RunReport ended(const std::string &job)
    {
        RunReport out;
        out.startedAtMs = 1;
        out.ended.push_back({1, {{job, 0, 0}, 0}, 1, RunOutcome::Succeeded, ""});
        return out;
    }

    std::set<std::string> m_known{"known"};
    DeferredReports m_reports{[this](const std::string &job) { return m_known.contains(job); }};
};

} // namespace

TEST_F(DeferredReportsTest, AReportOfKnownJobsNeedsNoRefresh)
{
    EXPECT_TRUE(m_reports.admit("w", running("known"), Instant::min(), at(0)));
    EXPECT_TRUE(m_reports.empty());
}

// Guards against a stop, or an acknowledgement, on the strength of a job table from before the
// worker refused the former scheduler.
TEST_F(DeferredReportsTest, AnUnknownRunWaitsForATableReadAfterTheFence)
{
    EXPECT_FALSE(m_reports.admit("w", running("other"), at(9), at(10)));
    EXPECT_FALSE(m_reports.admit("v", ended("other"), at(9), at(12)));
    EXPECT_TRUE(m_reports.contains("w"));
    EXPECT_TRUE(m_reports.takeJudgeable(at(9)).empty());
    const auto first = m_reports.takeJudgeable(at(11));
    ASSERT_EQ(first.size(), 1);
    EXPECT_EQ(first[0].first, "w");
    EXPECT_FALSE(m_reports.contains("w"));
    EXPECT_EQ(m_reports.size(), 1);
}

TEST_F(DeferredReportsTest, AJobThatArrivesOtherwiseEndsTheWait)
{
    EXPECT_FALSE(m_reports.admit("w", running("other"), at(0), at(10)));
    m_known.insert("other");
    EXPECT_EQ(m_reports.takeJudgeable(at(0)).size(), 1);
}

// Guards against a wait that starts anew with each report, which would never end on a slow log.
TEST_F(DeferredReportsTest, TheFirstReportOfAnIncarnationSetsTheFence)
{
    EXPECT_FALSE(m_reports.admit("w", running("other"), at(0), at(10)));
    EXPECT_FALSE(m_reports.admit("w", ended("other"), at(0), at(20)));
    EXPECT_EQ(m_reports.size(), 1);
    const auto judged = m_reports.takeJudgeable(at(15));
    ASSERT_EQ(judged.size(), 1);
    EXPECT_TRUE(judged[0].second.running.empty()) << "an earlier report";
    EXPECT_TRUE(m_reports.admit("w", running("third"), at(15), at(30)));
}

// Guards against runs that the former scheduler started in an incarnation that had seen no token.
TEST_F(DeferredReportsTest, AnotherIncarnationIsFencedAnew)
{
    EXPECT_TRUE(m_reports.admit("w", running("other", 1), at(15), at(10)));
    EXPECT_FALSE(m_reports.admit("w", running("other", 2), at(15), at(20)));
}

TEST_F(DeferredReportsTest, ALostWorkerIsForgotten)
{
    EXPECT_FALSE(m_reports.admit("w", running("other"), at(0), at(10)));
    m_reports.drop("w");
    EXPECT_TRUE(m_reports.empty());
    EXPECT_TRUE(m_reports.takeJudgeable(at(20)).empty());
}

} // namespace cardamompaddle
