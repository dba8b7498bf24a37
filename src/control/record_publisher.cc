#include "control/record_publisher.h"

#include "logging/event_log.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {

namespace {

constexpr Duration RestAfterFailure{1'000};
// More than that waits for the peer's next read.
constexpr size_t MostWaiting = 500;

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
    Peer &peer = m_byAddress[address];
    if (m_clock.now() < peer.backoffUntil)
        return;
    peer.next.topic = topic;
    peer.next.topicEnd = std::max(peer.next.topicEnd, end);
    for (const KeyedRecord &record : records) {
        if (peer.next.records.size() >= MostWaiting)
            break;
        work::StoredRecord out;
        out.key = record.key;
        out.value = record.value;
        out.removed = record.removed;
        out.offset = record.offset;
        peer.next.records.push_back(std::move(out));
    }
    peer.waiting = true;
    if (!peer.busy)
        call(address, peer);
}

void RecordPublisher::call(const std::string &address, Peer &peer)
{
    peer.busy = true;
    peer.waiting = false;
    const work::StoredRecords records = std::exchange(peer.next, {});
    m_peers.recordsStored(address, records,
                          [this, alive = m_alive, address](const Result<void> &answer) {
                              if (!*alive)
                                  return;
                              Peer &called = m_byAddress[address];
                              called.busy = false;
                              if (!answer) {
                                  logWarn("feed_failed", "peer=" + address + " reason=\""
                                                             + answer.error().reason + "\"");
                                  called.backoffUntil = m_clock.now() + RestAfterFailure;
                                  called.waiting = false;
                                  called.next = {};
                              }
                              if (called.waiting)
                                  call(address, called);
                          });
}

} // namespace cardamompaddle
