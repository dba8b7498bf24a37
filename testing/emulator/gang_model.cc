#include "gang_model.h"

#include "policy_model.h"

namespace cardamompaddle::emulator {

void GangModel::join(const std::string &task, int64_t run, int size, Instant now)
{
    GangRun &gang = m_runs[{stepOf(task), run}];
    gang.present.insert(task);
    if (!gang.completeAt && gang.present.size() >= static_cast<size_t>(size))
        gang.completeAt = now;
}

void GangModel::leave(const std::string &task, int64_t run, bool done)
{
    const auto it = m_runs.find({stepOf(task), run});
    if (it == m_runs.end() || it->second.present.erase(task) == 0)
        return;
    if (it->second.outcome == GangOutcome::Open)
        it->second.outcome = done ? GangOutcome::Done : GangOutcome::Broken;
    if (it->second.present.empty())
        m_runs.erase(it);
}

const GangRun *GangModel::find(const std::string &task, int64_t run) const
{
    const auto it = m_runs.find({stepOf(task), run});
    return it != m_runs.end() && it->second.present.contains(task) ? &it->second : nullptr;
}

} // namespace cardamompaddle::emulator
