#include "log_model.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle::emulator {

namespace {

// A repetition of one of these many latest appends of a producer gets its first reply again.
constexpr size_t RememberedAppends = 5;
constexpr size_t MaxPageRecords = 500;
constexpr size_t MaxPageBytes = 1'000'000;

} // namespace

void LogModel::store(Topic &topic, KeyedRecord record)
{
    record.offset = topic.first + static_cast<int64_t>(topic.history.size());
    if (record.removed)
        topic.newest.erase(record.key);
    else
        topic.newest[record.key] = record;
    topic.history.push_back(std::move(record));
}

std::optional<AppendReply> LogModel::decideByProducer(const ProducerState &state,
                                                      const Producer &producer)
{
    if (producer.epoch < state.epoch)
        return AppendReply{.status = AppendStatus::Fenced};
    if (producer.epoch > state.epoch || !state.nextSequence)
        return std::nullopt;
    for (const auto &[sequence, reply] : state.latest) {
        if (sequence == producer.sequence)
            return reply;
    }
    if (producer.sequence == *state.nextSequence)
        return std::nullopt;
    return AppendReply{.status = AppendStatus::WrongSequence,
                       .expectedSequence = *state.nextSequence};
}

void LogModel::remember(ProducerState &state, const Producer &producer, const AppendReply &reply)
{
    state.nextSequence = producer.sequence + 1;
    state.latest.emplace_back(producer.sequence, reply);
    if (state.latest.size() > RememberedAppends)
        state.latest.pop_front();
}

AppendReply LogModel::append(const std::string &topicName, const std::vector<KeyedRecord> &records,
                             std::optional<int64_t> expectedEnd,
                             const std::optional<Producer> &producer)
{
    size_t bytes = 0;
    for (const KeyedRecord &it : records) {
        bytes += storedBytes(it);
        if (storedBytes(it) > m_limits.maxRecordBytes || bytes > m_limits.maxAppendBytes)
            return {.status = AppendStatus::TooLarge};
    }
    Topic &topic = m_topics[topicName];
    ProducerState *state = producer ? &topic.producers[producer->name] : nullptr;
    if (state != nullptr) {
        if (const auto decided = decideByProducer(*state, *producer))
            return *decided;
    }
    const int64_t offset = end(topicName);
    if (expectedEnd && *expectedEnd != offset)
        return {.status = AppendStatus::EndMoved, .end = offset};
    for (const KeyedRecord &it : records)
        store(topic, it);
    const AppendReply out{.offset = offset, .end = end(topicName)};
    if (state == nullptr)
        return out;
    if (producer->epoch > state->epoch)
        *state = {producer->epoch, std::nullopt, {}};
    if (!records.empty())
        remember(*state, *producer, out);
    return out;
}

ReadReply LogModel::read(const std::string &topicName, int64_t from, size_t maxBytes) const
{
    ReadReply out;
    const auto it = m_topics.find(topicName);
    if (it == m_topics.end())
        return out;
    const Topic &topic = it->second;
    out.first = topic.first;
    out.slice.end = end(topicName);
    out.expired = from < topic.first;
    size_t bytes = 0;
    for (int64_t offset = std::max(from, topic.first);
         !out.expired && offset < out.slice.end && bytes < maxBytes; ++offset) {
        out.slice.records.push_back(topic.history[static_cast<size_t>(offset - topic.first)]);
        bytes += storedBytes(out.slice.records.back());
    }
    return out;
}

std::optional<NewestPage> LogModel::newest(const std::string &topicName,
                                           const std::string &after) const
{
    const auto found = m_topics.find(topicName);
    if (found == m_topics.end())
        return std::nullopt;
    NewestPage out;
    out.end = end(topicName);
    const auto &newest = found->second.newest;
    size_t bytes = 0;
    for (auto it = after.empty() ? newest.begin() : newest.upper_bound(after); it != newest.end();
         ++it) {
        out.more = out.records.size() >= MaxPageRecords || bytes >= MaxPageBytes;
        if (out.more)
            break;
        out.records.push_back(it->second);
        bytes += storedBytes(it->second);
    }
    return out;
}

int64_t LogModel::end(const std::string &topic) const
{
    const auto it = m_topics.find(topic);
    return it == m_topics.end()
               ? 0
               : it->second.first + static_cast<int64_t>(it->second.history.size());
}

void LogModel::forgetHistory()
{
    for (auto &[name, topic] : m_topics) {
        topic.first += static_cast<int64_t>(topic.history.size());
        topic.history.clear();
    }
}

} // namespace cardamompaddle::emulator
