// Publishes the records that this instance has stored to its peers, ahead of their next read of the
// log, and relays what others have published. Best effort: a peer that misses published records
// reads them from the log.
//
// Not thread-safe: use it only on the event loop's thread.
#pragma once

#include "admission/backlog_summary.h"
#include "control/gateways.h"
#include "control/publication_tree.h"
#include "platform/worker.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cardamompaddle {

// What the scheduler tells all peers.
struct Publication
{
    int64_t epoch = 0; // of the tenure
    Instant activeAt; // when the scheduler last had something stored
    Duration appendTime{0}; // average duration of the scheduler's appends; 0 if unknown
    std::string topic;
    std::vector<KeyedRecord> records;
    int64_t end = 0; // of the topic after the records
    std::optional<BacklogSummary> backlog; // set if it is to be told
};

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
    // Sends the publication to all peers, through relays if there are many. What a relay does not
    // take in time is sent to its group directly.
    void publish(const std::vector<PublicationPeer> &peers, const Publication &publication);
    // Sends a received publication on to the peers that it names.
    void relay(work::StoredRecords publication);

private:
    using Target = std::pair<std::string, std::string>; // address and topic
    struct Queue
    {
        bool callInFlight = false;
        Instant sentAt = Instant::min();
        work::StoredRecords relayed; // message of the call in flight if it is to be relayed
        bool hasPending = false; // `pending` is to be sent after the call in flight
        work::StoredRecords pending;
    };

    void enqueue(const std::string &address, const work::StoredRecords &message);
    // Sends the pending records.
    void call(const Target &target, Queue &queue);
    void onAnswer(const Target &target, const Result<void> &answer);
    // Sends what waits for the answer of a relay to the rest of its group directly.
    void bypassRelay(Queue &queue);
    void bypassLateRelays();
    void logLoad();

    const Clock &m_clock;
    PeerGateway &m_peers;
    PublicationTree m_tree;
    std::map<Target, Queue> m_queues;
    int64_t m_calls = 0; // since m_loadLoggedAt
    int64_t m_failedCalls = 0;
    int64_t m_bypassedRelays = 0;
    Instant m_loadLoggedAt = Instant::min();
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // false: callbacks are dropped
};

} // namespace cardamompaddle
