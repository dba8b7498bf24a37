#include "node/metrics_reporter.h"

#include "metrics/names.h"
#include "node/node.h"

#include <algorithm>

namespace cardamompaddle {
namespace {

constexpr Duration ReportInterval{1'000};
constexpr double Million = 1'000'000;

// Increase of a counter since the last update.
double increase(uint64_t value, uint64_t reported)
{
    // The counters of a pool's new owner start at zero.
    return static_cast<double>(value >= reported ? value - reported : value);
}

} // namespace

void MetricsReporter::update(Node &node, Instant now)
{
    if (m_lastUpdate && now - *m_lastUpdate < ReportInterval)
        return;
    m_lastUpdate = now;
    updateState(node, now);
    for (const auto &[pool, owner] : node.owners())
        updatePool(node.metrics(), pool, *owner, now);
    updateShares(node);
    updateObjectives(node, now);
    updateAppends(node.metrics(), "config", node.configService().writerCounters());
    updateAppends(node.metrics(), "jobs", node.jobs().writerCounters());
}

void MetricsReporter::updateState(Node &node, Instant now) const
{
    Registry &metrics = node.metrics();
    const Membership &membership = node.membership();
    metrics.gauge(metric::Quorum).set(membership.hasQuorum(now) ? 1 : 0);
    metrics.gauge(metric::Generation).set(static_cast<double>(membership.tenure().generation));
    metrics.gauge(metric::Synced).set(node.configService().synced() ? 1 : 0);
    metrics.gauge(metric::LogUp).set(node.jobs().logUp() ? 1 : 0);
    metrics.gauge(metric::ConfigVersion).set(static_cast<double>(node.config().version()));
    metrics.gauge(metric::PoolsOwned).set(static_cast<double>(node.owners().size()));
}

void MetricsReporter::updatePool(Registry &metrics, const std::string &pool, const PoolOwner &owner,
                                 Instant now)
{
    const PoolScheduler &scheduler = owner.scheduler();
    double waiting = 0;
    double running = 0;
    for (const QueueRow &row : scheduler.queueRows(now)) {
        waiting += row.waitingTasks;
        running += row.runningTasks;
    }
    metrics.gauge(metric::Queued, {pool}).set(waiting);
    metrics.gauge(metric::Running, {pool}).set(running);

    Resources capacity;
    Resources used;
    std::map<std::string, double> states = {
        {"acquired", 0}, {"pending", 0}, {"leaving", 0}, {"quarantined", 0}};
    for (const WorkerRow &row : scheduler.workerRows(now)) {
        capacity += row.capacity;
        used += row.capacity - row.free;
        const bool quarantined = row.quarantinedUntil && *row.quarantinedUntil > now;
        ++states[row.lost      ? "pending"
                 : row.leaving ? "leaving"
                 : quarantined ? "quarantined"
                               : "acquired"];
    }
    for (const auto &[state, n] : states)
        metrics.gauge(metric::Workers, {pool, state}).set(n);
    metrics.gauge(metric::Packing, {pool})
        .set(static_cast<double>(dominantShareMillionths(used, capacity)) / Million);

    const SchedulerCounters counters = scheduler.counters();
    SchedulerCounters &reported = m_reportedPools[pool];
    metrics.counter(metric::Retries, {pool}).add(increase(counters.retries, reported.retries));
    metrics.counter(metric::Preemptions, {pool})
        .add(increase(counters.preemptions, reported.preemptions));
    reported = counters;
}

void MetricsReporter::updateShares(Node &node) const
{
    // Dominant share in use by team, summed over the pools that this member owns.
    std::map<std::string, double> used;
    double total = 0;
    for (const auto &[pool, owner] : node.owners()) {
        for (const auto &[team, share] : owner->scheduler().localUsage()) {
            used[team] += static_cast<double>(share);
            total += static_cast<double>(share);
        }
    }
    double weights = 0;
    for (const auto &[name, team] : node.config().tables().teams)
        weights += team.share;
    if (total <= 0 || weights <= 0)
        return;
    for (const auto &[name, team] : node.config().tables().teams)
        node.metrics()
            .gauge(metric::ShareDeviation, {name})
            .set(used[name] / total - team.share / weights);
}

void MetricsReporter::updateObjectives(Node &node, Instant now) const
{
    for (const SloRow &row : node.slo().rows(now)) {
        node.metrics().gauge(metric::SloBurn, {row.route, "5m"}).set(row.shortBurn());
        node.metrics().gauge(metric::SloBurn, {row.route, "1h"}).set(row.longBurn());
        node.metrics().gauge(metric::SloAlert, {row.route}).set(row.alerting() ? 1 : 0);
    }
}

void MetricsReporter::updateAppends(Registry &metrics, const std::string &stream,
                                    const LogWriter::Counters &counters)
{
    LogWriter::Counters &reported = m_reportedStreams[stream];
    const auto add = [&](const char *outcome, uint64_t value, uint64_t before) {
        metrics.counter(metric::LogAppends, {stream, outcome}).add(increase(value, before));
    };
    add("confirmed", counters.appended, reported.appended);
    add("lost", counters.lostResponses, reported.lostResponses);
    add("failed", counters.notAppended + counters.unknown, reported.notAppended + reported.unknown);
    reported = counters;
}

} // namespace cardamompaddle
