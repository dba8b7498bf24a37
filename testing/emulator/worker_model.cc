#include "worker_model.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cardamompaddle::emulator {

WorkerModel::WorkerModel(WorkerModelOptions options, Instant now)
    : m_options(std::move(options)), m_bootedAt(now)
{ }

int64_t WorkerModel::clockMs(Instant now) const
{
    const auto elapsed = static_cast<double>((now - m_bootedAt).count());
    return static_cast<int64_t>(elapsed * m_options.clockRate);
}

bool WorkerModel::acceptsToken(int64_t token)
{
    if (token < m_token)
        return false;
    m_token = token;
    return true;
}

void WorkerModel::extendLease(int64_t leaseEndMs, Instant now)
{
    advance(now); // a lease that has lapsed is not extended
    const int64_t latest = clockMs(now) + m_options.maxLease.count();
    if (leaseEndMs > 0)
        m_leaseEndMs = std::max(m_leaseEndMs, std::min(leaseEndMs, latest));
}

StartReply WorkerModel::start(const std::string &task, int64_t run, int64_t leaseEndMs, Instant now,
                              const std::string &ticket)
{
    extendLease(leaseEndMs, now);
    const auto running = m_runs.find(task);
    if (running != m_runs.end())
        return running->second.number == run ? StartReply::Started : StartReply::OldRun;
    if (const auto it = m_spent.find(task); it != m_spent.end() && run <= it->second)
        return StartReply::OldRun;
    if (leaseEndMs <= clockMs(now))
        return StartReply::LeaseTooShort;
    if (m_options.acceptsTicket
        && !m_options.acceptsTicket(ticket, task, m_options.id, m_life, now))
        return StartReply::NoTicket;
    const int gangSize = m_options.gangSize ? m_options.gangSize(task) : 0;
    m_runs[task] = {run, now, m_options.runTime(task), std::nullopt, gangSize > 0};
    if (gangSize > 0)
        m_options.gangs->join(task, run, gangSize, now);
    notify(RunEventKind::Started, task, run, "", now);
    return StartReply::Started;
}

void WorkerModel::stop(const std::string &task, int64_t run, Instant now)
{
    const auto it = m_runs.find(task);
    if (it == m_runs.end() || it->second.number != run) {
        m_spent[task] = std::max(m_spent[task], run);
        return;
    }
    if (!it->second.stopsAt)
        it->second.stopsAt = now + m_options.stopTime;
}

void WorkerModel::acknowledge(int64_t position, Instant now)
{
    while (!m_ends.empty() && m_ends.front().position <= position) {
        const ModelledEnd end = std::move(m_ends.front());
        m_ends.pop_front();
        notify(RunEventKind::Acknowledged, end.task, end.run, end.leaseLapsed ? "lapsed" : end.how,
               now);
    }
}

void WorkerModel::advance(Instant now)
{
    std::vector<std::pair<std::string, std::string>> ended; // task, how
    const bool leaseLapsed = clockMs(now) > m_leaseEndMs;
    for (ModelledEnd &it : m_ends)
        it.leaseLapsed = it.leaseLapsed || leaseLapsed;
    for (const auto &[task, run] : m_runs) {
        const std::string how = endOf(task, run, leaseLapsed, now);
        if (!how.empty())
            ended.emplace_back(task, how);
    }
    for (const auto &[task, how] : ended)
        end(task, how, now);
}

std::optional<Instant> WorkerModel::workBegan(const std::string &task, const ModelledRun &run) const
{
    if (!run.inGang)
        return run.startedAt;
    const GangRun *gang = m_options.gangs->find(task, run.number);
    return gang == nullptr ? std::nullopt : gang->completeAt;
}

std::string WorkerModel::endOf(const std::string &task, const ModelledRun &run, bool leaseLapsed,
                               Instant now) const
{
    if (leaseLapsed)
        return "lapsed";
    if (run.stopsAt && now >= *run.stopsAt)
        return "stopped";
    const GangRun *gang = run.inGang ? m_options.gangs->find(task, run.number) : nullptr;
    if (gang != nullptr && gang->outcome != GangOutcome::Open)
        return gang->outcome == GangOutcome::Done ? "done" : "broken";
    const auto began = workBegan(task, run);
    if (!began)
        return now - run.startedAt >= m_options.gangTimeout ? "alone" : "";
    return run.runTime && now - *began >= *run.runTime ? "done" : "";
}

void WorkerModel::end(const std::string &task, const std::string &how, Instant now)
{
    const auto node = m_runs.extract(task);
    const int64_t run = node.mapped().number;
    if (node.mapped().inGang)
        m_options.gangs->leave(task, run, how == "done");
    m_spent[task] = std::max(m_spent[task], run);
    m_ends.push_back({m_nextPosition++, task, run, how, false});
    notify(RunEventKind::Ended, task, run, how, now);
}

void WorkerModel::crash(Instant now)
{
    for (const auto &[task, run] : m_runs) {
        if (run.inGang)
            m_options.gangs->leave(task, run.number, false);
        notify(RunEventKind::Ended, task, run.number, "crashed", now);
    }
    m_runs.clear();
    m_spent.clear();
    m_ends.clear();
    m_token = m_leaseEndMs = 0;
    m_nextPosition = 1;
}

void WorkerModel::restart(const std::string &id, Instant now)
{
    m_options.id = id;
    m_bootedAt = now;
    ++m_life;
}

void WorkerModel::notify(RunEventKind kind, const std::string &task, int64_t run,
                         const std::string &how, Instant now) const
{
    if (m_options.observer)
        m_options.observer({kind, now, task, run, m_options.id, m_life, how});
}

} // namespace cardamompaddle::emulator
