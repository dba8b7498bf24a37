#include "node/request_table.h"

#include "base/invariant.h"

#include <utility>

namespace cardamompaddle {
namespace {

RequestAnswer errorAnswer(ErrorCode code, std::string reason, Executed executed)
{
    RequestAnswer answer;
    answer.error = {code, std::move(reason)};
    answer.executed = executed;
    return answer;
}

size_t bytesOf(const JobSpec &spec, const RequestAnswer &answer)
{
    return spec.payload.size() + answer.output.size() + 256;
}

} // namespace

RequestTable::Admission RequestTable::admit(const JobSpec &spec, Instant deadline, RequestDone done,
                                            Instant now)
{
    if (const auto it = m_pending.find(spec.key); it != m_pending.end()) {
        if (it->second.spec != spec) {
            done(errorAnswer(ErrorCode::Conflict, "another request with this id is running",
                             Executed::No),
                 now);
            return Admission::Conflict;
        }
        it->second.waiters.push_back(std::move(done));
        return Admission::Joined;
    }
    if (const auto it = m_answered.find(spec.key); it != m_answered.end()) {
        const bool same = it->second.spec == spec;
        done(same ? it->second.answer
                  : errorAnswer(ErrorCode::Conflict, "another request with this id has run",
                                Executed::No),
             now);
        return same ? Admission::Answered : Admission::Conflict;
    }
    m_pending[spec.key] = {spec, deadline, 0, {}, {std::move(done)}};
    return Admission::New;
}

void RequestTable::started(const JobKey &key, const std::string &worker)
{
    const auto it = m_pending.find(key);
    if (it == m_pending.end())
        return;
    invariant(it->second.spec.repeatable || it->second.starts == 0,
              "I8 a request that may not be repeated runs at most once", key.toString());
    ++it->second.starts;
    it->second.worker = worker;
}

void RequestTable::adopted(const JobKey &key)
{
    const auto it = m_pending.find(key);
    if (it != m_pending.end())
        ++it->second.starts;
}

size_t RequestTable::waiterCount(const JobKey &key) const
{
    const auto it = m_pending.find(key);
    return it == m_pending.end() ? 0 : it->second.waiters.size();
}

void RequestTable::startRefused(const JobKey &key)
{
    const auto it = m_pending.find(key);
    if (it == m_pending.end())
        return;
    invariant(it->second.starts > 0, "only a start that was sent is refused", key.toString());
    --it->second.starts;
}

void RequestTable::finish(const JobKey &key, RequestAnswer answer, Instant now)
{
    const auto it = m_pending.find(key);
    if (it == m_pending.end())
        return;
    Pending pending = std::move(it->second);
    m_pending.erase(it);
    invariant(answer.ok || answer.executed == Executed::Unknown || pending.starts == 0,
              "I7 a request that is answered as not executed has not run", key.toString());
    if (answer.ok)
        answer.worker = pending.worker;
    if (answer.ok || answer.executed == Executed::Unknown) {
        m_answerBytes += bytesOf(pending.spec, answer);
        ++m_answersByTeam[key.team];
        m_answerOrder.emplace_back(now, key);
        m_answered[key] = {pending.spec, answer, now};
        if (m_answersByTeam[key.team] > MaxAnswersPerTeam || m_answerBytes > MaxAnswerBytes)
            evictOldest();
    }
    for (const RequestDone &done : pending.waiters)
        done(answer, now);
}

void RequestTable::refuse(const JobKey &key, const Error &error, Instant now)
{
    finish(key, errorAnswer(error.code, error.reason, Executed::No), now);
}

std::vector<JobKey> RequestTable::overdue(Instant now) const
{
    std::vector<JobKey> out;
    for (const auto &[key, pending] : m_pending) {
        if (now >= pending.deadline)
            out.push_back(key);
    }
    return out;
}

std::vector<JobKey> RequestTable::pendingKeys() const
{
    std::vector<JobKey> out;
    for (const auto &[key, pending] : m_pending)
        out.push_back(key);
    return out;
}

bool RequestTable::mayHaveRun(const JobKey &key) const
{
    const auto it = m_pending.find(key);
    return it != m_pending.end() && it->second.starts > 0;
}

std::string RequestTable::routeOf(const JobKey &key) const
{
    const auto it = m_pending.find(key);
    return it == m_pending.end() ? std::string() : it->second.spec.route;
}

void RequestTable::evictOldest()
{
    const JobKey key = m_answerOrder.front().second;
    m_answerOrder.pop_front();
    const auto it = m_answered.find(key);
    m_answerBytes -= bytesOf(it->second.spec, it->second.answer);
    --m_answersByTeam[key.team];
    m_answered.erase(it);
}

void RequestTable::expire(Instant now)
{
    while (!m_answerOrder.empty() && now - m_answerOrder.front().first > AnswerRetention)
        evictOldest();
}

} // namespace cardamompaddle
