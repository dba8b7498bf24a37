// Compares PolicyModel with the rules of the platform's page on the policy service.
#include "policy_model.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cardamompaddle::emulator {

namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

constexpr const char *Step = "job.0.0";
constexpr const char *Task = "job.0.0.7";
constexpr int WorkerCount = 300;

class PolicyModelTest : public ::testing::Test
{
protected:
    static PolicyOptions options()
    {
        PolicyOptions out;
        out.approvedShare = 1.0 / 3;
        out.decisionTime = Duration(100);
        out.perWorkerMs = 2.5;
        out.validity = Duration(2'000);
        return out;
    }
    bool submit(int64_t number, const std::string &caller, int workers = 0)
    {
        PolicyCall call{number, caller, Step, {}};
        for (int i = 0; i < workers; ++i)
            call.workers.push_back("w" + std::to_string(i));
        return m_model.submit(std::move(call), m_extraTime, m_now);
    }
    // Returns the numbers of the calls that are answered within `by`.
    std::vector<int64_t> answered(Duration by)
    {
        m_now += by;
        std::vector<int64_t> out;
        for (PolicyAnswer &it : m_model.advance(m_now)) {
            out.push_back(it.call);
            m_answers.push_back(std::move(it));
        }
        return out;
    }
    bool accepts(const PolicyGrant &grant, const std::string &task = Task) const
    {
        return m_model.accepts(grant.ticket, task, grant.worker, m_life, m_now);
    }

    Instant m_now = Instant(Duration(5'000));
    Duration m_extraTime{0};
    int m_life = 1; // of all workers
    PolicyModel m_model{options(), 7, [this](const std::string &) { return m_life; }};
    std::vector<PolicyAnswer> m_answers;
};

} // namespace

TEST_F(PolicyModelTest, ApprovesAShareOfTheWorkersForEachStep)
{
    int approved = 0;
    int differences = 0;
    for (int i = 0; i < WorkerCount; ++i) {
        const std::string worker = "w" + std::to_string(i);
        const bool first = m_model.approves(Step, worker, 1);
        approved += first ? 1 : 0;
        differences += first != m_model.approves("other.0.0", worker, 1) ? 1 : 0;
        differences += first != m_model.approves(Step, worker, 2) ? 1 : 0;
        EXPECT_EQ(first, m_model.approves(Step, worker, 1)) << "the answer never changes";
    }
    EXPECT_GT(approved, WorkerCount / 4);
    EXPECT_LT(approved, WorkerCount / 2);
    EXPECT_GT(differences, WorkerCount / 4);
}

TEST_F(PolicyModelTest, TakesTimeForEachWorkerThatACallNames)
{
    EXPECT_TRUE(submit(1, "a", 20));
    EXPECT_THAT(answered(Duration(149)), IsEmpty());
    EXPECT_THAT(answered(Duration(1)), ElementsAre(1));
    for (const PolicyGrant &it : m_answers.front().grants)
        EXPECT_TRUE(m_model.approves(Step, it.worker, 1));
}

// Guards against a model in which calls of one caller overtake or overlap each other, or wait for
// those of another caller.
TEST_F(PolicyModelTest, HandlesOneCallAtATimeForEachCaller)
{
    submit(1, "a");
    submit(2, "a");
    submit(3, "b");
    EXPECT_THAT(answered(Duration(100)), ElementsAre(1, 3));
    EXPECT_THAT(answered(Duration(99)), IsEmpty());
    EXPECT_THAT(answered(Duration(1)), ElementsAre(2));
}

TEST_F(PolicyModelTest, RefusesCallsWhileTooManyWait)
{
    for (int i = 0; i <= static_cast<int>(PolicyModel::MaxWaitingCalls); ++i)
        EXPECT_TRUE(submit(i, "a")) << "one is being handled, the others wait";
    EXPECT_FALSE(submit(100, "a"));
    EXPECT_TRUE(submit(101, "b")) << "it does not wait";
    answered(Duration(100));
    EXPECT_TRUE(submit(102, "a"));
}

TEST_F(PolicyModelTest, ASlowServiceTakesLonger)
{
    m_extraTime = Duration(400);
    submit(1, "a");
    EXPECT_THAT(answered(Duration(499)), IsEmpty());
    EXPECT_THAT(answered(Duration(1)), ElementsAre(1));
}

TEST_F(PolicyModelTest, ATicketHoldsForOneStepWorkerLifeAndTime)
{
    submit(1, "a", 20);
    answered(Duration(150));
    ASSERT_GE(m_answers.front().grants.size(), 2U);
    const PolicyGrant grant = m_answers.front().grants[0];
    const PolicyGrant other = m_answers.front().grants[1];
    EXPECT_TRUE(accepts(grant));
    EXPECT_TRUE(accepts(grant, "job.0.0.8")) << "another task of the step";
    EXPECT_FALSE(accepts(grant, "job.0.1.7")) << "another step";
    EXPECT_FALSE(accepts({other.worker, grant.ticket})) << "another worker";
    EXPECT_FALSE(accepts({grant.worker, ""}));
    EXPECT_FALSE(accepts({grant.worker, "ticket-999"}));
    m_life = 2;
    EXPECT_FALSE(accepts(grant)) << "another life";
    m_life = 1;
    m_now += Duration(2'000);
    EXPECT_TRUE(accepts(grant));
    m_now += Duration(1);
    EXPECT_FALSE(accepts(grant)) << "expired";
}

} // namespace cardamompaddle::emulator
