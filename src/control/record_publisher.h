// Publishes the records that this instance has stored to its peers, ahead of their next read of the
// log. Best effort: a peer that misses published records reads them from the log.
//
// Not thread-safe: use it only on the event loop's thread.
#pragma once

#include "control/gateways.h"
#include "platform/worker.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamompaddle {

class RecordPublisher
{
public:
    // `clock` and `peers` must outlive the publisher.
    RecordPublisher(const Clock &clock, PeerGateway &peers);
    ~RecordPublisher();
    RecordPublisher(const RecordPublisher &) = delete;
    RecordPublisher &operator=(const RecordPublisher &) = delete;

    // Sends the records to the peer at `address`; an empty list serves as a heartbeat. `end` is the
    // topic's end offset, 0 if unknown. While a call to the peer is in flight, records are queued
    // for the next one; after a failed call, records are dropped for a backoff time.
    void send(const std::string &address, const std::string &topic,
              const std::vector<KeyedRecord> &records, int64_t end);

private:
    struct Peer
    {
        bool callInFlight = false;
        bool hasPending = false; // `pending` is to be sent after the call in flight
        work::StoredRecords pending;
        Instant backoffUntil = Instant::min();
    };

    // Sends the pending records.
    void call(const std::string &address, Peer &peer);

    const Clock &m_clock;
    PeerGateway &m_peers;
    std::map<std::string, Peer> m_peersByAddress;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // false: callbacks are dropped
};

} // namespace cardamompaddle
