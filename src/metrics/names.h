// Descriptions of all metrics that an entry instance exposes. docs/OPERATIONS.md documents each of
// them; NamesTest checks that none is missing there.
#pragma once

#include "metrics/registry.h"

#include <array>

namespace cardamompaddle::metric {

// Bucket bounds in seconds, from 1 ms, beyond which a decision is late, to 15 minutes, which a
// large batch run such as invoicing may wait. 1.3 s is the limit for urgent work.
inline constexpr std::array<double, 16> WaitBounds = {
    0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.3, 2.5, 5, 15, 60, 300, 900};
// Bucket bounds in seconds around the target of 1 ms per decision.
inline constexpr std::array<double, 10> DecisionBounds = {0.00001, 0.00005, 0.0001, 0.00025, 0.0005,
                                                          0.001,   0.0025,  0.01,   0.05,    0.25};
// Bucket bounds in bytes, powers of 8 from 64 B to 16 MiB.
inline constexpr std::array<double, 7> SizeBounds = {64,     512,     4096,    32768,
                                                     262144, 2097152, 16777216};

// Requests, jobs and tasks.
inline constexpr HistogramSpec<2> Wait{
    {"cardamompaddle_wait_seconds",
     "Time from acceptance to the first start of a request or task.",
     {"route", "pool"}},
    WaitBounds};
inline constexpr HistogramSpec<1> Payload{
    {"cardamompaddle_payload_bytes", "Size of the payload of accepted work.", {"route"}},
    SizeBounds};
inline constexpr CounterSpec<2> Starts{{"cardamompaddle_starts_total",
                                        "Attempts of tasks and requests sent to workers.",
                                        {"pool", "team"}}};
inline constexpr CounterSpec<2> Ended{
    {"cardamompaddle_ended_total",
     "Attempts that ended, by outcome: succeeded, failed, stopped, lease_lapsed.",
     {"pool", "outcome"}}};
inline constexpr CounterSpec<1> Refused{{"cardamompaddle_refused_total",
                                         "Requests, jobs and commands refused, by error name.",
                                         {"reason"}}};
inline constexpr CounterSpec<0> UnknownOutcomes{
    {"cardamompaddle_unknown_outcomes_total",
     "Responses with executed=unknown: the work may or may not have run.",
     {}}};
inline constexpr CounterSpec<1> Retries{
    {"cardamompaddle_retries_total", "Attempts after the first one of a task.", {"pool"}}};
inline constexpr CounterSpec<1> Preemptions{{"cardamompaddle_preemptions_total",
                                             "Tasks stopped to make room for more urgent work.",
                                             {"pool"}}};
inline constexpr GaugeSpec<1> Running{
    {"cardamompaddle_running", "Tasks and requests that run now.", {"pool"}}};
inline constexpr GaugeSpec<1> Queued{
    {"cardamompaddle_queued", "Tasks and requests that wait now.", {"pool"}}};
inline constexpr GaugeSpec<1> Packing{{"cardamompaddle_packing_ratio",
                                       "Utilization of the pool's most used resource, 0 to 1.",
                                       {"pool"}}};
inline constexpr GaugeSpec<1> ShareDeviation{
    {"cardamompaddle_share_deviation",
     "Team's fraction of the resources in use minus its weighted share, -1 to 1.",
     {"team"}}};

// Workers.
inline constexpr GaugeSpec<2> Workers{
    {"cardamompaddle_workers",
     "Workers of the pool by state: acquired, pending, leaving, quarantined.",
     {"pool", "state"}}};

// Scheduling, membership and configuration.
inline constexpr HistogramSpec<0> Decision{
    {"cardamompaddle_decision_seconds", "CPU time of one scheduling pass.", {}}, DecisionBounds};
inline constexpr CounterSpec<0> ControlCpu{
    {"cardamompaddle_control_cpu_seconds_total", "CPU time of the control thread.", {}}};
inline constexpr CounterSpec<1> PeerBytes{
    {"cardamompaddle_peer_bytes_total",
     "Bytes exchanged with other entry instances, by direction: in, out.",
     {"direction"}}};
inline constexpr CounterSpec<2> LogAppends{
    {"cardamompaddle_log_appends_total",
     "Records appended to the platform's log, by stream and outcome: confirmed, lost, failed.",
     {"stream", "outcome"}}};
inline constexpr GaugeSpec<0> LogUp{
    {"cardamompaddle_log_up", "1 if the last read of the platform's log succeeded.", {}}};
inline constexpr GaugeSpec<0> Quorum{
    {"cardamompaddle_standing", "1 while a majority of seats responds.", {}}};
inline constexpr GaugeSpec<0> Generation{
    {"cardamompaddle_generation", "Number of times this process gained a majority of seats.", {}}};
inline constexpr GaugeSpec<0> Synced{
    {"cardamompaddle_synced", "1 once this instance holds the complete configuration.", {}}};
inline constexpr GaugeSpec<0> ConfigVersion{
    {"cardamompaddle_config_version",
     "Version of the configuration in effect on this instance.",
     {}}};
inline constexpr GaugeSpec<0> PoolsOwned{
    {"cardamompaddle_pools_owned", "Pools that this instance schedules.", {}}};

// Service-level objectives.
inline constexpr GaugeSpec<2> SloBurn{
    {"cardamompaddle_slo_burn_rate",
     "Burn rate of the error budget; 1 uses it up exactly. Windows: 5m, 1h.",
     {"route", "window"}}};
inline constexpr GaugeSpec<1> SloAlert{
    {"cardamompaddle_slo_alert", "1 while both windows exceed their burn thresholds.", {"route"}}};

} // namespace cardamompaddle::metric
