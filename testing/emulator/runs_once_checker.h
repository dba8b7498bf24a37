// Checks by what workers have seen that no task runs twice: not at the same time, and not again
// after it has succeeded and that was acknowledged.
#pragma once

#include "platform_emulator.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace cardamompaddle::emulator {

class RunsOnceChecker
{
public:
    void ran(const RunEvent &event)
    {
        std::vector<Run> &runs = m_runs[event.task];
        if (event.kind == RunEventKind::Started)
            return started(runs, event);
        const auto it = std::ranges::find_if(runs, [&event](const Run &run) {
            return run.event.run == event.run && run.event.worker == event.worker
                   && run.event.life == event.life;
        });
        if (it == runs.end())
            return;
        if (event.kind == RunEventKind::Ended)
            it->how = event.how;
        else
            acknowledged(runs, *it, event);
    }
    // One line for each start of a task beside another run of it.
    const std::vector<std::string> &simultaneous() const { return m_simultaneous; }
    // One line for each start after an acknowledged success.
    const std::vector<std::string> &afterSuccess() const { return m_afterSuccess; }
    std::vector<std::string> violations() const
    {
        std::vector<std::string> out = m_simultaneous;
        out.insert(out.end(), m_afterSuccess.begin(), m_afterSuccess.end());
        return out;
    }
    int starts() const { return m_starts; }

private:
    struct Run
    {
        RunEvent event; // its start
        std::string how; // it has ended; empty while it is active
        bool doneAcknowledged = false;
    };

    void started(std::vector<Run> &runs, const RunEvent &event)
    {
        ++m_starts;
        for (const Run &run : runs) {
            if (run.how.empty())
                m_simultaneous.push_back(describe(event, "at the same time as", run));
            else if (run.doneAcknowledged)
                m_afterSuccess.push_back(describe(event, "after the acknowledged success of", run));
        }
        runs.push_back({event, "", false});
    }
    void acknowledged(std::vector<Run> &runs, Run &run, const RunEvent &event)
    {
        if (event.how != "done")
            return;
        run.doneAcknowledged = true;
        for (const Run &other : runs) {
            if (other.event.at > run.event.at && other.event.run != run.event.run)
                m_afterSuccess.push_back(
                    describe(other.event, "after the later acknowledged success of", run));
        }
    }
    static std::string describe(const RunEvent &event, const std::string &how, const Run &other)
    {
        return std::to_string(toMs(event.at)) + " ms: " + event.task + " " + describe(event)
               + " started " + how + " " + describe(other.event) + ", started at "
               + std::to_string(toMs(other.event.at)) + " ms";
    }
    static std::string describe(const RunEvent &event)
    {
        return "run " + std::to_string(event.run) + " on " + event.worker + " life "
               + std::to_string(event.life);
    }

    std::map<std::string, std::vector<Run>> m_runs; // by task
    std::vector<std::string> m_simultaneous;
    std::vector<std::string> m_afterSuccess;
    int m_starts = 0;
};

} // namespace cardamompaddle::emulator
