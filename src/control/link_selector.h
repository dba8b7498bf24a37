// Selects the instances that make the scheduler's calls to workers, and which of them calls which
// worker.
//
// Pure: it makes no calls and reads no clock. Not thread-safe.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "work/gen/work_types.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cardamompaddle {

// With at most this many workers the scheduler makes all calls itself.
inline constexpr size_t MaxDirectWorkers = 64;
inline constexpr size_t WorkersPerLink = 48;
// An instance is used only while its last acknowledgement is younger than this.
inline constexpr Duration MaxAcknowledgementAge{1'000};
// An instance whose acknowledgements take longer on average is too slow to be used.
inline constexpr Duration MaxAcknowledgementTime{250};

class LinkSelector
{
public:
    // `self` is the member name of the scheduler's instance, which is never selected.
    explicit LinkSelector(std::string self) : m_self(std::move(self)) { }

    // Sets the instances to select from and the number of workers to call, and selects again.
    void update(const std::map<std::string, work::Member> &members, size_t workers, Instant now);
    // Records that an instance has acknowledged a message after `took`. Returns false if it is too
    // slow to be used; it then counts as failed.
    bool acknowledged(const std::string &name, Duration took, Instant now);
    // Records that an instance did not acknowledge a message or lost calls. It is neither used nor
    // probed for a time, which doubles with each consecutive failure.
    void failed(const std::string &name, Instant now);

    // The instances to probe: those in use, and those to be used once they have acknowledged.
    std::vector<std::string> candidates() const { return m_candidates; }
    const std::vector<std::string> &selected() const { return m_selected; }
    // Returns the instance that makes the calls to a worker; null: the scheduler itself. Valid
    // until the next call of another function. Among the selected instances, the loss of one moves
    // only its own workers.
    const std::string *linkOf(const WorkerId &worker) const;

private:
    struct Candidate
    {
        int64_t cpuMilli = 0;
        Instant acknowledgedAt = Instant::min(); // min(): not since the last failure
        double acknowledgementMs = 0; // as an exponential moving average
        Instant backoffUntil = Instant::min();
        int failures = 0; // consecutive
    };

    bool isUsable(const Candidate &candidate, Instant now) const;
    void select(Instant now);

    std::string m_self;
    size_t m_wanted = 0; // number of instances to select
    std::map<std::string, Candidate> m_all;
    std::vector<std::string> m_candidates;
    std::vector<std::string> m_selected;
};

} // namespace cardamompaddle
