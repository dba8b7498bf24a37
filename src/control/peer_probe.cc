#include "control/peer_probe.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace cardamompaddle {

namespace {

constexpr Duration ProbeTimeout{150};

} // namespace

PeerProbe::PeerProbe(boost::asio::io_context &io, PeerGateway &peers, std::string topic)
    : m_peers(peers), m_topic(std::move(topic)), m_timer(io)
{ }

PeerProbe::~PeerProbe()
{
    *m_alive = false;
}

void PeerProbe::findAlive(std::vector<work::Member> candidates, Done done)
{
    const int round = ++m_round;
    m_candidates = std::move(candidates);
    m_answers.assign(m_candidates.size(), Answer::None);
    m_done = std::move(done);
    work::StoredRecords heartbeat;
    heartbeat.topic = m_topic;
    m_timer.expireAfter(m_candidates.empty() ? Duration::zero() : ProbeTimeout);
    m_timer.asyncWait([this, alive = m_alive, round](const boost::system::error_code &ec) {
        if (!ec && *alive && round == m_round)
            finishIfDecided(true);
    });
    for (size_t i = 0; i < m_candidates.size(); ++i) {
        m_peers.recordsStored(m_candidates[i].address, heartbeat,
                              [this, alive = m_alive, round, i](const Result<void> &answer) {
                                  if (!*alive || round != m_round)
                                      return;
                                  m_answers[i] = answer ? Answer::Alive : Answer::Failed;
                                  finishIfDecided(false);
                              });
    }
}

void PeerProbe::finishIfDecided(bool timedOut)
{
    if (!m_done)
        return;
    std::optional<work::Member> alive;
    for (size_t i = 0; i < m_candidates.size() && !alive; ++i) {
        if (m_answers[i] == Answer::None && !timedOut)
            return;
        if (m_answers[i] == Answer::Alive)
            alive = m_candidates[i];
    }
    m_timer.cancel();
    std::exchange(m_done, nullptr)(alive);
}

} // namespace cardamompaddle
