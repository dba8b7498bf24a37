#include "policy_model.h"

#include "base/hash.h"

#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

namespace cardamompaddle::emulator {

namespace {

constexpr std::string_view TicketPrefix = "ticket-";

} // namespace

std::string stepOf(const std::string &task)
{
    return task.substr(0, task.rfind('.'));
}

PolicyModel::PolicyModel(PolicyOptions options, uint64_t seed, LifeOf lifeOf)
    : m_options(options), m_seed(seed), m_lifeOf(std::move(lifeOf))
{ }

bool PolicyModel::approves(const std::string &step, const std::string &worker, int life) const
{
    if (life <= 0)
        return false;
    const uint64_t hash = stableHash(step + "/" + worker + "/" + std::to_string(life), m_seed);
    const double position =
        static_cast<double>(hash) / static_cast<double>(std::numeric_limits<uint64_t>::max());
    return m_options.approvedShare >= 1 || position < m_options.approvedShare;
}

bool PolicyModel::accepts(const std::string &ticket, const std::string &task,
                          const std::string &worker, int life, Instant now) const
{
    if (!ticket.starts_with(TicketPrefix))
        return false;
    int64_t number = 0;
    std::from_chars(ticket.data() + TicketPrefix.size(), ticket.data() + ticket.size(), number);
    const auto it = m_tickets.find(number);
    return it != m_tickets.end() && it->second.step == stepOf(task) && it->second.worker == worker
           && it->second.life == life && now <= it->second.validUntil;
}

size_t PolicyModel::waitingCalls() const
{
    size_t out = 0;
    for (const auto &[caller, queue] : m_queues)
        out += queue.calls.empty() ? 0 : queue.calls.size() - 1;
    return out;
}

bool PolicyModel::submit(PolicyCall call, Duration extraTime, Instant now)
{
    CallQueue &queue = m_queues[call.caller];
    const bool idle = queue.calls.empty();
    if (!idle && waitingCalls() >= MaxWaitingCalls)
        return false;
    const auto workers = static_cast<double>(call.workers.size());
    const Duration handlingTime = m_options.decisionTime
                                  + Duration(std::llround(m_options.perWorkerMs * workers))
                                  + extraTime;
    queue.calls.push_back({std::move(call), handlingTime});
    if (idle)
        queue.firstDoneAt = now + handlingTime;
    return true;
}

std::vector<PolicyAnswer> PolicyModel::advance(Instant now)
{
    std::vector<PolicyAnswer> out;
    for (auto &[caller, queue] : m_queues) {
        while (!queue.calls.empty() && queue.firstDoneAt <= now) {
            out.push_back(answer(queue.calls.front().call, now));
            queue.calls.pop_front();
            if (!queue.calls.empty())
                queue.firstDoneAt += queue.calls.front().handlingTime;
        }
    }
    return out;
}

PolicyAnswer PolicyModel::answer(const PolicyCall &call, Instant now)
{
    PolicyAnswer out;
    out.call = call.number;
    for (const std::string &worker : call.workers) {
        const int life = m_lifeOf(worker);
        if (approves(call.step, worker, life))
            out.grants.push_back({worker, issueTicket(call.step, worker, life, now)});
    }
    return out;
}

std::string PolicyModel::issueTicket(const std::string &step, const std::string &worker, int life,
                                     Instant now)
{
    while (!m_tickets.empty() && m_tickets.begin()->second.validUntil < now)
        m_tickets.erase(m_tickets.begin());
    const int64_t number = m_nextTicket++;
    m_tickets[number] = {step, worker, life, now + m_options.validity};
    return std::string(TicketPrefix) + std::to_string(number);
}

} // namespace cardamompaddle::emulator
