#include "control/record_publisher.h"

#include "logging/event_log.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {

namespace {

constexpr Duration FailureBackoff{1'000};
// Records beyond this number are dropped; the peer reads them from the log.
constexpr size_t MaxPendingRecords = 500;

} // namespace

RecordPublisher::RecordPublisher(const Clock &clock, PeerGateway &peers)
    : m_clock(clock), m_peers(peers)
{ }

RecordPublisher::~RecordPublisher()
{
    *m_alive = false;
}

void RecordPublisher::send(const std::string &address, const std::string &topic,
                           const std::vector<KeyedRecord> &records, int64_t end)
{
    Peer &peer = m_peersByAddress[address];
    if (m_clock.now() < peer.backoffUntil)
        return;
    peer.pending.topic = topic;
    peer.pending.topicEnd = std::max(peer.pending.topicEnd, end);
    for (const KeyedRecord &record : records) {
        if (peer.pending.records.size() >= MaxPendingRecords)
            break;
        work::StoredRecord out;
        out.key = record.key;
        out.value = record.value;
        out.removed = record.removed;
        out.offset = record.offset;
        peer.pending.records.push_back(std::move(out));
    }
    peer.hasPending = true;
    if (!peer.callInFlight)
        call(address, peer);
}

void RecordPublisher::call(const std::string &address, Peer &peer)
{
    peer.callInFlight = true;
    peer.hasPending = false;
    const work::StoredRecords records = std::exchange(peer.pending, {});
    m_peers.recordsStored(address, records,
                          [this, alive = m_alive, address](const Result<void> &answer) {
                              if (!*alive)
                                  return;
                              Peer &called = m_peersByAddress[address];
                              called.callInFlight = false;
                              if (!answer) {
                                  logWarn("feed_failed", "peer=" + address + " reason=\""
                                                             + answer.error().reason + "\"");
                                  called.backoffUntil = m_clock.now() + FailureBackoff;
                                  called.hasPending = false;
                                  called.pending = {};
                              }
                              if (called.hasPending)
                                  call(address, called);
                          });
}

} // namespace cardamompaddle
