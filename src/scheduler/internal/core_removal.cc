// Removal of running tasks: checkpoint, then stop, in bounded batches.
#include "scheduler/internal/core.h"

#include <algorithm>

namespace cardamompaddle::sched {
namespace {

// A stop whose effect is not seen is sent again after this time.
constexpr Duration StopRepeat{5'000};

std::string_view reasonText(RemovalReason reason)
{
    switch (reason) {
    case RemovalReason::Cancelled:
        return "cancelled";
    case RemovalReason::JobEnded:
        return "the job has ended";
    case RemovalReason::Preempted:
        return "makes room for work of higher urgency";
    case RemovalReason::ZoneOut:
        return "availability zone is out";
    case RemovalReason::Leaving:
        return "the worker is leaving";
    case RemovalReason::Pressure:
        return "the worker's measured usage is near its capacity";
    case RemovalReason::Shed:
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

bool isScheduled(const Attempt &attempt)
{
    return attempt.removal != Removal::None;
}

} // namespace

// Asks for a checkpoint (if `checkpoint`) and a stop `delay` later; an earlier request that is more
// urgent stays in force.
void Core::requestRemoval(Attempt &attempt, RemovalReason reason, Duration delay, bool checkpoint)
{
    if (attempt.uncertain || attempt.removal == Removal::StopSent)
        return;
    const Instant due = m_now + delay;
    if (isScheduled(attempt) && attempt.removalDue <= due)
        return;
    attempt.reason = reason;
    const bool ask = checkpoint && attempt.repeatable && !attempt.request;
    const Duration grace = std::min(delay, m_options.checkpointGrace);
    if (ask)
        schedule(attempt, Removal::CheckpointDue, due - grace);
    else
        schedule(attempt, Removal::StopDue, due);
}

void Core::schedule(Attempt &attempt, Removal step, Instant due)
{
    if (isScheduled(attempt))
        m_removals.erase({attempt.removalDue, attempt.removalOrder, &attempt});
    account(attempt, -1);
    attempt.removal = step;
    account(attempt, 1);
    attempt.removalDue = due;
    attempt.removalOrder = ++m_serial;
    m_removals.emplace(due, attempt.removalOrder, &attempt);
}

void Core::cancelRemoval(Attempt &attempt)
{
    if (!isScheduled(attempt))
        return;
    m_removals.erase({attempt.removalDue, attempt.removalOrder, &attempt});
    account(attempt, -1);
    attempt.removal = Removal::None;
    account(attempt, 1);
    attempt.reason = RemovalReason::None;
    attempt.displacedFor = 0;
}

// A victim is spared if the work it made room for has gone or has started elsewhere.
bool Core::stillWanted(const Attempt &attempt) const
{
    if (attempt.reason != RemovalReason::Preempted)
        return true;
    const auto it = m_bySerial.find(attempt.displacedFor);
    if (it == m_bySerial.end())
        return false;
    const std::vector<Hold> &holds = it->second->holds;
    return std::any_of(holds.begin(), holds.end(),
                       [&](const Hold &hold) { return hold.worker == attempt.worker; });
}

void Core::stepRemovals(std::vector<Decision> &out, int max)
{
    while (m_stopsLeft > 0 && static_cast<int>(out.size()) < max && !m_removals.empty()
           && std::get<0>(*m_removals.begin()) <= m_now) {
        Attempt &attempt = *std::get<2>(*m_removals.begin());
        if (attempt.removal != Removal::StopSent && !stillWanted(attempt)) {
            cancelRemoval(attempt);
            continue;
        }
        --m_stopsLeft;
        if (attempt.removal == Removal::CheckpointDue) {
            out.push_back(decisionFor(attempt, DecisionKind::Checkpoint));
            schedule(attempt, Removal::StopDue, m_now + m_options.checkpointGrace);
        } else {
            out.push_back(decisionFor(attempt, DecisionKind::Stop));
            schedule(attempt, Removal::StopSent, m_now + StopRepeat);
        }
    }
}

// Services move at once; other work may go on for the pool's drain time. Requests and work that may
// not be repeated finish where they are.
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
        if (it->reason == reason && it->removal != Removal::StopSent)
            cancelRemoval(*it);
    }
}

void Core::setZonesOut(const std::set<std::string> &names, Instant now)
{
    m_now = now;
    const std::vector<int> changed = m_zones.setOut(names, now);
    if (changed.empty())
        return;
    m_queue.forgetRoom();
    for (auto &[id, worker] : m_workers) {
        if (std::find(changed.begin(), changed.end(), worker->zone) == changed.end())
            continue;
        worker->zoneOut = m_zones.isOut(worker->zone);
        if (worker->zoneOut) {
            releaseHoldsOn(*worker);
            drain(*worker, RemovalReason::ZoneOut);
        } else {
            undrain(*worker, RemovalReason::ZoneOut);
        }
        refile(*worker);
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
            if (it->removal != Removal::None)
                --count; // goes already
            else if (it->repeatable && !it->request)
                candidates.push_back(it);
        }
    }
    const auto cheaper = [](const Attempt *a, const Attempt *b) {
        return std::tie(a->urgency, b->progressFrom, a->job->item.spec.key, a->index)
               < std::tie(b->urgency, a->progressFrom, b->job->item.spec.key, b->index);
    };
    std::sort(candidates.begin(), candidates.end(), cheaper);
    for (Attempt *it : candidates) {
        if (count-- <= 0)
            return;
        requestRemoval(*it, RemovalReason::Shed, m_options.checkpointGrace, true);
    }
}

} // namespace cardamompaddle::sched
