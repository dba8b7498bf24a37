// Past usage of client accounts in the order of waiting work.
#include "dispatch/contention_simulation.h"

#include <gmock/gmock.h>

#include <string>
#include <vector>

namespace cardamompaddle {
namespace {

using testing::ContentionSimulation;

// Plays ten seconds of demand beyond the fleet, by accounts of different weights on two routes.
void playRecordedCase(ContentionSimulation &simulation)
{
    for (int i = 0; i < 50; ++i) {
        simulation.submit("large", 6, i % 3 == 0 ? "batch" : "quick");
        if (i % 4 == 1)
            simulation.submit("small", 5);
        if (i % 10 == 5)
            simulation.submit("unlisted", 3, "batch");
        simulation.runFor(Duration(200));
    }
}

// Guards against decisions, log lines or records that change although the policy is off. The digest
// was taken from the version before the policy existed.
TEST(UsageOrderTest, WithoutThePolicyARecordedCaseIsDecidedAsBefore)
{
    ContentionSimulation simulation({}, {{"large", 1}, {"small", 0.5}}, 2);
    playRecordedCase(simulation);
    EXPECT_EQ(simulation.events().size(), 900U);
    EXPECT_EQ(simulation.digest(), 2'503'724'141'650'231'855U);
}

} // namespace
} // namespace cardamompaddle
