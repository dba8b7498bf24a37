#include "estimates/duration_model.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <string>
#include <vector>

namespace cardamompaddle {

namespace {

constexpr WorkKind Quick{"quick", ""};

// How run times are drawn; standard deviations are of the natural logarithm.
struct Load
{
    double kindMean = std::log(800.0); // of the logarithm of a step's run time
    double stepDeviation = 0.6;
    double runDeviation = 0.15;
    double declaredOffset = 0; // of the declared estimate
    double declaredDeviation = 0; // of the declared estimate around the step's run time
    int32_t tasks = 10;
    std::vector<double> workers = std::vector<double>(40, 0.0); // logarithm of the factor
    double outlierShare = 0; // of runs that take seven times as long
};

// Draws steps of a load and teaches them to a model.
class Draw
{
public:
    Draw(uint64_t seed, Load load)
        : m_load(std::move(load)), m_random(seed), m_workers(m_load.workers.size())
    { }

    void learnSteps(int count)
    {
        for (int i = 0; i < count; ++i)
            learnStep(m_load.tasks);
    }
    // Draws a step and lets this many of its tasks finish.
    void learnStep(int32_t tasks)
    {
        m_term = {};
        m_step = m_load.kindMean + normal(m_load.stepDeviation);
        m_task = {Quick,
                  std::exp(m_step + m_load.declaredOffset + normal(m_load.declaredDeviation))};
        for (int32_t i = 0; i < tasks; ++i) {
            const bool outlier =
                std::uniform_real_distribution<>(0, 1)(m_random) < m_load.outlierShare;
            learnRun(m_random() % m_workers.size(), outlier ? 7 : 1);
        }
    }
    // Lets a task of the latest step finish on the worker, `factor` times later than usual.
    void learnRun(size_t worker, double factor)
    {
        const double logMs = m_step + m_load.workers[worker] + normal(m_load.runDeviation);
        model.learn(m_task, std::exp(logMs) * factor, m_term, m_workers[worker]);
    }
    double relativeRunTime(size_t worker) const { return model.relativeRunTime(m_workers[worker]); }
    // Returns the logarithm of expectation / true median of a task of the latest step.
    double error() const { return std::log(model.estimate(m_task, m_term).medianMs) - m_step; }
    double declaredError() const { return std::log(m_task.declaredMs) - m_step; }
    double logVariance() const { return model.estimate(m_task, m_term).logVariance; }
    Load &load() { return m_load; }
    WorkerTerm &worker(size_t number) { return m_workers[number]; }

