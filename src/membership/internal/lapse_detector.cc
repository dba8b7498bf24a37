#include "membership/internal/lapse_detector.h"

#include <algorithm>
#include <functional>

namespace cardamompaddle::internal {
namespace {

// Returns the shortest time on the local clock that an age measured on another clock can stand for.
// Two milliseconds cover the rounding of both clocks.
Duration minElapsed(Duration age)
{
    const Duration drift((age.count() * ClockDriftPercent + 99) / 100);
    return std::max(Duration(0), age - drift - Duration(2));
}

} // namespace

LapseDetector::LapseDetector(int32_t seatCount) : m_reports(static_cast<size_t>(seatCount)) { }

void LapseDetector::recordReport(SeatId from, Instant sentAt, Instant receivedAt,
                                 const std::vector<SeatView> &table)
{
    Report &report = m_reports[static_cast<size_t>(from)];
    if (!report.rows.empty() && report.sentAt > sentAt)
        return;
    report.sentAt = sentAt;
    report.rows.assign(m_reports.size(), Row{});
    for (const SeatView &it : table) {
        if (it.seat < 0 || static_cast<size_t>(it.seat) >= m_reports.size())
            continue;
        Row &row = report.rows[static_cast<size_t>(it.seat)];
        row.incarnation = it.incarnation;
        row.heardAt = receivedAt - minElapsed(it.lastHeardAge);
    }
}

void LapseDetector::dropReport(SeatId from)
{
    m_reports[static_cast<size_t>(from)] = Report{};
}

std::vector<LapseDetector::SilentInterval>
LapseDetector::silentIntervals(SeatId seat, Duration span, Instant after) const
{
    const auto index = static_cast<size_t>(seat);
    std::vector<SilentInterval> found;
    for (size_t n = 0; n < m_reports.size(); ++n) {
        const Report &report = m_reports[n];
        if (n == index || report.rows.empty() || report.sentAt <= after)
            continue;
        const auto heardAt = report.rows[index].heardAt;
        if (heardAt && report.sentAt - *heardAt > span)
            found.push_back({*heardAt, report.sentAt});
    }
    return found;
}

std::optional<Instant> LapseDetector::findLapse(SeatId seat, int32_t majority, Duration span,
                                                Instant after) const
{
    std::vector<SilentInterval> found = silentIntervals(seat, span, after);
    if (static_cast<int32_t>(found.size()) < majority)
        return std::nullopt;
    std::sort(found.begin(), found.end(),
              [](const SilentInterval &a, const SilentInterval &b) { return a.from < b.from; });
    // The time common to the first n intervals begins at the start of the n-th. Of these n, the
    // `majority` intervals that end last give the longest common one.
    std::vector<Instant> ends;
    for (const SilentInterval &it : found) {
        ends.push_back(it.to);
        if (static_cast<int32_t>(ends.size()) < majority)
            continue;
        std::sort(ends.begin(), ends.end(), std::greater<>());
        const Instant end = ends[static_cast<size_t>(majority) - 1];
        if (end - it.from > span)
            return end;
    }
    return std::nullopt;
}

int32_t LapseDetector::countSeatsKnowing(SeatId seat, uint64_t incarnation) const
{
    const auto index = static_cast<size_t>(seat);
    int32_t count = 0;
    for (size_t n = 0; n < m_reports.size(); ++n) {
        const auto &rows = m_reports[n].rows;
        if (n != index && !rows.empty() && rows[index].incarnation >= incarnation)
            ++count;
    }
    return count;
}

} // namespace cardamompaddle::internal
