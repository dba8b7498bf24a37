#include "metrics/slo.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cardamompaddle {
namespace {

namespace json = boost::json;

constexpr int64_t Million = 1'000'000;
constexpr double MillionthsPerPercent = 10'000;

// Rounds to three decimals, so that rows of different instances can be compared as text.
double roundToThousandths(double value)
{
    return std::round(value * 1000) / 1000;
}

json::object toJson(const SloRow &row)
{
    return {{"route", row.route},
            {"target_percent", row.objective.targetMillionths / MillionthsPerPercent},
            {"wait_ms", row.objective.wait.count()},
            {"good_5m", row.shortWindow.good},
            {"total_5m", row.shortWindow.total},
            {"burn_5m", roundToThousandths(row.shortBurn())},
            {"good_1h", row.longWindow.good},
            {"total_1h", row.longWindow.total},
            {"burn_1h", roundToThousandths(row.longBurn())},
            {"alert", row.alerting()}};
}

SloRow fromJson(const json::object &it)
{
    const auto number = [&it](const char *name) { return it.at(name).to_number<int64_t>(); };
    SloRow row;
    row.route = json::value_to<std::string>(it.at("route"));
    const double percent = it.at("target_percent").to_number<double>();
    row.objective.targetMillionths =
        static_cast<int32_t>(std::lround(percent * MillionthsPerPercent));
    row.objective.wait = Duration(number("wait_ms"));
    row.shortWindow = {number("good_5m"), number("total_5m")};
    row.longWindow = {number("good_1h"), number("total_1h")};
    return row;
}

} // namespace

double burnRate(const SloCounts &counts, const Objective &objective)
{
    if (counts.total <= 0)
        return 0;
    const int64_t budget = std::max<int64_t>(1, Million - objective.targetMillionths);
    const auto late = static_cast<double>(counts.total - counts.good);
    return late / static_cast<double>(counts.total) * static_cast<double>(Million)
           / static_cast<double>(budget);
}

double SloRow::shortBurn() const
{
    return burnRate(shortWindow, objective);
}

double SloRow::longBurn() const
{
    return burnRate(longWindow, objective);
}

bool SloRow::alerting() const
{
    return shortBurn() > SloShortThreshold && longBurn() > SloLongThreshold;
}

void SloTracker::setRoutes(const std::map<std::string, RouteSpec> &routes)
{
    std::erase_if(m_histories, [&routes](const auto &entry) {
        const auto it = routes.find(entry.first);
        return it == routes.end() || !it->second.objective
               || it->second.objective->wait != entry.second.objective.wait;
    });
    for (const auto &[name, route] : routes) {
        if (route.objective)
            m_histories[name].objective = *route.objective;
    }
}

void SloTracker::recordStart(std::string_view route, Duration wait, Instant now)
{
    record(route, wait, true, now);
}

void SloTracker::recordMissedStart(std::string_view route, Instant now)
{
    record(route, Duration(0), false, now);
}

void SloTracker::record(std::string_view route, Duration wait, bool hasStarted, Instant now)
{
    const auto it = m_histories.find(route);
    if (it == m_histories.end())
        return;
    const int64_t number = now.time_since_epoch() / BucketLength;
    Bucket &bucket = it->second.buckets.at(static_cast<size_t>(number) % BucketCount);
    if (bucket.number != number)
        bucket = {number, {}};
    ++bucket.counts.total;
    if (hasStarted && wait <= it->second.objective.wait)
        ++bucket.counts.good;
}

SloCounts SloTracker::sumWindow(const RouteHistory &history, Duration window, Instant now)
{
    const int64_t last = now.time_since_epoch() / BucketLength;
    const int64_t first = last - window / BucketLength + 1;
    SloCounts out;
    for (const Bucket &it : history.buckets) {
        if (it.number < first || it.number > last || it.number < 0)
            continue;
        out.good += it.counts.good;
        out.total += it.counts.total;
    }
    return out;
}

std::vector<SloRow> SloTracker::rows(Instant now) const
{
    std::vector<SloRow> out;
    for (const auto &[route, history] : m_histories)
        out.push_back({route, history.objective, sumWindow(history, SloShortWindow, now),
                       sumWindow(history, SloLongWindow, now)});
    return out;
}

std::vector<SloRow> mergeSloRows(const std::vector<SloRow> &rows)
{
    std::map<std::tuple<std::string, int32_t, Duration>, SloRow> merged;
    for (const SloRow &it : rows) {
        const auto key = std::tuple(it.route, it.objective.targetMillionths, it.objective.wait);
        SloRow &row = merged.try_emplace(key, SloRow{it.route, it.objective, {}, {}}).first->second;
        row.shortWindow.good += it.shortWindow.good;
        row.shortWindow.total += it.shortWindow.total;
        row.longWindow.good += it.longWindow.good;
        row.longWindow.total += it.longWindow.total;
    }
    std::vector<SloRow> out;
    out.reserve(merged.size());
    for (auto &[key, row] : merged)
        out.push_back(std::move(row));
    return out;
}

std::string formatSloRows(const std::vector<SloRow> &rows)
{
    json::array out;
    for (const SloRow &it : rows)
        out.emplace_back(toJson(it));
    return json::serialize(out);
}

Result<std::vector<SloRow>> parseSloRows(std::string_view text)
{
    try {
        std::vector<SloRow> out;
        const json::value parsed = json::parse({text.data(), text.size()});
        for (const json::value &it : parsed.as_array())
            out.push_back(fromJson(it.as_object()));
        return out;
    } catch (const std::exception &ex) {
        return Error{ErrorCode::InvalidArgument, std::string("malformed SLO rows: ") + ex.what()};
    }
}

} // namespace cardamompaddle
