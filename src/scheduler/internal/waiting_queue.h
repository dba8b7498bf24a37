// Queue of the jobs of a pool that have tasks ready to start.
#pragma once

#include "scheduler/internal/model.h"
#include "scheduler/internal/worker_index.h"

#include <array>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace cardamompaddle::sched {

struct TeamQueue;

// Resource needs of a task, shared by all shape queues with the same needs. Caches that no worker
// had capacity for them, which makes a pass on a full pool cheap.
struct TaskShape
{
    Resources need;
    int queueCount = 0;
    uint64_t blockedPass = 0; // pass in which no worker has capacity
    std::optional<uint64_t> noCapacityAt; // WorkerIndex::changes() at the failed search
};

// Waiting jobs of one team and class whose tasks have the same needs, so that if one does not fit,
// none does. Gangs share a queue only with gangs of as many tasks.
struct ShapeQueue
{
    TeamQueue *teamQueue = nullptr;
    TaskShape *shape = nullptr;
    int32_t gangTasks = 0; // 0: not a gang
    std::set<QueueKey> jobs;
    uint64_t blockedPass = 0; // pass in which no further job is considered
    uint64_t skipPass = 0; // pass in which jobs up to `skippedThrough` are skipped
    int skipCount = 0;
    QueueKey skippedThrough{};

    // Returns the first job that is not skipped in this pass; null if there is none.
    Job *head(uint64_t pass) const;
    // Skips the job and those before it for the rest of the pass.
    void skip(Job *job, const QueueKey &key, uint64_t pass);
};

// Waiting jobs of one team in one class.
struct TeamQueue
{
    Team *team = nullptr;
    int queueClass = 0;
    std::vector<std::unique_ptr<ShapeQueue>> shapeQueues;
    // Cached shape queue whose head comes first, as of pass `bestPass`; invalid if `stale`.
    ShapeQueue *best = nullptr;
    QueueKey bestKey{}; // key of its head
    int64_t bestShare = 0; // dominant share of one of its tasks, millionths
    uint64_t bestPass = 0;
    bool stale = true;
};

// Waiting jobs by class, team and shape. A pass is one call of decide(); queues that are blocked in
// one pass are considered again in the next. Not thread-safe.
class WaitingQueue
{
public:
    // Keeps both references. `total` is the capacity of the pool, which the caller keeps up to
    // date.
    WaitingQueue(const QueueOrder &order, const Resources &total)
        : m_order(order), m_totalCapacity(total)
    { }

    void add(Job *job);
    void remove(Job *job);
    // Returns the shape queue whose head comes next in this class; null if all are blocked or
    // empty. Shapes that no worker has capacity for are included only if `includeWithoutCapacity`.
    ShapeQueue *next(int queueClass, uint64_t pass, bool includeWithoutCapacity);
    // Begins a pass: blocks each shape without capacity for which none has become free since.
    void beginPass(const WorkerIndex &index, uint64_t pass);
    // Records that no worker has capacity for this need or a larger one. `position` is the value of
    // WorkerIndex::changes(); empty if the result holds for this pass only.
    void markNoCapacity(const Resources &need, std::optional<uint64_t> position, uint64_t pass);
    // Discards all results recorded by markNoCapacity() for later passes.
    void clearCapacityCache();
    void block(ShapeQueue *shapeQueue, uint64_t pass);
    void blockTeam(const Team *team, uint64_t pass);
    void skip(ShapeQueue *shapeQueue, Job *job, uint64_t pass);
    // Returns the highest class below `queueClass` that has waiting jobs; -1 if there is none.
    int classBelow(int queueClass) const;

private:
    using Class = std::vector<std::unique_ptr<TeamQueue>>;

    ShapeQueue *findOrAddShapeQueue(Job *job);
    TaskShape *findOrAddShape(const Resources &need);
    void refresh(TeamQueue &queue, uint64_t pass, bool includeWithoutCapacity) const;

    const QueueOrder &m_order;
    const Resources &m_totalCapacity;
    std::array<Class, QueueClasses> m_classes;
    std::vector<std::unique_ptr<TaskShape>> m_shapes;
};

} // namespace cardamompaddle::sched
