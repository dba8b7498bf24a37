// A fleet of pools, coordinators that come and go and a faulty network. Oracle: what the pools hold
// in all, running tasks of dead owners included, does not exceed the limit, and does not rise while
// it is above a limit that was lowered.
#include "limits/quota_client.h"
#include "limits/quota_coordinator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>
#include <tuple>
#include <vector>

namespace cardamompaddle {
namespace {

constexpr int64_t StepMs = 20;

struct Pool
{
    std::string name;
    std::unique_ptr<QuotaClient> owner; // null: no owner
    Tenure tenure;
    int32_t running = 0; // what truly runs
    int32_t unknown = 0; // of these, not adopted yet
    int32_t demand = 0;
};

class Fleet
{
public:
    Fleet(int pools, int32_t limit, uint64_t seed) : m_limit(limit), m_random(seed)
    {
        for (int n = 0; n < pools; ++n) {
            m_pools.push_back(Pool{"pool" + std::to_string(n), nullptr, {}, 0, 0, 0});
            takeOver(m_pools.back());
            m_pools.back().owner->setComplete();
        }
        replaceCoordinator(false);
    }

    int loss = 0;
    int repeat = 0;
    int64_t maxDelayMs = 2;
    bool eager = false; // every pool always has demand, and no hint is stale

    std::vector<Pool> &pools() { return m_pools; }
    int32_t limit() const { return m_limit; }
    const std::string &violation() const { return m_violation; }

    // The new coordinator may be of the same tenure: its member lost the key for a while only.
    void replaceCoordinator(bool sameTenure)
    {
        if (!sameTenure)
            m_coordinatorTenure = Tenure{static_cast<SeatId>(pick(0, 1)), 100, ++m_tenures};
        std::vector<std::string> names;
        for (const Pool &it : m_pools)
            names.push_back(it.name);
        m_coordinator = std::make_unique<QuotaCoordinator>(
            std::move(*QuotaCoordinator::create("t", m_limit, names, m_coordinatorTenure)));
    }
    void setLimit(int32_t limit)
    {
        m_limit = limit;
        (void)m_coordinator->setLimit(limit);
        // A grant that was sent before still counts when it arrives; here it is lost, so that any
        // rise above the lowered limit is a fault.
        m_answers.clear();
    }
    void takeOver(Pool &pool)
    {
        pool.tenure = Tenure{static_cast<SeatId>(pick(0, 3)), 500, ++m_tenures};
        pool.owner =
            std::make_unique<QuotaClient>(std::move(*QuotaClient::create(pool.name, pool.tenure)));
        pool.unknown = pool.running;
    }
    void run(int64_t forMs)
    {
        for (int64_t ms = 0; ms < forMs && m_violation.empty(); ms += StepMs)
            step();
    }
    int32_t running() const
    {
        int32_t sum = 0;
        for (const Pool &it : m_pools)
            sum += it.running;
        return sum;
    }

private:
    int64_t pick(int64_t low, int64_t high)
    {
        return std::uniform_int_distribution<int64_t>(low, high)(m_random);
    }
    Instant now() const { return instantFromMs(m_now); }

    void step()
    {
        m_now += StepMs;
        for (Pool &it : m_pools) {
            endSome(it);
            if (it.owner)
                work(it);
        }
        deliver();
        check();
    }

    void endSome(Pool &pool)
    {
        if (pool.running == 0 || pick(0, 9) != 0)
            return;
        --pool.running;
        if (pool.unknown > 0)
            --pool.unknown;
        else if (pool.owner)
            pool.owner->ended("t");
    }

    void work(Pool &pool)
    {
        if (eager || pick(0, 20) == 0)
            pool.owner->setCoordinator("t", m_coordinatorTenure);
        adoptSome(pool);
        if (eager || pick(0, 30) == 0)
            pool.demand = eager ? 50 : static_cast<int32_t>(pick(0, 20));
        while (pool.demand > 0 && pool.owner->reserve("t")) {
            pool.owner->started("t");
            ++pool.running;
            --pool.demand;
        }
        pool.owner->setDemand("t", pool.demand);
        for (int32_t n = pool.owner->excess("t"); n > 0 && pick(0, 3) == 0; --n) {
            pool.owner->ended("t");
            --pool.running;
        }
        for (const QuotaRequest &it : pool.owner->requests(now()))
            send(it);
    }

    void adoptSome(Pool &pool)
    {
        if (pool.owner->complete() || (!eager && pick(0, 20) != 0))
            return;
        const auto count = static_cast<int32_t>(pick(0, pool.unknown));
        pool.owner->adopt("t", count);
        pool.unknown -= count;
        if (pool.unknown == 0)
            pool.owner->setComplete();
    }

    template <typename Message>
    void send(const Message &message)
    {
        for (int copies = pick(1, 100) <= repeat ? 2 : 1; copies > 0; --copies) {
            if (pick(1, 100) > loss)
                box(message).emplace(m_now + pick(0, maxDelayMs), message);
        }
    }
    std::multimap<int64_t, QuotaRequest> &box(const QuotaRequest &) { return m_requests; }
    std::multimap<int64_t, QuotaResponse> &box(const QuotaResponse &) { return m_answers; }

