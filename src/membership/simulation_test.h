// Simulates a cell of Membership objects with clocks of different rates and a faulty network. An
// oracle checks that no member may act for a key while a command of another member for it can still
// take effect.
#pragma once

#include "base/time.h"
#include "membership/membership.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cardamompaddle::simulation {

// How long in real time a worker accepts a command after the decision to send it: the session TTL
// on the slowest clock.
inline constexpr int64_t LateWriteMs = 3000;

class Cell
{
public:
    // A member process. Its clock runs at the rate of real time or 1% faster.
    struct Process
    {
        SeatId seat = -1;
        int64_t offsetMs = 0;
        int64_t ratePermille = 1000;
        int64_t startedAt = 0;
        int64_t pausedUntil = 0;
        int64_t nextHeartbeat = 0; // on the local clock
        int64_t partition = 0; // processes in different partitions cannot reach one another
        std::unique_ptr<Membership> membership;

        Instant local(int64_t real) const
        {
            return instantFromMs(offsetMs + (real - startedAt) * ratePermille / 1000);
        }
    };

    struct Network
    {
        int lossPercent = 0;
        int duplicatePercent = 0;
        int64_t maxDelayMs = 2;
    };

    Cell(int32_t seats, uint64_t seed, std::vector<std::string> keys)
        : m_seats(seats), m_random(seed), m_keys(std::move(keys))
    {
        for (SeatId it = 0; it < seats; ++it)
            start(it);
    }

    Network network;

    int64_t now() const { return m_now; }
    // Returns the newest process at the seat, or null if there is none.
    Process *newestProcess(SeatId seat)
    {
        Process *found = nullptr;
        for (auto &[id, it] : m_processes) {
            if (it.seat == seat)
                found = &it;
        }
        return found;
    }
    Membership &member(SeatId seat) { return *newestProcess(seat)->membership; }
    Instant local(SeatId seat) { return newestProcess(seat)->local(m_now); }
    bool acts(SeatId seat, const std::string &key)
    {
        return newestProcess(seat) != nullptr && member(seat).mayAct(key, local(seat));
    }

