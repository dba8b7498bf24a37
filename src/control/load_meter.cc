#include "control/load_meter.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {

namespace {

constexpr std::array<std::string_view, 5> PartNames = {"decide", "report", "answer", "flush",
                                                       "publish"};

int64_t microseconds(std::chrono::steady_clock::duration time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

} // namespace

std::string_view loadPartName(LoadPart part)
{
    return PartNames[static_cast<size_t>(part)];
}

void LoadMeter::add(LoadPart part, Time time)
{
    Sum &sum = m_sums[static_cast<size_t>(part)];
    ++sum.count;
    sum.total += time;
    sum.longest = std::max(sum.longest, time);
}

std::string LoadMeter::take()
{
    std::string out;
    const auto sums = std::exchange(m_sums, {});
    for (size_t i = 0; i < sums.size(); ++i) {
        if (sums[i].count == 0)
            continue;
        const std::string name(PartNames[i]);
        out += (out.empty() ? "" : " ") + name + "=" + std::to_string(sums[i].count);
        out += " " + name + "_us=" + std::to_string(microseconds(sums[i].total));
        out += " " + name + "_max_us=" + std::to_string(microseconds(sums[i].longest));
    }
    return out;
}

} // namespace cardamompaddle
