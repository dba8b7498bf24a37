// A model of the gangs that run: which members of a run are present at any worker, and how the run
// ends for all of them.
//
// No I/O; the present time is an argument.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace cardamompaddle::emulator {

enum class GangOutcome {
    Open, // no member has ended
    Done, // a member has ended its work, which is the end of all
    Broken, // a member has ended in another way
};

// One run of a gang.
struct GangRun
{
    std::set<std::string> present; // tasks
    std::optional<Instant> completeAt; // since when all members are present
    GangOutcome outcome = GangOutcome::Open;
};

class GangModel
{
public:
    // A member has started. `size` is the number of members of the gang.
    void join(const std::string &task, int64_t run, int size, Instant now);
    // A member has ended; `done`: because its work is done.
    void leave(const std::string &task, int64_t run, bool done);
    // Returns the run of which the present task is a member, or null.
    const GangRun *find(const std::string &task, int64_t run) const;

private:
    using Key = std::pair<std::string, int64_t>; // step and run
    std::map<Key, GangRun> m_runs;
};

} // namespace cardamompaddle::emulator