    // Starts a process. An earlier one at the seat keeps running unless it was crashed.
    void start(SeatId seat, bool synced = true)
    {
        Process process;
        process.seat = seat;
        process.startedAt = m_now;
        process.offsetMs = randomBetween(0, 1'000'000);
        process.ratePermille = randomBetween(0, 1) * 10 + 1000;
        // Start times of different machines are up to a second off.
        const auto incarnation = static_cast<uint64_t>(10'000 + m_now + randomBetween(0, 1000))
                                     << 20
                                 | static_cast<uint64_t>(randomBetween(0, 1'000'000));
        MembershipOptions options;
        options.seatCount = m_seats;
        auto created = Membership::create(options, seat, incarnation, process.local(m_now));
        process.membership = std::make_unique<Membership>(std::move(*created));
        process.membership->setSynced(synced);
        m_processes.emplace(m_nextProcess++, std::move(process));
    }
    // Starts a process while the earlier one of the seat still runs. Does nothing if another seat
    // has two processes: no count of seats can tell two such cells apart.
    void startSecondProcess(SeatId seat)
    {
        for (const auto &[id, it] : m_processes) {
            if (it.seat != seat && newestProcess(it.seat) != &it)
                return;
        }
        start(seat);
    }
    void crash(SeatId seat)
    {
        std::erase_if(m_processes, [seat](const auto &it) { return it.second.seat == seat; });
    }
    // Performs a planned stop, in which every command is answered before the announcement.
    void stopCleanly(SeatId seat)
    {
        Process *process = newestProcess(seat);
        if (process == nullptr || m_now < process->pausedUntil)
            return;
        for (auto &[key, acts] : m_lastActs) {
            std::erase_if(acts, [&](const auto &it) {
                const auto found = m_processes.find(it.first.first);
                return found != m_processes.end() && &found->second == process;
            });
        }
        process->membership->announceLeft();
    }
    // Removes all but the newest process of the seat.
    void endEarlierProcesses(SeatId seat)
    {
        const Process *newest = newestProcess(seat);
        std::erase_if(m_processes, [&](const auto &it) {
            return it.second.seat == seat && &it.second != newest;
        });
    }
    void pause(SeatId seat, int64_t forMs)
    {
        if (Process *process = newestProcess(seat))
            process->pausedUntil = std::max(process->pausedUntil, m_now + forMs);
    }
    void cutLink(SeatId from, SeatId to) { m_cuts.insert({from, to}); }
    void isolate(SeatId seat)
    {
        for (SeatId it = 0; it < m_seats; ++it) {
            cutLink(seat, it);
            cutLink(it, seat);
        }
    }
    // Puts each process into one of two partitions at random. Two processes of one seat may be in
    // different partitions.
    void partitionRandomly()
    {
        for (auto &[id, it] : m_processes)
            it.partition = randomBetween(0, 1);
    }
    void healNetwork()
    {
        m_cuts.clear();
        for (auto &[id, it] : m_processes)
            it.partition = 0;
    }

    void runFor(int64_t forMs)
    {
        for (const int64_t end = m_now + forMs; m_now < end && !m_violation; m_now += StepMs)
            step();
    }
    // Runs until `done` returns true and returns the time taken. Returns empty at the bound or on a
    // violation.
    template <typename Done>
    std::optional<int64_t> runUntil(Done done, int64_t boundMs)
    {
        const int64_t begin = m_now;
        while (!done()) {
            if (m_now - begin >= boundMs || m_violation)
                return std::nullopt;
            runFor(StepMs);
        }
        return m_now - begin;
    }

    // Describes the first violation that the oracle found; empty if there is none.
    const std::optional<std::string> &violation() const { return m_violation; }

private:
    static constexpr int64_t StepMs = 20;

    struct Message
    {
        int64_t toProcess = 0;
        int64_t fromProcess = 0;
        uint64_t probe = 0;
        bool answer = false;
        Heartbeat heartbeat;
    };

    int64_t randomBetween(int64_t low, int64_t high)
    {
        return std::uniform_int_distribution<int64_t>(low, high)(m_random);
    }

    void step()
    {
        for (auto &[id, process] : m_processes) {
            if (m_now >= process.pausedUntil)
                actOnKeys(id, process);
        }
        for (auto &[id, process] : m_processes) {
            if (m_now >= process.pausedUntil)
                exchangeHeartbeats(id, process);
        }
    }

    // Runs before pending messages are read, as may happen in a process that resumes after a pause.
    void actOnKeys(int64_t id, Process &process)
    {
        const Instant local = process.local(m_now);
        for (const std::string &key : m_keys) {
            if (process.membership->mayAct(key, local))
                recordAct(id, process, key);
        }
    }

    void recordAct(int64_t id, const Process &process, const std::string &key)
    {
        auto &lastActs = m_lastActs[key];
        for (const auto &[other, at] : lastActs) {
            if (other.first != id && m_now - at < LateWriteMs && !m_violation)
                m_violation = key + ": seat " + std::to_string(process.seat) + " acts at "
                              + std::to_string(m_now) + ", seat " + std::to_string(other.second)
                              + " acted at " + std::to_string(at);
        }
        lastActs[{id, process.seat}] = m_now;
    }

    void exchangeHeartbeats(int64_t id, Process &process)
    {
        const Instant local = process.local(m_now);
        std::vector<Message> due;
        const auto end = m_inboxes[id].upper_bound(m_now);
        for (auto it = m_inboxes[id].begin(); it != end; ++it)
            due.push_back(it->second);
        m_inboxes[id].erase(m_inboxes[id].begin(), end);
        for (const Message &it : due)
            receive(id, process, it, local);
        process.membership->advance(local);
        if (toMs(local) < process.nextHeartbeat)
            return;
        process.nextHeartbeat = toMs(local) + 200;
        for (SeatId to = 0; to < m_seats; ++to) {
            if (to == process.seat)
                continue;
            const uint64_t probe = process.membership->heartbeatSent(to, local);
            sendToSeat(id, process.seat, to, probe, process.membership->heartbeat(local));
        }
    }

    void receive(int64_t id, Process &process, const Message &message, Instant local)
    {
        if (message.answer) {
            process.membership->heartbeatAnswered(message.heartbeat.from, message.probe,
                                                  message.heartbeat, local);
        } else if (process.membership->heartbeatReceived(message.heartbeat, local)) {
            const SeatId to = message.heartbeat.from;
            const auto requester = m_processes.find(message.fromProcess);
            if (requester == m_processes.end() || requester->second.partition != process.partition)
                return;
            send(process.seat, to,
                 {message.fromProcess, id, message.probe, true,
                  process.membership->heartbeat(local)});
        }
    }

    void sendToSeat(int64_t id, SeatId from, SeatId to, uint64_t probe, const Heartbeat &heartbeat)
    {
        // If the seat has two processes in the partition, either may receive the message.
        std::vector<int64_t> reachable;
        for (const auto &[other, process] : m_processes) {
            if (process.seat == to && process.partition == m_processes[id].partition)
                reachable.push_back(other);
        }
        if (!reachable.empty()) {
            const auto n =
                static_cast<size_t>(randomBetween(0, static_cast<int64_t>(reachable.size()) - 1));
            send(from, to, {reachable[n], id, probe, false, heartbeat});
        }
    }

    void send(SeatId from, SeatId to, const Message &message)
    {
        if (m_cuts.contains({from, to}) || randomBetween(1, 100) <= network.lossPercent)
            return;
        const int copies = randomBetween(1, 100) <= network.duplicatePercent ? 2 : 1;
        for (int n = 0; n < copies; ++n)
            m_inboxes[message.toProcess].emplace(m_now + randomBetween(0, network.maxDelayMs),
                                                 message);
    }

    int32_t m_seats;
    std::mt19937_64 m_random;
    std::vector<std::string> m_keys;
    int64_t m_now = 0;
    int64_t m_nextProcess = 0;
    std::map<int64_t, Process> m_processes;
    std::map<int64_t, std::multimap<int64_t, Message>> m_inboxes;
    std::set<std::pair<SeatId, SeatId>> m_cuts;
    std::map<std::string, std::map<std::pair<int64_t, SeatId>, int64_t>> m_lastActs;
    std::optional<std::string> m_violation;
};

} // namespace cardamompaddle::simulation
