// Chooses the runs to stop so that the waiting tasks of a more urgent step find room on workers.
//
// No I/O. Equal arguments give equal results.
#pragma once

#include "base/resources.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cardamompaddle {

// What client accounts with work use, compared with their weighted shares of the capacity.
class AccountShares
{
public:
    explicit AccountShares(const Resources &capacity) : m_capacity(capacity) { }

    // Adds an account and returns its number. Shares are final once all accounts are added.
    size_t add(double weight, const Resources &use);
    void addUse(size_t account, const Resources &amount) { m_accounts[account].use += amount; }
    void removeUse(size_t account, const Resources &amount) { m_accounts[account].use -= amount; }
    // Returns whether a run of `victim` may be stopped for `account`. An account that is beyond its
    // share, and clearly ahead of the victim's, takes nothing from an account within its share.
    bool mayPreempt(size_t account, size_t victim) const;

private:
    struct Account
    {
        double weight = 1;
        Resources use;
    };

    // Returns the dominant share of an account divided by its weighted share; 1 is exactly fair.
    double relativeUse(size_t account) const;

    Resources m_capacity;
    double m_totalWeight = 0;
    std::vector<Account> m_accounts;
};

struct PreemptibleRun
{
    size_t account = 0; // in AccountShares
    Resources resources;
    int64_t progressMs = 0; // run time that a stop may lose or delay
};

struct PreemptionWorker
{
    Resources room; // free, or about to be; may be negative
    int64_t maxTasks = 0; // that may start there beside those that `room` holds
    std::vector<PreemptibleRun> runs;
};

struct PreemptionRequest
{
    size_t account = 0; // of the step
    // Whether runs of any account may be stopped, as the step has been promised a place however
    // full the pool is.
    bool ignoresShares = false;
    Resources taskResources;
    int64_t tasks = 0; // that lack room
    int64_t maxFreedCpuMilli = 0; // that may be freed
    // Whether one run may exceed maxFreedCpuMilli, so that a pool whose bound is smaller than a run
    // has preemption as well.
    bool mayExceedByOneRun = false;
    std::vector<PreemptionWorker> workers; // on which a task may start
};

struct WorkerPreemption
{
    size_t worker = 0; // index in PreemptionRequest::workers
    int64_t places = 0; // for tasks that fit once the runs have ended
    std::vector<size_t> runs; // indices in PreemptionWorker::runs
};

// Returns the runs to stop, by worker, with the least work disturbed for each place. They may make
// room for fewer tasks than requested.
std::vector<WorkerPreemption> planRoomPreemption(const PreemptionRequest &request,
                                                 AccountShares shares);

} // namespace cardamompaddle
