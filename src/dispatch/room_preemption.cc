#include "dispatch/room_preemption.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <queue>
#include <tuple>
#include <utility>

namespace cardamompaddle {

namespace {

// Differences up to this factor between the relative use of two accounts decide nothing.
constexpr double ClearlyAhead = 1.25;
// Run time that each stop costs besides progress: the stop, and the start from a checkpoint.
constexpr int64_t RestartMs = 1'000;

// A set of runs on one worker that makes room for at least one more task.
struct Stage
{
    std::vector<size_t> runs;
    Resources freed;
    int64_t places = 0;
    double costPerPlace = 0;
};

double cost(const PreemptibleRun &run)
{
    return static_cast<double>(run.resources.cpuMilli)
           * static_cast<double>(run.progressMs + RestartMs);
}

// The choice made so far on one worker.
struct WorkerChoice
{
    Resources room;
    int64_t places = 0;
    std::vector<size_t> runs;
    std::vector<bool> chosen;
};

class Planner
{
public:
    Planner(const PreemptionRequest &request, AccountShares shares)
        : m_request(request), m_shares(std::move(shares)), m_missing(request.tasks)
    {
        for (const PreemptionWorker &worker : request.workers)
            m_choices.push_back({worker.room, 0, {}, std::vector<bool>(worker.runs.size(), false)});
    }

    std::vector<WorkerPreemption> plan()
    {
        using Entry = std::pair<double, size_t>; // cost for each place, worker
        std::priority_queue<Entry, std::vector<Entry>, std::greater<>> queue;
        const auto push = [&](size_t worker) {
            if (const std::optional<Stage> stage = nextStage(worker))
                queue.emplace(stage->costPerPlace, worker);
        };
        for (size_t i = 0; i < m_choices.size(); ++i)
            push(i);
        while (m_missing > 0 && !queue.empty()) {
            const auto [costPerPlace, worker] = queue.top();
            queue.pop();
            // What was chosen on other workers may have changed the stage.
            const std::optional<Stage> stage = nextStage(worker);
            if (stage && stage->costPerPlace <= costPerPlace)
                apply(*stage, worker);
            push(worker);
        }
        return result();
    }

private:
    // Returns the cheapest runs found that make room for a further task on the worker.
    std::optional<Stage> nextStage(size_t number) const
    {
        const PreemptionWorker &worker = m_request.workers[number];
        const WorkerChoice &choice = m_choices[number];
        const int64_t maxTasks = std::min(m_missing, worker.maxTasks - choice.places);
        if (maxTasks <= 0)
            return std::nullopt;
        std::vector<size_t> candidates;
        for (size_t i = 0; i < worker.runs.size(); ++i) {
            const bool allowed = m_request.ignoresShares
                                 || m_shares.mayPreempt(m_request.account, worker.runs[i].account);
            if (!choice.chosen[i] && allowed)
                candidates.push_back(i);
        }
        std::stable_sort(candidates.begin(), candidates.end(), [&worker](size_t a, size_t b) {
            return cost(worker.runs[a]) < cost(worker.runs[b]);
        });
        Stage stage;
        const auto fits = [&](const Resources &freed) {
            return m_request.taskResources.fitsIn(choice.room + freed);
        };
        for (const size_t run : candidates) {
            if (fits(stage.freed))
                break;
            stage.runs.push_back(run);
            stage.freed += worker.runs[run].resources;
        }
        if (!fits(stage.freed))
            return std::nullopt;
        // Cheaper runs may have become superfluous, or even costlier ones: tries these first.
        for (size_t i = stage.runs.size(); i-- > 0;) {
            const Resources others = stage.freed - worker.runs[stage.runs[i]].resources;
            if (!fits(others))
                continue;
            stage.freed = others;
            stage.runs.erase(stage.runs.begin() + static_cast<ptrdiff_t>(i));
        }
        if (stage.runs.empty() || !isWithinBound(stage))
            return std::nullopt;
        stage.places = countFitting(choice.room + stage.freed, m_request.taskResources, maxTasks);
        for (const size_t run : stage.runs)
            stage.costPerPlace += cost(worker.runs[run]);
        stage.costPerPlace /= static_cast<double>(stage.places);
        return stage;
    }

    bool isWithinBound(const Stage &stage) const
    {
        if (m_freedCpuMilli + stage.freed.cpuMilli <= m_request.maxFreedCpuMilli)
            return true;
        return m_request.mayExceedByOneRun && m_freedCpuMilli == 0 && stage.runs.size() == 1;
    }

    void apply(const Stage &stage, size_t number)
    {
        const PreemptionWorker &worker = m_request.workers[number];
        WorkerChoice &choice = m_choices[number];
        for (const size_t run : stage.runs) {
            choice.chosen[run] = true;
            choice.runs.push_back(run);
            m_shares.removeUse(worker.runs[run].account, worker.runs[run].resources);
        }
        const Resources placed = m_request.taskResources * stage.places;
        m_shares.addUse(m_request.account, placed);
        choice.room += stage.freed - placed;
        choice.places += stage.places;
        m_freedCpuMilli += stage.freed.cpuMilli;
        m_missing -= stage.places;
    }

    std::vector<WorkerPreemption> result() const
    {
        std::vector<WorkerPreemption> out;
        for (size_t i = 0; i < m_choices.size(); ++i) {
            if (m_choices[i].places > 0)
                out.push_back({i, m_choices[i].places, m_choices[i].runs});
        }
        return out;
    }

    const PreemptionRequest &m_request;
    AccountShares m_shares;
    int64_t m_missing;
    int64_t m_freedCpuMilli = 0;
    std::vector<WorkerChoice> m_choices; // as PreemptionRequest::workers
};

} // namespace

size_t AccountShares::add(double weight, const Resources &use)
{
    m_totalWeight += weight;
    m_accounts.push_back({weight, use});
    return m_accounts.size() - 1;
}

double AccountShares::relativeUse(size_t account) const
{
    constexpr double Millionths = 1e6;
    const Account &it = m_accounts[account];
    const auto share = static_cast<double>(dominantShareMillionths(it.use, m_capacity));
    return share / Millionths * m_totalWeight / it.weight;
}

bool AccountShares::mayPreempt(size_t account, size_t victim) const
{
    const double own = relativeUse(account);
    const double other = relativeUse(victim);
    return account == victim || own <= 1 || other > 1 || own <= ClearlyAhead * other;
}

std::vector<WorkerPreemption> planRoomPreemption(const PreemptionRequest &request,
                                                 AccountShares shares)
{
    return Planner(request, std::move(shares)).plan();
}

} // namespace cardamompaddle
