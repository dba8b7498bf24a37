#include "control/load_meter.h"

#include <gtest/gtest.h>

namespace cardamompaddle {

namespace {

// Guards against a load line that mixes up the parts, or that repeats an earlier interval.
TEST(LoadMeterTest, ReportsEachPartOnceSinceTheLastCall)
{
    LoadMeter meter;
    EXPECT_EQ(meter.take(), "");
    {
        const LoadMeter::Scope decide(meter, LoadPart::Decide);
    }
    {
        const LoadMeter::Scope flush(meter, LoadPart::Flush);
    }
    {
        const LoadMeter::Scope flush(meter, LoadPart::Flush);
    }
    const std::string line = meter.take();
    EXPECT_TRUE(line.starts_with("decide=1 decide_us=")) << line;
    EXPECT_NE(line.find(" flush=2 flush_us="), std::string::npos) << line;
    EXPECT_EQ(line.find("report"), std::string::npos) << line;
    EXPECT_EQ(meter.take(), "");
}

} // namespace

} // namespace cardamompaddle
