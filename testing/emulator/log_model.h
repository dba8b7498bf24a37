// A model of the platform's log: topics of keyed records with conditional appends, producers with
// epochs and sequence numbers, a bounded history, and the newest record of each key.
//
// No I/O and no clock.
#pragma once

#include "control/gateways.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamompaddle::emulator {

// The producer of an append.
using Producer = AppendRequest::Writer;

enum class AppendStatus { Stored, EndMoved, Fenced, WrongSequence, TooLarge };

struct AppendReply
{
    AppendStatus status = AppendStatus::Stored;
    int64_t offset = 0; // Stored: of the first record
    int64_t end = 0; // Stored, EndMoved: of the topic
    int64_t expectedSequence = 0; // WrongSequence
};

struct ReadReply
{
    bool expired = false; // the records are not held any more; `first` is the first one that is
    int64_t first = 0; // first offset that is held
    LogSlice slice;
};

class LogModel
{
public:
    explicit LogModel(LogLimits limits) : m_limits(limits) { }

    // Stores all records or none. An append of no records only sets the producer's epoch.
    AppendReply append(const std::string &topic, const std::vector<KeyedRecord> &records,
                       std::optional<int64_t> expectedEnd, const std::optional<Producer> &producer);
    // Returns the records from offset `from` on, of at most about `maxBytes`.
    ReadReply read(const std::string &topic, int64_t from, size_t maxBytes) const;
    // Returns a page of the newest record of each key after the key `after`; none if the topic does
    // not exist.
    std::optional<NewestPage> newest(const std::string &topic, const std::string &after) const;
    // Returns the offset of the next record.
    int64_t end(const std::string &topic) const;
    // Drops the history of all topics. The newest record of each key stays.
    void forgetHistory();

private:
    struct ProducerState
    {
        int64_t epoch = -1;
        std::optional<int64_t> nextSequence; // none: any, after an empty append of a new epoch
        std::deque<std::pair<int64_t, AppendReply>> latest; // by sequence number
    };
    struct Topic
    {
        int64_t first = 0; // offset of history.front()
        std::deque<KeyedRecord> history;
        std::map<std::string, KeyedRecord> newest; // by key, without removed ones
        std::map<std::string, ProducerState> producers; // by name
    };
    static void store(Topic &topic, KeyedRecord record);
    // Returns the reply to an append that the producer's epoch or sequence number decides.
    static std::optional<AppendReply> decideByProducer(const ProducerState &state,
                                                       const Producer &producer);
    static void remember(ProducerState &state, const Producer &producer, const AppendReply &reply);

    LogLimits m_limits;
    std::map<std::string, Topic> m_topics;
};

} // namespace cardamompaddle::emulator
