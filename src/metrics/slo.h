// Service-level objectives: the fraction of a route's work that must start in time, and the rate at
// which the error budget (the fraction that may be late) is used.
//
// Burn rate = (late fraction in the window) / (allowed late fraction). At 1 the budget is used up
// exactly at the rate that the objective allows. An alert requires a high burn rate in two windows:
// the short one ends the alert soon after the cause is gone, the long one ignores short
// disturbances.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "config/tables.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle {

inline constexpr Duration SloShortWindow{300'000};
inline constexpr Duration SloLongWindow{3'600'000};
// Burn rates that raise an alert. With a budget for 30 days, a burn rate of 14.4 uses 2% of it in
// one hour, and a burn rate of 6 uses 5% in six hours.
inline constexpr double SloShortThreshold = 14.4;
inline constexpr double SloLongThreshold = 6;

struct SloCounts
{
    int64_t good = 0; // started in time
    int64_t total = 0; // started, or ended without a start
    friend bool operator==(const SloCounts &, const SloCounts &) = default;
};

// Counts of one route for both windows, each of which ends at the time of the query.
struct SloRow
{
    std::string route;
    Objective objective;
    SloCounts shortWindow;
    SloCounts longWindow;

    double shortBurn() const;
    double longBurn() const;
    // True if both windows exceed their thresholds.
    bool alerting() const;
    friend bool operator==(const SloRow &, const SloRow &) = default;
};

// Burn rate of `counts`, or 0 if no work was counted. An objective of 100% is given a budget of one
// millionth, which avoids a division by zero.
double burnRate(const SloCounts &counts, const Objective &objective);

// Counts starts per route in time buckets. Not thread-safe; used by the control thread only.
class SloTracker
{
public:
    // Replaces the objectives by those of `routes`. Routes without an objective are not tracked. A
    // route keeps its counts unless the `wait` of its objective changed, because past starts were
    // classified by the previous `wait`.
    void setRoutes(const std::map<std::string, RouteSpec> &routes);
    // Records that work of `route` started after waiting for `wait`.
    void recordStart(std::string_view route, Duration wait, Instant now);
    // Records that work of `route` ended without a start for a reason other than its caller's
    // action, for example at its deadline.
    void recordMissedStart(std::string_view route, Instant now);
    // Returns one row for each route with an objective, ordered by name.
    std::vector<SloRow> rows(Instant now) const;

private:
    static constexpr Duration BucketLength{10'000};
    static constexpr size_t BucketCount = SloLongWindow / BucketLength;

    struct Bucket
    {
        // Start time in units of BucketLength since the clock's epoch; -1 while unused.
        int64_t number = -1;
        SloCounts counts;
    };
    struct RouteHistory
    {
        Objective objective;
        std::array<Bucket, BucketCount> buckets; // ring, indexed by number modulo BucketCount
    };

    void record(std::string_view route, Duration wait, bool hasStarted, Instant now);
    static SloCounts sumWindow(const RouteHistory &history, Duration window, Instant now);

    std::map<std::string, RouteHistory, std::less<>> m_histories;
};

// Sums the counts of several instances by route and objective, ordered by route. While instances
// still have different versions of an objective, a route has one row for each version.
std::vector<SloRow> mergeSloRows(const std::vector<SloRow> &rows);

// Returns a JSON array with one object for each row. Fields: route, target_percent, wait_ms,
// good_5m, total_5m, burn_5m, good_1h, total_1h, burn_1h, alert.
std::string formatSloRows(const std::vector<SloRow> &rows);
// Parses the output of formatSloRows. Burn rates and the alert are recomputed from the counts
// rather than read. Errors: InvalidArgument.
Result<std::vector<SloRow>> parseSloRows(std::string_view json);

} // namespace cardamompaddle
