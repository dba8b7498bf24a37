#include "control/log_follower.h"

#include "logging/event_log.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {

namespace {

// Timeout of a call to the log, in addition to the time that the log may hold it.
constexpr Duration AnswerTimeout{1'500};

} // namespace

LogFollower::LogFollower(boost::asio::io_context &io, const Clock &clock, KeyedLog &log,
                         LogFollowerOptions options, Callbacks callbacks)
    : m_clock(clock), m_log(log), m_options(std::move(options)), m_callbacks(std::move(callbacks)),
      m_timer(io)
{ }

LogFollower::~LogFollower()
{
    *m_alive = false;
}

void LogFollower::start()
{
    loadPage("");
}

void LogFollower::runAfter(Duration delay, std::function<void()> action)
{
    m_timer.expireAfter(delay);
    m_timer.asyncWait(
        [alive = m_alive, action = std::move(action)](const boost::system::error_code &ec) {
            if (!ec && *alive)
                action();
        });
}

void LogFollower::onFailure(const Error &error)
{
    if (m_availableSince != Instant::max() || m_currentAsOf == Instant::min()) {
        m_availableSince = Instant::max();
        m_everUnavailable = true;
        if (m_callbacks.availability)
            m_callbacks.availability(true, error.reason);
    }
}

void LogFollower::onAnswered()
{
    if (m_availableSince == Instant::max()) {
        m_availableSince = m_everUnavailable ? m_clock.now() : Instant::min();
        if (m_callbacks.availability)
            m_callbacks.availability(false, "");
    }
}

void LogFollower::loadPage(const std::string &after)
{
    if (after.empty()) {
        m_loading = true;
        m_loadedKeys.clear();
        m_loadEnd = -1;
    }
    const Instant requestedAt = m_clock.now();
    m_log.readNewest(m_options.topic, after, AnswerTimeout,
                     [this, alive = m_alive, requestedAt](Result<NewestPage> page) {
                         if (*alive)
                             onPage(std::move(page), requestedAt);
                     });
}

void LogFollower::onPage(Result<NewestPage> page, Instant requestedAt)
{
    // The log reports a topic without any appends as not found. After a page it is an error.
    if (!page && page.error().code == ErrorCode::NotFound && m_loadEnd < 0)
        page = NewestPage{};
    if (!page)
        return onLoadFailure(page.error());
    // Pages are not a snapshot: reading continues from the topic's end at the time of the first
    // page.
    if (m_loadEnd < 0) {
        m_loadEnd = page->end;
        m_loadRequestedAt = requestedAt;
    }
    // Records of a page do not move the read position: one with a lower offset may have been stored
    // since, under a key of an earlier page.
    for (const KeyedRecord &record : page->records) {
        m_loadedKeys.insert(record.key);
        applyIfNewer(record);
    }
    if (page->more && !page->records.empty())
        return loadPage(page->records.back().key);
    m_nextOffset = std::max(m_nextOffset, m_loadEnd);
    m_loading = false;
    logInfo("log_loaded", "topic=" + m_options.topic
                              + " again=" + (std::exchange(m_loaded, true) ? "true" : "false")
                              + " keys=" + std::to_string(m_loadedKeys.size())
                              + " load_end=" + std::to_string(m_loadEnd)
                              + " read_on_from=" + std::to_string(m_nextOffset));
    onAnswered();
    m_currentAsOf = std::max(m_currentAsOf, m_loadRequestedAt);
    removeMissingKeys();
    if (m_callbacks.loaded)
        m_callbacks.loaded(m_loadedKeys);
    read();
    startNextRefresh();
}

// A key that the load did not find has been removed, unless its record is newer than the pages.
void LogFollower::removeMissingKeys()
{
    std::vector<std::string> removed;
    std::erase_if(m_known, [this, &removed](const auto &it) {
        const auto &[key, record] = it;
        const bool missing = record.offset < m_loadEnd && !m_loadedKeys.contains(key);
        if (missing && !record.removed)
            removed.push_back(key);
        return missing;
    });
    for (const std::string &key : removed)
        m_callbacks.record({key, "", true, m_loadEnd - 1});
}

void LogFollower::onLoadFailure(const Error &error)
{
    onFailure(error);
    for (const auto &callback : std::exchange(m_nextRefreshCallbacks, {}))
        callback(false);
    runAfter(m_options.retryDelay, [this] { loadPage(""); });
}

void LogFollower::read()
{
    const Instant requestedAt = m_clock.now();
    // After a failure the log does not hold the read, so that its answer shows at once that the log
    // is back, and a lost one is noticed sooner.
    const bool unavailable = m_availableSince == Instant::max();
    const Duration wait = unavailable ? Duration::zero() : m_options.readWait;
    m_log.read(m_options.topic, m_nextOffset, wait, wait + AnswerTimeout,
               [this, alive = m_alive, requestedAt, wait](Result<LogSlice> slice) {
                   if (*alive)
                       onRead(std::move(slice), requestedAt, wait);
               });
}

void LogFollower::onRead(Result<LogSlice> slice, Instant requestedAt, Duration wait)
{
    if (!slice && slice.error().code == ErrorCode::NotFound) {
        logWarn("log_expired", "topic=" + m_options.topic
                                   + " read_to=" + std::to_string(m_nextOffset) + " reason=\""
                                   + slice.error().reason + "\"");
        return loadPage("");
    }
    if (!slice) {
        onFailure(slice.error());
        return runAfter(m_options.retryDelay, [this] { read(); });
    }
    onAnswered();
    apply(slice->records);
    const bool hasRecords = !slice->records.empty();
    // The size of an answer is bounded.
    if (m_nextOffset < slice->end)
        return runAfter(hasRecords ? Duration::zero() : m_options.retryDelay, [this] { read(); });
    // An empty answer proves that nothing was appended until the wait ended.
    const Instant waitedUntil = std::min(requestedAt + wait, m_clock.now());
    m_currentAsOf = std::max(m_currentAsOf, hasRecords ? requestedAt : waitedUntil);
    if (hasRecords && m_options.pollInterval > Duration::zero())
        return runAfter(m_options.pollInterval, [this] { read(); });
    read();
}

void LogFollower::refresh(std::function<void(bool)> done)
{
    if (!m_loaded)
        return done(false);
    m_nextRefreshCallbacks.push_back(std::move(done));
    startNextRefresh();
}

void LogFollower::startNextRefresh()
{
    if (m_refreshing || m_loading || m_nextRefreshCallbacks.empty())
        return;
    m_refreshCallbacks = std::exchange(m_nextRefreshCallbacks, {});
    readForRefresh();
}

void LogFollower::readForRefresh()
{
    m_refreshing = true;
    const Instant requestedAt = m_clock.now();
    m_log.read(m_options.topic, m_nextOffset, Duration::zero(), m_options.refreshTimeout,
               [this, alive = m_alive, requestedAt](Result<LogSlice> slice) {
                   if (!*alive)
                       return;
                   bool current = false;
                   if (slice) {
                       onAnswered();
                       apply(slice->records);
                       current = m_nextOffset >= slice->end;
                       // The size of an answer is bounded.
                       if (!current && !slice->records.empty())
                           return readForRefresh();
                   }
                   if (current)
                       m_currentAsOf = std::max(m_currentAsOf, requestedAt);
                   for (const auto &callback : std::exchange(m_refreshCallbacks, {}))
                       callback(current);
                   m_refreshing = false;
                   startNextRefresh();
               });
}

void LogFollower::apply(const std::vector<KeyedRecord> &records)
{
    for (const KeyedRecord &record : records) {
        applyUnread(record);
        m_nextOffset = std::max(m_nextOffset, record.offset + 1);
    }
}

// The newest state of each key before the read position is known, although the offset of a removed
// one may not be.
void LogFollower::applyUnread(const KeyedRecord &record)
{
    if (record.offset >= m_nextOffset)
        applyIfNewer(record);
}

void LogFollower::applyIfNewer(const KeyedRecord &record)
{
    KnownRecord &known = m_known[record.key];
    if (record.offset <= known.offset)
        return;
    known = {record.offset, record.removed};
    m_callbacks.record(record);
}

void LogFollower::applyReceived(const std::vector<KeyedRecord> &records)
{
    if (!m_loaded)
        return;
    for (const KeyedRecord &record : records)
        applyUnread(record);
}

} // namespace cardamompaddle