    DurationModel model;

private:
    double normal(double deviation)
    {
        return deviation == 0 ? 0 : std::normal_distribution<double>(0, deviation)(m_random);
    }
    Load m_load;
    std::mt19937_64 m_random;
    std::vector<WorkerTerm> m_workers;
    StepTerm m_term;
    TaskProfile m_task;
    double m_step = 0;
};

// Returns the root mean square of a model's errors for steps that have not begun.
double errorOfNewSteps(Draw &draw, double (Draw::*error)() const)
{
    constexpr int Steps = 300;
    double sum = 0;
    for (int i = 0; i < Steps; ++i) {
        draw.learnStep(0);
        sum += std::pow((draw.*error)(), 2);
    }
    return std::sqrt(sum / Steps);
}

// Customer A: declared estimates spread more than the run times do.
Load loadOfCustomerA()
{
    Load out;
    out.declaredOffset = -0.41;
    out.declaredDeviation = 0.9;
    return out;
}

// Customer B: two thirds of the workers run at 0.7 of the usual speed, one third at 1.7.
Load loadOfCustomerB()
{
    Load out;
    out.stepDeviation = 0.4;
    out.declaredDeviation = 0.2;
    out.outlierShare = 0.03;
    for (size_t i = 0; i < out.workers.size(); ++i)
        out.workers[i] = -std::log(i % 3 == 0 ? 1.7 : 0.7);
    return out;
}

} // namespace

// Guards against a new scheduler that decides by anything else than the callers' estimates.
TEST(DurationModelTest, WithoutSamplesTheDeclaredEstimateIsExpected)
{
    const DurationModel model;
    EXPECT_EQ(model.estimate({Quick, 1'234}, {}).medianMs, 1'234);
    EXPECT_EQ(model.estimate({Quick, 0}, {}).medianMs, 0) << "unknown";
    EXPECT_EQ(model.relativeRunTime({}), 1);
}

// Load of customer A. Guards against slack computed from estimates that are off by 2.5 either way.
TEST(DurationModelTest, LearnsTheLineOfAKindFromPoorEstimates)
{
    Draw draw(1, loadOfCustomerA());
    draw.learnSteps(200);
    const double declared = errorOfNewSteps(draw, &Draw::declaredError);
    const double learned = errorOfNewSteps(draw, &Draw::error);
    EXPECT_GT(declared, 0.85);
    EXPECT_LT(learned, 0.58) << "the step's own spread, of which estimates tell a third";
    EXPECT_NEAR(std::sqrt(draw.logVariance()), std::hypot(learned, 0.15), 0.12);
}

// Load of customer A. Guards against tasks of a step that are expected to differ from those which
// have already finished.
TEST(DurationModelTest, OneFinishedTaskTellsOfTheOthersOfItsStep)
{
    Draw draw(2, loadOfCustomerA());
    draw.learnSteps(200);
    constexpr int Steps = 100;
    double sum = 0;
    for (int i = 0; i < Steps; ++i) {
        draw.learnStep(1);
        sum += std::pow(draw.error(), 2);
    }
    EXPECT_LT(std::sqrt(sum / Steps), 0.22);
    EXPECT_LT(draw.logVariance(), 0.1);
}

// Load of customer B. Guards against a worker's speed that is mistaken for the length of its tasks,
// and against tasks of seven times the length that make a worker appear slow.
TEST(DurationModelTest, SeparatesTheSpeedOfWorkersFromTheLengthOfSteps)
{
    Draw draw(3, loadOfCustomerB());
    draw.learnSteps(200);
    for (size_t i = 0; i + 3 <= 39; i += 3) {
        EXPECT_LT(draw.relativeRunTime(i), 0.8) << i;
        EXPECT_GT(draw.relativeRunTime(i + 1), 1.05) << i;
        EXPECT_NEAR(draw.relativeRunTime(i + 1) / draw.relativeRunTime(i), 1.7 / 0.7, 0.75) << i;
    }
}

// Load of customer B. Guards against one run of many times the usual length after which a worker is
// taken for slow, or the other tasks of the step for long.
TEST(DurationModelTest, OneRunOfManyTimesTheLengthHasLimitedEffect)
{
    Load load = loadOfCustomerB();
    load.outlierShare = 0;
    Draw draw(8, load);
    draw.learnSteps(200);
    draw.learnStep(5);
    const double workerBefore = draw.relativeRunTime(1);
    const double errorBefore = draw.error();
    draw.learnRun(1, 1'000);
    EXPECT_LT(draw.relativeRunTime(1), 1.15 * workerBefore);
    EXPECT_LT(draw.error(), errorBefore + 0.15);
}

// Guards against placement by noise on a fleet whose workers are alike.
TEST(DurationModelTest, EqualWorkersStayNearTheAverage)
{
    Draw draw(4, loadOfCustomerA());
    draw.learnSteps(200);
    for (size_t i = 0; i < draw.load().workers.size(); ++i)
        EXPECT_NEAR(draw.relativeRunTime(i), 1, 0.15) << i;
}

// Guards against a model that has seen so much that it follows no change during the day.
TEST(DurationModelTest, FollowsChangesOfSpeedAndOfLength)
{
    Load load;
    load.stepDeviation = 0.2;
    load.declaredDeviation = 0.1;
    Draw draw(5, load);
    draw.learnSteps(2'000);
    draw.load().workers[7] = std::log(2.0);
    draw.learnSteps(100); // 25 runs on each worker
    EXPECT_GT(draw.relativeRunTime(7), 1.6);
    EXPECT_NEAR(draw.relativeRunTime(8), 1, 0.15);
    draw.load().kindMean += std::log(3.0); // the estimates remain the same
    draw.load().declaredOffset = -std::log(3.0);
    draw.learnSteps(400);
    EXPECT_LT(errorOfNewSteps(draw, &Draw::error), 0.4) << "the step's own spread is 0.2";
}

// Guards against a few short runs that are taken for proof.
TEST(DurationModelTest, FewSamplesCountLittle)
{
    DurationModel model;
    StepTerm step;
    WorkerTerm worker;
    model.learn({Quick, 1'000}, 4'000, step, worker);
    const RunTimeEstimate ofOther = model.estimate({Quick, 1'000}, {});
    EXPECT_GT(ofOther.medianMs, 1'000);
    EXPECT_LT(ofOther.medianMs, 3'000);
    EXPECT_EQ(ofOther.samples, 1);
    EXPECT_LT(std::exp(worker.mean), 1.5);
    EXPECT_GT(model.estimate({Quick, 1'000}, step).medianMs, ofOther.medianMs);
}

// Guards against a step whose tasks all take unexpectedly long and that looks in time until the
// first one has finished.
TEST(DurationModelTest, ProgressOfLongRunsTellsOfTheStepAlone)
{
    Draw draw(6, loadOfCustomerB());
    draw.learnSteps(100);
    const TaskProfile task{Quick, 1'000};
    StepTerm step;
    const double before = draw.model.estimate(task, step).medianMs;
    for (size_t i = 0; i < 4; ++i)
        draw.model.learnProjection(task, 4 * before, step, draw.worker(1));
    EXPECT_GT(draw.model.estimate(task, step).medianMs, 1.3 * before);
    EXPECT_EQ(draw.model.estimate(task, {}).medianMs, before);
}

// Guards against memory that grows with each image of the callers.
TEST(DurationModelTest, ForgetsTheKindsThatWereUnusedLongest)
{
    DurationModel model;
    WorkerTerm worker;
    for (int i = 0; i < 1'000; ++i) {
        StepTerm step;
        const std::string image = "image" + std::to_string(i);
        model.learn({{"r", image}, 1'000}, 3'000, step, worker);
        StepTerm other;
        model.learn({Quick, 1'000}, 3'000, other, worker);
    }
    EXPECT_EQ(model.fit().kinds, 256U);
    EXPECT_EQ(model.estimate({{"r", "image0"}, 1'000}, {}).samples, 0);
    EXPECT_GT(model.estimate({{"r", "image999"}, 1'000}, {}).samples, 0);
    EXPECT_EQ(model.estimate({Quick, 1'000}, {}).samples, 1'000);
}

// Guards against operators who cannot tell whether the model is better than the estimates.
TEST(DurationModelTest, ReportsHowWellItFits)
{
    Draw draw(7, loadOfCustomerA());
    draw.learnSteps(200);
    const ModelFit fit = draw.model.fit();
    EXPECT_EQ(fit.samples, 2'000);
    EXPECT_GT(fit.declaredError, 0.8);
    EXPECT_LT(fit.learnedError, 0.5);
}

} // namespace cardamompaddle
