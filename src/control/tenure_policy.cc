#include "control/tenure_policy.h"

#include "base/hash.h"

#include <algorithm>
#include <functional>
#include <set>
#include <tuple>

namespace cardamompaddle {

namespace {

// A scheduler stores a record several times a second.
constexpr Duration InactivityBeforeClaim{500};
// Before the first tenure, the instances announce their processors within this time.
constexpr Duration FirstClaimDelay{300};
constexpr Duration SuccessorDelay{300};
// For each larger processor among the members, up to MaxLargerProcessors. Longer than the longest
// rank delay, so that all instances with a larger processor claim first.
constexpr Duration ProcessorDelay{250};
constexpr int MaxLargerProcessors = 2;
// Long enough for a claim to be stored before the instance of the next rank reads the log.
constexpr Duration RankDelay{50};
constexpr int MaxRank = 4;

// Handing over to a larger processor can be repeated only until the largest one is reached.
// Between equal ones the tenure could move forever.
constexpr Duration MinIntervalToLarger{5'000};
constexpr Duration MinIntervalToEqual{20'000};
constexpr size_t MaxLargerCandidates = 4;
constexpr size_t MaxEqualCandidates = 2;

// Orders equal instances differently for each seed, and in the same way at all instances.
std::tuple<uint64_t, std::string> rankOrder(const std::string &name, uint64_t seed)
{
    return {stableHash(name, seed), name};
}

int countLargerProcessors(const work::Member &self, const MemberMap &members)
{
    std::set<int64_t> larger;
    for (const auto &[name, member] : members) {
        if (name != self.name && member.cpuMilli > self.cpuMilli)
            larger.insert(member.cpuMilli);
    }
    return static_cast<int>(larger.size());
}

// Returns how many instances with the same processor claim before this one. The last holder goes
// last, as it is gone or gave the tenure up.
int rankAmongEquals(const work::Member &self, const MemberMap &members, const work::Tenure &tenure)
{
    if (self.name == tenure.holder)
        return MaxRank;
    const auto seed = static_cast<uint64_t>(tenure.epoch);
    const auto own = rankOrder(self.name, seed);
    const auto claimsBefore = [&](const auto &it) {
        return it.first != self.name && it.first != tenure.holder
               && it.second.cpuMilli == self.cpuMilli && rankOrder(it.first, seed) < own;
    };
    return static_cast<int>(std::count_if(members.begin(), members.end(), claimsBefore));
}

// Returns at most `limit` members other than `self` that are accepted, those with the largest
// processor first.
std::vector<work::Member> largestMembers(const work::Member &self, const MemberMap &members,
                                         uint64_t seed, size_t limit,
                                         const std::function<bool(const work::Member &)> &accepts)
{
    std::vector<work::Member> out;
    for (const auto &[name, member] : members) {
        if (name != self.name && accepts(member))
            out.push_back(member);
    }
    std::sort(out.begin(), out.end(), [seed](const work::Member &a, const work::Member &b) {
        if (a.cpuMilli != b.cpuMilli)
            return a.cpuMilli > b.cpuMilli;
        return rankOrder(a.name, seed) < rankOrder(b.name, seed);
    });
    out.resize(std::min(out.size(), limit));
    return out;
}

} // namespace

std::string ClaimWait::toString() const
{
    return "processor_delay_ms=" + std::to_string(processor.count())
           + " rank_delay_ms=" + std::to_string(rank.count())
           + " successor_delay_ms=" + std::to_string(successor.count());
}

ClaimWait claimWait(const work::Member &self, bool hasHeldTenure, const MemberMap &members,
                    const work::Tenure &tenure)
{
    ClaimWait out;
    if (tenure.released && tenure.successor == self.name)
        return out;
    out.processor =
        ProcessorDelay * std::min(countLargerProcessors(self, members), MaxLargerProcessors);
    const bool ofEarlierProcess = tenure.epoch > 0 && !tenure.released && !hasHeldTenure
                                  && tenure.holder == self.name && tenure.address == self.address;
    if (ofEarlierProcess)
        return out;
    out.rank = RankDelay * std::min(rankAmongEquals(self, members, tenure), MaxRank);
    if (tenure.epoch == 0)
        out.inactivity = FirstClaimDelay;
    else if (!tenure.released)
        out.inactivity = InactivityBeforeClaim;
    else if (!tenure.successor.empty())
        out.successor = SuccessorDelay;
    return out;
}

std::vector<work::Member> handOverCandidates(const work::Member &self, const MemberMap &members,
                                             Duration sinceHandOver, uint64_t seed)
{
    std::vector<work::Member> out;
    if (sinceHandOver >= MinIntervalToLarger)
        out =
            largestMembers(self, members, seed, MaxLargerCandidates,
                           [&self](const work::Member &it) { return it.cpuMilli > self.cpuMilli; });
    if (sinceHandOver < MinIntervalToEqual)
        return out;
    // Larger instances may all be gone, which their member records do not show.
    const auto equal =
        largestMembers(self, members, seed, MaxEqualCandidates,
                       [&self](const work::Member &it) { return it.cpuMilli == self.cpuMilli; });
    out.insert(out.end(), equal.begin(), equal.end());
    return out;
}

std::vector<work::Member> stopCandidates(const work::Member &self, const MemberMap &members,
                                         uint64_t seed)
{
    return largestMembers(self, members, seed, MaxLargerCandidates + MaxEqualCandidates,
                          [](const work::Member &) { return true; });
}

} // namespace cardamompaddle
