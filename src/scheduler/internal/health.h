// Detection and quarantine of workers on which every task fails.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cardamompaddle::sched {

// Health of one worker. To tell a faulty worker from faulty jobs, the worker is quarantined only
// after consecutive failures of QuarantineThreshold different jobs; the caller does not report
// failures of jobs that have failed elsewhere. After a quarantine the worker is on probation: one
// probe task at a time, whose success ends the quarantine and whose failure starts one of twice the
// length. Not thread-safe.
class Health
{
public:
    static constexpr size_t QuarantineThreshold = 5;
    static constexpr Duration InitialQuarantine{30'000};
    static constexpr Duration MaxQuarantine{600'000};

    // Records that a task of this job failed here or that its start was refused. Returns true if
    // this starts a quarantine.
    bool recordFailure(uint64_t job, bool probe, Instant now);
    void recordSuccess(bool probe);

    // Whether one more task may start: always if healthy, never during a quarantine, one at a time
    // on probation.
    bool mayStart(Instant now) const;
    bool onProbation(Instant now) const { return m_quarantineEnd && now >= *m_quarantineEnd; }
    // A probe was started on probation, or ended without telling whether the worker is healthy.
    void probeStarted() { m_probeRunning = true; }
    void probeWithdrawn() { m_probeRunning = false; }

    // End of the quarantine; empty if healthy. Remains set during probation.
    std::optional<Instant> quarantinedUntil() const { return m_quarantineEnd; }
    // Jobs whose failures led to the quarantine.
    const std::vector<uint64_t> &failedJobs() const { return m_failedJobs; }

private:
    bool quarantine(Instant now);

    std::vector<uint64_t> m_failedJobs; // distinct serials, since the last success
    std::optional<Instant> m_quarantineEnd;
    Duration m_quarantineLength{0};
    bool m_probeRunning = false;
};

} // namespace cardamompaddle::sched
