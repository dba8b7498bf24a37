// Finds out which of several peers is alive, to choose the successor of a tenure.
//
// Not thread-safe: use it only on the event loop's thread.
#pragma once

#include "control/gateways.h"
#include "control/timer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cardamompaddle {

class PeerProbe
{
public:
    // Receives the first candidate that is alive, in the order of the candidates; none if no
    // candidate has answered in time.
    using Done = std::function<void(const std::optional<work::Member> &)>;

    // `peers` must outlive the probe. Heartbeats are sent as publications for `topic`.
    PeerProbe(boost::asio::io_context &io, PeerGateway &peers, std::string topic);
    ~PeerProbe();
    PeerProbe(const PeerProbe &) = delete;
    PeerProbe &operator=(const PeerProbe &) = delete;

    // Sends a heartbeat to each candidate. Must not be called before the last `done` was called.
    void findAlive(std::vector<work::Member> candidates, Done done);

private:
    enum class Answer { None, Alive, Failed };
    // Calls `m_done` once no better candidate can answer any more, or if `timedOut`.
    void finishIfDecided(bool timedOut);

    PeerGateway &m_peers;
    std::string m_topic;
    Timer m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // false: callbacks are dropped
    int m_round = 0; // answers to an earlier round are ignored
    std::vector<work::Member> m_candidates;
    std::vector<Answer> m_answers; // by index of the candidate
    Done m_done;
};

} // namespace cardamompaddle
