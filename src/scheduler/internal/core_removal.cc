// Removal of running tasks: checkpoints and stops, in bounded batches.
#include "scheduler/internal/core.h"

#include <algorithm>

namespace cardamompaddle::sched {
namespace {

// A stop is resent after this time if the end of the task has not been reported.
constexpr Duration StopRetryInterval{5'000};

std::string_view reasonText(RemovalReason reason)
{
    switch (reason) {
    case RemovalReason::Cancelled:
        return "cancelled";
    case RemovalReason::JobEnded:
        return "the job has ended";
    case RemovalReason::Preempted:
        return "preempted by work of higher urgency";
    case RemovalReason::ZoneOut:
        return "availability zone is out";
    case RemovalReason::Leaving:
        return "the worker is leaving";
    case RemovalReason::ResourcePressure:
        return "the worker's measured usage is near its capacity";
    case RemovalReason::AboveTeamLimit:
        return "the team is above its limit";
    case RemovalReason::None:
        break;
    }
    return "";
}

Decision decisionFor(const Attempt &attempt, DecisionKind kind)
{
    Decision decision;
    decision.kind = kind;
    decision.worker = attempt.worker->info.id;
    decision.target = {{attempt.job->item.spec.key, attempt.index}, attempt.number};
    decision.reason = reasonText(attempt.reason);
    return decision;
}

bool isRemovalScheduled(const Attempt &attempt)
{
    return attempt.removal != RemovalStage::None;
}

} // namespace

// Schedules a stop of the attempt after `delay`, preceded by a checkpoint if `checkpoint` is set,
// except for requests and non-repeatable tasks. A pending removal that is due no later is kept.
void Core::requestRemoval(Attempt &attempt, RemovalReason reason, Duration delay, bool checkpoint)
{
    if (attempt.uncertain || attempt.removal == RemovalStage::StopSent)
        return;
    const Instant due = m_now + delay;
    if (isRemovalScheduled(attempt) && attempt.removalDue <= due)
        return;
    attempt.reason = reason;
    const bool ask = checkpoint && attempt.repeatable && !attempt.request;
    const Duration grace = std::min(delay, m_options.checkpointGrace);
    if (ask)
        scheduleRemoval(attempt, RemovalStage::CheckpointDue, due - grace);
    else
        scheduleRemoval(attempt, RemovalStage::StopDue, due);
}

void Core::scheduleRemoval(Attempt &attempt, RemovalStage step, Instant due)
{
    if (isRemovalScheduled(attempt))
        m_removals.erase({attempt.removalDue, attempt.removalOrder, &attempt});
    adjustUsage(attempt, -1);
    attempt.removal = step;
    adjustUsage(attempt, 1);
    attempt.removalDue = due;
    attempt.removalOrder = ++m_serial;
    m_removals.emplace(due, attempt.removalOrder, &attempt);
}

void Core::cancelRemoval(Attempt &attempt)
{
    if (!isRemovalScheduled(attempt))
        return;
    m_removals.erase({attempt.removalDue, attempt.removalOrder, &attempt});
    adjustUsage(attempt, -1);
    attempt.removal = RemovalStage::None;
    adjustUsage(attempt, 1);
    attempt.reason = RemovalReason::None;
    attempt.preemptorSerial = 0;
}

// Whether the removal is still needed. That of a preemption victim is not once the preempting job
// has ended or no longer has a reservation on the worker.
bool Core::isRemovalNeeded(const Attempt &attempt) const
{
    if (attempt.reason != RemovalReason::Preempted)
        return true;
    const auto it = m_jobsBySerial.find(attempt.preemptorSerial);
    if (it == m_jobsBySerial.end())
        return false;
    const std::vector<Reservation> &reservations = it->second->reservations;
    return std::any_of(
        reservations.begin(), reservations.end(),
        [&](const Reservation &reservation) { return reservation.worker == attempt.worker; });
}

void Core::processRemovals(std::vector<Decision> &out, int max)
{
    while (m_removalStepsLeft > 0 && static_cast<int>(out.size()) < max && !m_removals.empty()
           && std::get<0>(*m_removals.begin()) <= m_now) {
        Attempt &attempt = *std::get<2>(*m_removals.begin());
        if (attempt.removal != RemovalStage::StopSent && !isRemovalNeeded(attempt)) {
            cancelRemoval(attempt);
            continue;
        }
        --m_removalStepsLeft;
        if (attempt.removal == RemovalStage::CheckpointDue) {
            out.push_back(decisionFor(attempt, DecisionKind::Checkpoint));
            scheduleRemoval(attempt, RemovalStage::StopDue, m_now + m_options.checkpointGrace);
        } else {
            out.push_back(decisionFor(attempt, DecisionKind::Stop));
            scheduleRemoval(attempt, RemovalStage::StopSent, m_now + StopRetryInterval);
        }
    }
}

// Removes the tasks of a worker: services after the checkpoint grace, other tasks after the pool's
// zoneDrain time. Requests and non-repeatable tasks run to their end.
void Core::drain(Worker &worker, RemovalReason reason)
{
    for (Attempt *it : worker.attempts) {
        if (!it->repeatable || it->request)
            continue;
        const bool service = it->job->submitted && it->job->item.spec.kind == WorkKind::Service;
        requestRemoval(*it, reason, service ? m_options.checkpointGrace : m_pool.zoneDrain, true);
    }
}

void Core::undrain(Worker &worker, RemovalReason reason)
{
    for (Attempt *it : worker.attempts) {
        if (it->reason == reason && it->removal != RemovalStage::StopSent)
            cancelRemoval(*it);
    }
}

void Core::setZonesOut(const std::set<std::string> &names, Instant now)
{
    m_now = now;
    const std::vector<int> changed = m_zones.setOut(names, now);
    if (changed.empty())
        return;
    m_queue.clearCapacityCache();
    for (auto &[id, worker] : m_workers) {
        if (std::find(changed.begin(), changed.end(), worker->zone) == changed.end())
            continue;
        worker->zoneOut = m_zones.isOut(worker->zone);
        if (worker->zoneOut) {
            releaseReservationsOn(*worker);
            drain(*worker, RemovalReason::ZoneOut);
        } else {
            undrain(*worker, RemovalReason::ZoneOut);
        }
        updateIndexEntry(*worker);
    }
}

void Core::stopTeamExcess(const std::string &team, int32_t count, Instant now)
{
    m_now = now;
    std::vector<Attempt *> candidates;
    for (auto &[id, worker] : m_workers) {
        for (Attempt *it : worker->attempts) {
            if (it->job->team->name != team || it->uncertain)
                continue;
            if (it->removal != RemovalStage::None)
                --count; // already being removed
            else if (it->repeatable && !it->request)
                candidates.push_back(it);
        }
    }
    const auto cheaper = [](const Attempt *a, const Attempt *b) {
        return std::tie(a->urgency, b->progressSince, a->job->item.spec.key, a->index)
               < std::tie(b->urgency, a->progressSince, b->job->item.spec.key, b->index);
    };
    std::sort(candidates.begin(), candidates.end(), cheaper);
    for (Attempt *it : candidates) {
        if (count-- <= 0)
            return;
        requestRemoval(*it, RemovalReason::AboveTeamLimit, m_options.checkpointGrace, true);
    }
}

} // namespace cardamompaddle::sched
