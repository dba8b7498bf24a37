// Decides which instance should hold the scheduler's tenure: how long an instance waits before it
// claims the tenure, and to which instances a holder may hand it over.
//
// Instances with a larger processor are preferred, because the scheduler's work may be too much for
// the smaller machines. Does no I/O and reads no clock.
#pragma once

#include "base/time.h"
#include "work/gen/work_types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cardamompaddle {

using MemberMap = std::map<std::string, work::Member>; // by name

// How long the scheduler has to be inactive before an instance claims the tenure.
struct ClaimWait
{
    Duration inactivity{0}; // 0 if the tenure is released
    Duration successor{0}; // lets the named successor of a released tenure claim it first
    Duration processor{0}; // lets instances with a larger processor claim first
    Duration rank{0}; // staggers the instances with the same processor

    Duration total() const { return inactivity + successor + processor + rank; }
    // Returns "processor_delay_ms=... rank_delay_ms=... successor_delay_ms=...".
    std::string toString() const;
};

// `hasHeldTenure` tells whether this process, and not only an earlier one with the same name and
// address, has held the tenure. Members that no longer exist may be in `members`.
ClaimWait claimWait(const work::Member &self, bool hasHeldTenure, const MemberMap &members,
                    const work::Tenure &tenure);

// Returns the instances to which an overloaded holder may hand the tenure over, the preferred one
// first; none if it should keep the tenure. `sinceHandOver` is the time since any holder was
// overloaded. `seed` varies the choice among equal instances.
std::vector<work::Member> handOverCandidates(const work::Member &self, const MemberMap &members,
                                             Duration sinceHandOver, uint64_t seed);

// Returns the instances to which a stopping holder may release the tenure, the preferred one first.
std::vector<work::Member> stopCandidates(const work::Member &self, const MemberMap &members,
                                         uint64_t seed);

} // namespace cardamompaddle
