#include "scheduler/internal/waiting_queue.h"

#include <algorithm>

namespace cardamompaddle::sched {
namespace {

// Limit of jobs of a shape queue that one pass skips because their start intent is not durable or
// preemption for them is in progress. Bounds the cost of a pass.
constexpr int MaxSkipsPerPass = 64;

// The share includes half of the next task. Without it, a team that is entitled to only a few tasks
// would on average exceed its share by half a task, at the expense of the others.
QueueHead headOf(const TeamQueue &queue)
{
    const Team &team = *queue.team;
    return {queue.bestKey.deadline,
            team.weightedShare + queue.bestShare * ShareScale / 2 / team.weight,
            queue.bestKey.sequence};
}

} // namespace

Job *ShapeQueue::head(uint64_t pass) const
{
    const auto it = skipPass == pass ? jobs.upper_bound(skippedThrough) : jobs.begin();
    return it == jobs.end() ? nullptr : it->job;
}

void ShapeQueue::skip(Job *job, const QueueKey &key, uint64_t pass)
{
    if (skipPass != pass) {
        skipPass = pass;
        skipCount = 0;
    }
    skippedThrough = key;
    skippedThrough.job = job;
    if (++skipCount >= MaxSkipsPerPass)
        blockedPass = pass;
}

void WaitingQueue::add(Job *job)
{
    ShapeQueue *shapeQueue = findOrAddShapeQueue(job);
    shapeQueue->jobs.insert(job->key(m_order));
    shapeQueue->teamQueue->stale = true;
    job->shapeQueue = shapeQueue;
}

ShapeQueue *WaitingQueue::findOrAddShapeQueue(Job *job)
{
    const JobSpec &spec = job->item.spec;
    const int number = m_order.classOf(spec.kind, spec.urgency);
    Class &queues = m_classes[static_cast<size_t>(number)];
    auto queue = std::find_if(queues.begin(), queues.end(),
                              [job](const auto &it) { return it->team == job->team; });
    if (queue == queues.end()) {
        queues.push_back(std::make_unique<TeamQueue>());
        queue = queues.end() - 1;
        (*queue)->team = job->team;
        (*queue)->queueClass = number;
    }
    const int32_t gangTasks = job->isGang() ? spec.tasks : 0;
    for (const auto &it : (*queue)->shapeQueues) {
        if (it->shape->need == spec.perTask && it->gangTasks == gangTasks)
            return it.get();
    }
    auto shapeQueue = std::make_unique<ShapeQueue>();
    shapeQueue->teamQueue = queue->get();
    shapeQueue->shape = findOrAddShape(spec.perTask);
    ++shapeQueue->shape->queueCount;
    shapeQueue->gangTasks = gangTasks;
    (*queue)->shapeQueues.push_back(std::move(shapeQueue));
    return (*queue)->shapeQueues.back().get();
}

TaskShape *WaitingQueue::findOrAddShape(const Resources &need)
{
    for (const auto &it : m_shapes) {
        if (it->need == need)
            return it.get();
    }
    m_shapes.push_back(std::make_unique<TaskShape>());
    m_shapes.back()->need = need;
    return m_shapes.back().get();
}

void WaitingQueue::beginPass(const WorkerIndex &index, uint64_t pass)
{
    for (const auto &it : m_shapes) {
        if (!it->noCapacityAt)
            continue;
        if (index.nothingFitsSince(*it->noCapacityAt, {it->need})) {
            it->noCapacityAt = index.changes();
            it->blockedPass = pass;
        } else {
            it->noCapacityAt.reset();
        }
    }
}

void WaitingQueue::markNoCapacity(const Resources &need, std::optional<uint64_t> position,
                                  uint64_t pass)
{
    for (const auto &it : m_shapes) {
        if (!need.fitsIn(it->need))
            continue;
        it->blockedPass = pass;
        it->noCapacityAt = position;
    }
}

void WaitingQueue::clearCapacityCache()
{
    for (const auto &it : m_shapes)
        it->noCapacityAt.reset();
}

void WaitingQueue::remove(Job *job)
{
    ShapeQueue *shapeQueue = job->shapeQueue;
    job->shapeQueue = nullptr;
    TeamQueue *queue = shapeQueue->teamQueue;
    shapeQueue->jobs.erase(job->key(m_order));
    queue->stale = true;
    queue->best = nullptr;
    if (!shapeQueue->jobs.empty())
        return;
    if (TaskShape *shape = shapeQueue->shape; --shape->queueCount == 0)
        std::erase_if(m_shapes, [shape](const auto &it) { return it.get() == shape; });
    std::erase_if(queue->shapeQueues,
                  [shapeQueue](const auto &it) { return it.get() == shapeQueue; });
    if (queue->shapeQueues.empty()) {
        Class &queues = m_classes[static_cast<size_t>(queue->queueClass)];
        std::erase_if(queues, [queue](const auto &it) { return it.get() == queue; });
    }
}

void WaitingQueue::refresh(TeamQueue &queue, uint64_t pass, bool includeWithoutCapacity) const
{
    queue.best = nullptr;
    for (const auto &shapeQueue : queue.shapeQueues) {
        if (shapeQueue->blockedPass == pass
            || (shapeQueue->shape->blockedPass == pass && !includeWithoutCapacity))
            continue;
        Job *job = shapeQueue->head(pass);
        if (job == nullptr)
            continue;
        const QueueKey key = job->key(m_order);
        if (queue.best == nullptr || key < queue.bestKey) {
            queue.best = shapeQueue.get();
            queue.bestKey = key;
        }
    }
    queue.bestShare = queue.best == nullptr
                          ? 0
                          : dominantShareMillionths(queue.best->shape->need, m_totalCapacity);
    queue.bestPass = pass;
    queue.stale = false;
}

ShapeQueue *WaitingQueue::next(int queueClass, uint64_t pass, bool includeWithoutCapacity)
{
    TeamQueue *first = nullptr;
    for (const auto &queue : m_classes[static_cast<size_t>(queueClass)]) {
        const bool bestBlocked = queue->best != nullptr && queue->bestPass == pass
                                 && !includeWithoutCapacity
                                 && queue->best->shape->blockedPass == pass;
        if (queue->stale || queue->bestPass != pass || bestBlocked)
            refresh(*queue, pass, includeWithoutCapacity);
        if (queue->best == nullptr)
            continue;
        if (first == nullptr || m_order.before(headOf(*queue), headOf(*first)))
            first = queue.get();
    }
    return first == nullptr ? nullptr : first->best;
}

void WaitingQueue::block(ShapeQueue *shapeQueue, uint64_t pass)
{
    shapeQueue->blockedPass = pass;
    shapeQueue->teamQueue->stale = true;
}

void WaitingQueue::blockTeam(const Team *team, uint64_t pass)
{
    for (Class &queues : m_classes) {
        for (const auto &queue : queues) {
            if (queue->team != team)
                continue;
            for (const auto &shapeQueue : queue->shapeQueues)
                shapeQueue->blockedPass = pass;
            queue->stale = true;
        }
    }
}

void WaitingQueue::skip(ShapeQueue *shapeQueue, Job *job, uint64_t pass)
{
    shapeQueue->skip(job, job->key(m_order), pass);
    shapeQueue->teamQueue->stale = true;
}

int WaitingQueue::classBelow(int queueClass) const
{
    for (int it = queueClass - 1; it >= 0; --it) {
        if (!m_classes[static_cast<size_t>(it)].empty())
            return it;
    }
    return -1;
}

} // namespace cardamompaddle::sched
