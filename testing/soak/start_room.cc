#include "start_room.h"

#include <algorithm>

namespace cardamompaddle::soak {

FleetRoom::FleetRoom(const emulator::PlatformEmulator &platform,
                     const std::map<std::string, int> &runningByWorker)
    : m_platform(platform),
      m_placesPerWorker(static_cast<int>(
          std::min(emulator::PlatformEmulatorOptions{}.workerCpuMilli / TaskCpuMilli,
                   emulator::PlatformEmulatorOptions{}.workerMemoryMb / TaskMemoryMb))),
      m_poolSize(platform.workerIds().size())
{
    for (const std::string &it : platform.workerIds()) {
        if (platform.isUp(it) && !platform.drainingSince(it))
            m_workers.push_back(it);
    }
    for (const auto &[worker, n] : runningByWorker) {
        m_runningOn[worker.substr(0, worker.find('/'))] += n;
        m_running += n;
    }
}

bool FleetRoom::isHalfFree(int limitTasks) const
{
    return 2 * m_running < m_placesPerWorker * static_cast<int>(m_poolSize)
           && (limitTasks == 0 || 2 * m_running < limitTasks);
}

StartRoom FleetRoom::roomFor(const std::string &step, int maxPerWorker)
{
    if (needsApproval(step.substr(0, step.find('.'))))
        return count(step, maxPerWorker, true);
    const auto known = m_unrestricted.find(maxPerWorker);
    if (known != m_unrestricted.end())
        return known->second;
    return m_unrestricted[maxPerWorker] = count(step, maxPerWorker, false);
}

StartRoom FleetRoom::count(const std::string &step, int maxPerWorker, bool restricted) const
{
    StartRoom out;
    for (const std::string &it : m_workers) {
        if (restricted && !m_platform.policyApproves(step, it))
            continue;
        const auto running = m_runningOn.find(it);
        const int places = m_placesPerWorker - (running == m_runningOn.end() ? 0 : running->second);
        ++out.workers;
        out.freePlaces += maxPerWorker > 0 ? std::min(places, maxPerWorker) : places;
    }
    return out;
}

} // namespace cardamompaddle::soak
