#include "work/chains.h"

#include <algorithm>
#include <vector>

namespace cardamompaddle {

Duration longestChain(const work::Submission &job)
{
    std::vector<int64_t> endMs; // of the longest chain up to and including each step
    int64_t longestMs = 0;
    for (const work::StepSpec &step : job.steps) {
        int64_t beginMs = 0;
        for (const int32_t before : step.after) {
            // Steps depend only on steps with lower numbers.
            if (before >= 0 && static_cast<size_t>(before) < endMs.size())
                beginMs = std::max(beginMs, endMs[static_cast<size_t>(before)]);
        }
        endMs.push_back(beginMs + step.estimatedMs);
        longestMs = std::max(longestMs, endMs.back());
    }
    return Duration(longestMs);
}

} // namespace cardamompaddle
