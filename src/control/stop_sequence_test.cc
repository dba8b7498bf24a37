#include "control/stop_sequence.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace cardamompaddle {
namespace {

constexpr Instant Start = instantFromMs(50'000);
constexpr Duration OutOfRotation{2'200};
constexpr Duration Grace{5'000};
constexpr Duration Step{50};

struct Taken
{
    StopAction action;
    Duration at; // since the start
    bool operator==(const Taken &) const = default;
};

std::ostream &operator<<(std::ostream &out, const Taken &it)
{
    return out << stopActionName(it.action) << " at " << it.at.count();
}

// Returns the actions of a stop whose status at a time since the start is `statusAt(time)`.
template <typename StatusAt>
std::vector<Taken> run(StatusAt statusAt, Duration outOfRotation = OutOfRotation,
                       Duration deadline = Grace)
{
    StopSequence sequence(Start + outOfRotation, Start + deadline);
    std::vector<Taken> out;
    for (Duration at{0}; at <= Duration(20'000); at += Step) {
        const StopAction action = sequence.decide(statusAt(at), Start + at);
        if (action != StopAction::Wait)
            out.push_back({action, at});
        if (action == StopAction::Exit)
            return out;
    }
    ADD_FAILURE() << "the sequence does not end";
    return out;
}

std::vector<StopAction> actions(const std::vector<Taken> &all)
{
    std::vector<StopAction> out(all.size());
    std::transform(all.begin(), all.end(), out.begin(), [](const Taken &it) { return it.action; });
    return out;
}

constexpr StopStatus Idle{true, 0, 0};
const std::vector<StopAction> Graceful = {StopAction::StopAccepting,
                                          StopAction::CloseIdleConnections, StopAction::Exit};
const std::vector<StopAction> Forced = {StopAction::StopAccepting, StopAction::CloseIdleConnections,
                                        StopAction::AbandonRequests, StopAction::Exit};

} // namespace

// Guards against a process that refuses connections while callers still come, and against one that
// stays without need.
TEST(StopSequenceTest, AnIdleInstanceEndsSoonAfterItIsOutOfRotation)
{
    EXPECT_EQ(run([](Duration) { return Idle; }),
              (std::vector<Taken>{{StopAction::StopAccepting, OutOfRotation},
                                  {StopAction::CloseIdleConnections, Duration(2'300)},
                                  {StopAction::Exit, Duration(2'350)}}));
}

// Guards against a request that is cut because the sequence ends while it is open.
TEST(StopSequenceTest, WaitsForOpenRequests)
{
    const auto taken = run([](Duration at) {
        const bool open = at < Duration(3'500);
        return StopStatus{true, open ? 1U : 0U, open ? 1U : 0U};
    });
    EXPECT_EQ(actions(taken), Graceful);
    EXPECT_EQ(taken.back().at, Duration(3'500));
}

// Guards against a response that is lost to a reset because its client had no time to read it.
TEST(StopSequenceTest, LeavesClientsTimeToReadTheLastResponse)
{
    const auto taken = run([](Duration at) {
        return StopStatus{true, at < Duration(3'500) ? 1U : 0U, 1};
    });
    EXPECT_EQ(actions(taken), Graceful);
    EXPECT_GE(taken.back().at, Duration(3'900));
    EXPECT_LE(taken.back().at, Duration(4'000));
}

// Guards against a stop that lasts until the platform kills the process because clients keep their
// connections.
TEST(StopSequenceTest, EndsThoughClientsKeepTheirConnections)
{
    const auto taken = run([](Duration) { return StopStatus{true, 0, 7}; });
    EXPECT_EQ(actions(taken), Graceful);
    EXPECT_EQ(taken.back().at, Duration(2'800));
}

// Guards against a scheduler that ends before it has released its tenure.
TEST(StopSequenceTest, WaitsForTheEndOfTheTenure)
{
    const auto taken = run([](Duration at) { return StopStatus{at >= Duration(4'000), 0, 0}; });
    EXPECT_EQ(actions(taken), Graceful);
    EXPECT_EQ(taken.back().at, Duration(4'000));
}

// Guards against a stop that never ends, and against requests that are cut without a response.
TEST(StopSequenceTest, AbandonsRequestsAtTheDeadline)
{
    const auto taken = run([](Duration) { return StopStatus{true, 1, 1}; });
    EXPECT_EQ(actions(taken), Forced);
    EXPECT_EQ(taken[2].at, Grace);
    EXPECT_EQ(taken.back().at, Grace + Duration(300));
}

// Guards against a process that ends before the responses to abandoned requests are written.
TEST(StopSequenceTest, EndsOnceTheClientsOfAbandonedRequestsHaveClosed)
{
    const auto taken = run([](Duration at) {
        const bool open = at < Grace + Duration(100);
        return StopStatus{true, open ? 1U : 0U, open ? 1U : 0U};
    });
    EXPECT_EQ(actions(taken), Forced);
    EXPECT_EQ(taken.back().at, Grace + Duration(100));
}

// Guards against a tenure that is never released, for example because the log does not answer.
TEST(StopSequenceTest, EndsWithoutTheEndOfTheTenureAtTheDeadline)
{
    const auto taken = run([](Duration) { return StopStatus{false, 0, 0}; });
    EXPECT_EQ(actions(taken), Forced);
    EXPECT_LE(taken.back().at, Grace + Duration(300));
}

// Guards against steps that are skipped when the grace period is shorter than the time that callers
// still come.
TEST(StopSequenceTest, TakesAllStepsThoughTheDeadlineComesFirst)
{
    const auto taken = run(
        [](Duration) {
            return StopStatus{true, 1, 1};
        },
        OutOfRotation, Duration(1'000));
    EXPECT_EQ(actions(taken), Forced);
    EXPECT_EQ(taken.front().at, OutOfRotation);
    EXPECT_LE(taken.back().at, OutOfRotation + Duration(500));
}

// Guards against an action that is skipped because the process was suspended past its time.
TEST(StopSequenceTest, TakesAllStepsAfterAPause)
{
    StopSequence sequence(Start + OutOfRotation, Start + Grace);
    std::vector<StopAction> taken;
    for (Duration at = Duration(60'000); taken.empty() || taken.back() != StopAction::Exit;
         at += Step) {
        ASSERT_LT(at, Duration(61'000));
        const StopAction action = sequence.decide({true, 1, 1}, Start + at);
        if (action != StopAction::Wait)
            taken.push_back(action);
    }
    EXPECT_EQ(taken, Forced);
}

} // namespace cardamompaddle
