#include "job_shapes.h"

#include <boost/json.hpp>

#include <array>
#include <map>

namespace cardamompaddle::soak {

namespace json = boost::json;

namespace {

struct JobShape
{
    int weight;
    int steps;
    int minTasks; // of a step
    int maxTasks; // of a step
    int64_t shortestMs;
    int64_t longestMs;
    bool longRunning;
    int maxPerWorker;
    bool gang;
};

// The jobs that take seconds end much later than they are accepted.
constexpr std::array<JobShape, 7> Shapes = {{
    {50, 1, 1, 3, 50, 950, false, 0, false}, // quick
    {22, 2, 1, 3, 50, 950, false, 0, false}, // steps after each other
    {8, 2, 1, 8, 50, 950, false, 0, false}, // many tasks
    {4, 1, 1, 4, 50, 950, false, 1, false}, // spread over workers
    {5, 1, 1, 2, 6'000, 16'000, false, 0, false}, // slow
    {3, 1, 1, 3, 0, 0, true, 0, false}, // long-running
    {8, 2, 2, 0, 200, 1'500, false, 0, true}, // gangs, whose sizes are options
}};

const JobShape &randomShape(std::mt19937_64 &random)
{
    int total = 0;
    for (const JobShape &it : Shapes)
        total += it.weight;
    int choice = std::uniform_int_distribution<int>(0, total - 1)(random);
    const JobShape *shape = Shapes.data();
    while (choice >= shape->weight) {
        choice -= shape->weight;
        ++shape;
    }
    return *shape;
}

} // namespace

bool needsApproval(const std::string &id)
{
    return id.back() == '0' || id.back() == '8'; // one in 8
}

JobPlan makeJobPlan(const std::string &id, std::mt19937_64 &random, const GangSizes &gangs)
{
    const JobShape &shape = randomShape(random);
    JobPlan out;
    out.id = id;
    out.longRunning = shape.longRunning;
    out.maxPerWorker = shape.gang ? gangs.perWorker : shape.maxPerWorker;
    out.gang = shape.gang;
    std::uniform_int_distribution<int> taskCount(shape.minTasks,
                                                 shape.gang ? gangs.largest : shape.maxTasks);
    std::uniform_int_distribution<int64_t> runTime(shape.shortestMs, shape.longestMs);
    for (int step = 0; step < shape.steps; ++step) {
        const int tasks = taskCount(random);
        for (int i = 0; i < tasks; ++i)
            out.tasks.push_back({id + ".0." + std::to_string(step) + "." + std::to_string(i), step,
                                 Duration(runTime(random))});
    }
    return out;
}

std::string submissionOf(const JobPlan &plan)
{
    std::map<int, std::vector<const PlannedTask *>> steps;
    for (const PlannedTask &it : plan.tasks)
        steps[it.step].push_back(&it);
    json::array rows;
    for (const auto &[step, tasks] : steps) {
        json::object row{
            {"Count", tasks.size()}, {"Cpu", TaskCpuMilli}, {"MemoryRequestMb", TaskMemoryMb}};
        row["EstimatedMs"] = plan.longRunning ? 300 : tasks.front()->runTime.count();
        if (step > 0)
            row["After"] = json::array{step - 1};
        if (plan.longRunning)
            row["LongRunning"] = true;
        if (plan.maxPerWorker > 0)
            row["AntiAffinity"] = plan.maxPerWorker;
        if (plan.gang)
            row["Gang"] = true;
        rows.push_back(std::move(row));
    }
    return json::serialize(json::object{{"Specification", "soak"}, {"Steps", std::move(rows)}});
}

} // namespace cardamompaddle::soak