    template <typename Message>
    std::vector<Message> due(std::multimap<int64_t, Message> &messages) const
    {
        std::vector<Message> found;
        const auto end = messages.upper_bound(m_now);
        for (auto it = messages.begin(); it != end; ++it)
            found.push_back(it->second);
        messages.erase(messages.begin(), end);
        return found;
    }

    void deliver()
    {
        for (const QuotaRequest &it : due(m_requests)) {
            if (it.coordinator.seat == m_coordinatorTenure.seat)
                send(m_coordinator->handle(it, now()));
        }
        for (const QuotaResponse &it : due(m_answers)) {
            for (Pool &pool : m_pools) {
                if (pool.owner && pool.name == it.pool)
                    pool.owner->handle(it, now());
            }
        }
    }

    void check()
    {
        int64_t held = 0;
        for (const Pool &it : m_pools)
            held += std::max(it.running, it.owner ? it.owner->allotment("t") : 0);
        if (held > std::max<int64_t>(m_limit, m_held))
            m_violation = "held " + std::to_string(held) + " after " + std::to_string(m_held)
                          + " with limit " + std::to_string(m_limit);
        m_held = held;
    }

    int32_t m_limit;
    std::mt19937_64 m_random;
    int64_t m_now = 1000;
    int64_t m_held = 0;
    uint64_t m_tenures = 0;
    std::vector<Pool> m_pools;
    std::unique_ptr<QuotaCoordinator> m_coordinator;
    Tenure m_coordinatorTenure;
    std::multimap<int64_t, QuotaRequest> m_requests;
    std::multimap<int64_t, QuotaResponse> m_answers;
    std::string m_violation;
};

using Step = void (*)(Fleet &, Pool &, int);
const std::array<Step, 10> Steps = {
    [](Fleet &f, Pool &, int) { f.replaceCoordinator(false); },
    [](Fleet &f, Pool &, int) { f.replaceCoordinator(true); },
    [](Fleet &, Pool &p, int) { p.owner.reset(); },
    [](Fleet &f, Pool &p, int) { f.takeOver(p); },
    [](Fleet &f, Pool &p, int) { f.takeOver(p); },
    [](Fleet &f, Pool &, int amount) { f.setLimit(amount % 12); },
    [](Fleet &f, Pool &, int amount) { f.loss = amount % 60; },
    [](Fleet &f, Pool &, int amount) { f.repeat = amount; },
    [](Fleet &f, Pool &, int amount) { f.maxDelayMs = int64_t{20} * amount; },
    [](Fleet &f, Pool &, int amount) { f.maxDelayMs = amount / 10; },
};

using Choice = std::tuple<int, int, int, int>; // step, pool, amount, time until the next

void checkFleet(int poolCount, int32_t limit, uint64_t seed, const std::vector<Choice> &choices)
{
    Fleet fleet(poolCount, limit, seed);
    fleet.run(2000);
    for (const auto &[kind, pool, amount, thenMs] : choices) {
        Steps[static_cast<size_t>(kind)](fleet, fleet.pools()[static_cast<size_t>(pool)], amount);
        fleet.run(thenMs);
    }
    fleet.loss = fleet.repeat = 0;
    fleet.maxDelayMs = 2;
    fleet.eager = true;
    for (Pool &it : fleet.pools()) {
        if (!it.owner)
            fleet.takeOver(it);
    }
    fleet.run(10'000);
    // Short tasks leave moments in which an allotment is on its way between pools.
    int32_t most = 0;
    for (int n = 0; n < 100; ++n) {
        fleet.run(StepMs);
        RC_ASSERT(fleet.running() <= fleet.limit());
        most = std::max(most, fleet.running());
    }
    if (!fleet.violation().empty())
        RC_FAIL(fleet.violation());
    RC_ASSERT(most == fleet.limit());
}

// Guards against more running tasks than the limit under every fault of messages, coordinators and
// owners, and against a limit that is not used again after the faults have ended.
RC_GTEST_PROP(LimitsPropertyTest, NeverMoreThanTheLimit, ())
{
    setInvariantHandler([](std::string_view rule, std::string_view state) {
        throw std::runtime_error(std::string(rule) + "; " + std::string(state));
    });
    const auto poolCount = *rc::gen::inRange(1, 5);
    const auto limit = *rc::gen::inRange<int32_t>(0, 12);
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const auto choices = *rc::gen::container<std::vector<Choice>>(
        rc::gen::tuple(rc::gen::inRange(0, 10), rc::gen::inRange(0, poolCount),
                       rc::gen::inRange(0, 100), rc::gen::element(40, 200, 600, 1500, 4000)));
    for (uint64_t n = 0; n < 20; ++n)
        checkFleet(poolCount, limit, seed + n, choices);
}

} // namespace
} // namespace cardamompaddle
