// Tells the other entry instances what this one has stored, so that they know it before they read
// the log. A hint without a promise: what is lost here is read later.
//
// Not thread-safe: the event loop's thread only.
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
    // All arguments must outlive the publisher.
    RecordPublisher(const Clock &clock, PeerGateway &peers);
    ~RecordPublisher();
    RecordPublisher(const RecordPublisher &) = delete;
    RecordPublisher &operator=(const RecordPublisher &) = delete;

    // Sends the records to the peer; without any it is a sign of life. `end`: of the topic; 0:
    // unknown. While a call to the peer is under way they wait for its end; after a failed call
    // they are dropped for a time.
    void send(const std::string &address, const std::string &topic,
              const std::vector<KeyedRecord> &records, int64_t end);

private:
    struct Peer
    {
        bool busy = false;
        bool waiting = false; // something is to be sent after the call under way
        work::StoredRecords next;
        Instant backoffUntil = Instant::min();
    };

    void call(const std::string &address, Peer &peer);

    const Clock &m_clock;
    PeerGateway &m_peers;
    std::map<std::string, Peer> m_byAddress;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cardamompaddle
