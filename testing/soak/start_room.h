// The room that a fleet has for ready steps at one moment.
//
// No I/O and no clock.
#pragma once

#include "oracle.h"
#include "platform_emulator.h"

#include <map>
#include <string>
#include <vector>

namespace cardamompaddle::soak {

class FleetRoom
{
public:
    // `runningByWorker` has the number of tasks by "ID/LIFE" of their worker.
    FleetRoom(const emulator::PlatformEmulator &platform,
              const std::map<std::string, int> &runningByWorker);

    // Whether less than half of the pool, and of the client account's limit, is in use.
    // `limitTasks` is the account's limit in tasks; 0: none.
    bool isHalfFree(int limitTasks) const;
    // Workers that leave have no room.
    StartRoom roomFor(const std::string &step, int maxPerWorker);

private:
    StartRoom count(const std::string &step, int maxPerWorker, bool restricted) const;

    const emulator::PlatformEmulator &m_platform;
    int m_placesPerWorker;
    size_t m_poolSize; // with the workers that are down
    std::vector<std::string> m_workers; // that take new work
    std::map<std::string, int> m_runningOn; // by id of the worker
    int m_running = 0;
    std::map<int, StartRoom> m_unrestricted; // by the number of tasks on one worker
};

} // namespace cardamompaddle::soak
