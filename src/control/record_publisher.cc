#include "control/record_publisher.h"

#include "control/backlog_codec.h"
#include "logging/event_log.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {

namespace {

// Records beyond this number are dropped; the peer reads them from the log.
constexpr size_t MaxPendingRecords = 500;
// A relay that has not answered for this time is bypassed. Less than the interval between two
// heartbeats, so that its group gets the next one in time.
constexpr Duration RelayAnswerTimeout{180};
constexpr Duration LoadLogInterval{1'000};

work::StoredRecords encode(const std::string &topic, const std::vector<KeyedRecord> &records,
                           int64_t end)
{
    work::StoredRecords out;
    out.topic = topic;
    out.topicEnd = end;
    out.records.reserve(records.size());
    for (const KeyedRecord &record : records) {
        work::StoredRecord stored;
        stored.key = record.key;
        stored.value = record.value;
        stored.removed = record.removed;
        stored.offset = record.offset;
        out.records.push_back(std::move(stored));
    }
    return out;
}

// Appends a message for the same topic. Receivers of either get both.
void merge(work::StoredRecords &into, const work::StoredRecords &from)
{
    into.topic = from.topic;
    into.topicEnd = std::max(into.topicEnd, from.topicEnd);
    if (from.epoch > into.epoch) {
        into.publishedAtMs = 0;
        into.__isset.backlog = false;
    }
    if (from.epoch >= into.epoch) {
        into.epoch = from.epoch;
        into.publishedAtMs = std::max(into.publishedAtMs, from.publishedAtMs);
        into.appendMs = from.appendMs;
        if (from.__isset.backlog)
            into.__set_backlog(from.backlog);
    }
    const size_t room = MaxPendingRecords - std::min(MaxPendingRecords, into.records.size());
    const size_t taken = std::min(room, from.records.size());
    into.records.insert(into.records.end(), from.records.begin(),
                        from.records.begin() + static_cast<std::ptrdiff_t>(taken));
    for (const std::string &address : from.relayTo) {
        if (std::find(into.relayTo.begin(), into.relayTo.end(), address) == into.relayTo.end())
            into.relayTo.push_back(address);
    }
}

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
    enqueue(address, encode(topic, records, end));
}

void RecordPublisher::publish(const std::vector<PublicationPeer> &peers,
                              const Publication &publication)
{
    const Instant now = m_clock.now();
    bypassLateRelays();
    work::StoredRecords message = encode(publication.topic, publication.records, publication.end);
    message.epoch = publication.epoch;
    message.appendMs = publication.appendTime.count();
    message.publishedAtMs = toMs(publication.activeAt);
    if (publication.backlog)
        message.__set_backlog(encodeBacklog(*publication.backlog));
    for (PublicationRoute &route : m_tree.routes(peers, now)) {
        message.relayTo = std::move(route.relayTo);
        enqueue(route.address, message);
    }
    logLoad();
}

void RecordPublisher::relay(work::StoredRecords publication)
{
    const std::vector<std::string> addresses = std::exchange(publication.relayTo, {});
    for (const std::string &address : addresses)
        enqueue(address, publication);
}

void RecordPublisher::enqueue(const std::string &address, const work::StoredRecords &message)
{
    if (m_tree.isBackingOff(address, m_clock.now()))
        return;
    const Target target{address, message.topic};
    Queue &queue = m_queues[target];
    merge(queue.pending, message);
    queue.hasPending = true;
    if (!queue.callInFlight)
        call(target, queue);
}

void RecordPublisher::call(const Target &target, Queue &queue)
{
    queue.callInFlight = true;
    queue.sentAt = m_clock.now();
    queue.hasPending = false;
    const work::StoredRecords message = std::exchange(queue.pending, {});
    queue.relayed = message.relayTo.empty() ? work::StoredRecords{} : message;
    ++m_calls;
    m_peers.recordsStored(target.first, message,
                          [this, alive = m_alive, target](const Result<void> &answer) {
                              if (*alive)
                                  onAnswer(target, answer);
                          });
}

void RecordPublisher::onAnswer(const Target &target, const Result<void> &answer)
{
    const std::string &address = target.first;
    Queue &queue = m_queues[target];
    queue.callInFlight = false;
    if (answer) {
        m_tree.callSucceeded(address, m_clock.now());
        queue.relayed = {};
    } else {
        logWarn("feed_failed", "peer=" + address
                                   + " relayed_to=" + std::to_string(queue.relayed.relayTo.size())
                                   + " reason=\"" + answer.error().reason + "\"");
        ++m_failedCalls;
        m_tree.callFailed(address, m_clock.now());
        bypassRelay(queue);
        queue.hasPending = false;
        queue.pending = {};
    }
    if (queue.hasPending)
        call(target, queue);
}

void RecordPublisher::bypassRelay(Queue &queue)
{
    work::StoredRecords message = std::exchange(queue.relayed, {});
    if (queue.hasPending && !queue.pending.relayTo.empty())
        merge(message, queue.pending);
    if (message.relayTo.empty())
        return;
    ++m_bypassedRelays;
    queue.pending.relayTo.clear(); // what is pending goes to the called peer alone
    relay(std::move(message));
}

void RecordPublisher::bypassLateRelays()
{
    const Instant now = m_clock.now();
    for (auto &[target, queue] : m_queues) {
        const bool waits = queue.callInFlight && !queue.relayed.relayTo.empty();
        if (!waits || now - queue.sentAt < RelayAnswerTimeout)
            continue;
        m_tree.headTimedOut(target.first);
        bypassRelay(queue);
    }
}

// Logs the number of calls of the last interval.
void RecordPublisher::logLoad()
{
    const Instant now = m_clock.now();
    if (m_loadLoggedAt != Instant::min() && now - m_loadLoggedAt < LoadLogInterval)
        return;
    m_loadLoggedAt = now;
    logInfo("publish_load", "calls=" + std::to_string(std::exchange(m_calls, 0)) + " failed="
                                + std::to_string(std::exchange(m_failedCalls, 0)) + " bypassed="
                                + std::to_string(std::exchange(m_bypassedRelays, 0)));
}

} // namespace cardamompaddle
