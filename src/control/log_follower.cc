#include "control/log_follower.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {

namespace {

// Beside the time that the log holds a read.
constexpr Duration AnswerTimeout{1'500};
constexpr Duration RetryDelay{150};

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

void LogFollower::again(Duration wait, std::function<void()> action)
{
    m_timer.expires_after(wait);
    m_timer.async_wait(
        [alive = m_alive, action = std::move(action)](const boost::system::error_code &ec) {
            if (!ec && *alive)
                action();
        });
}

void LogFollower::failed(const Error &error)
{
    if (m_availableSince != Instant::max() || m_currentAsOf == Instant::min()) {
        m_availableSince = Instant::max();
        m_everLost = true;
        if (m_callbacks.availability)
            m_callbacks.availability(true, error.reason);
    }
}

void LogFollower::succeeded(Instant requestedAt)
{
    m_currentAsOf = std::max(m_currentAsOf, requestedAt);
    if (m_availableSince == Instant::max()) {
        m_availableSince = m_everLost ? m_clock.now() : Instant::min();
        if (m_callbacks.availability)
            m_callbacks.availability(false, "");
    }
}

void LogFollower::loadPage(const std::string &after)
{
    if (after.empty()) {
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
    // A topic that nobody has written to yet has no records.
    if (!page && page.error().code == ErrorCode::NotFound)
        page = NewestPage{};
    if (!page) {
        failed(page.error());
        return again(RetryDelay, [this] { loadPage(""); });
    }
    // Pages are no snapshot: reading goes on from the end as it was at the first.
    if (m_loadEnd < 0) {
        m_loadEnd = page->end;
        m_next = page->end;
    }
    for (const KeyedRecord &record : page->records)
        m_loadedKeys.insert(record.key);
    take(page->records);
    if (page->more && !page->records.empty())
        return loadPage(page->records.back().key);
    m_loaded = true;
    succeeded(requestedAt);
    if (m_callbacks.loaded)
        m_callbacks.loaded(m_loadedKeys);
    std::erase_if(m_offsets, [this](const auto &it) { return !m_loadedKeys.contains(it.first); });
    read();
}

void LogFollower::read()
{
    const Instant requestedAt = m_clock.now();
    m_log.read(m_options.topic, m_next, m_options.readWait, m_options.readWait + AnswerTimeout,
               [this, alive = m_alive, requestedAt](Result<LogSlice> slice) {
                   if (*alive)
                       onRead(std::move(slice), requestedAt);
               });
}

void LogFollower::onRead(Result<LogSlice> slice, Instant requestedAt)
{
    if (!slice && slice.error().code == ErrorCode::NotFound)
        return loadPage("");
    if (!slice) {
        failed(slice.error());
        return again(RetryDelay, [this] { read(); });
    }
    const bool any = !slice->records.empty();
    // A read that waited in vain proves that nothing came until its wait was over.
    succeeded(any ? requestedAt : std::min(requestedAt + m_options.readWait, m_clock.now()));
    take(slice->records);
    if (any && m_options.pollInterval > Duration::zero())
        return again(m_options.pollInterval, [this] { read(); });
    read();
}

void LogFollower::refresh(std::function<void(bool)> done)
{
    if (!m_loaded)
        return done(false);
    if (m_refreshing) {
        m_nextWaiters.push_back(std::move(done));
        return;
    }
    m_waiters.push_back(std::move(done));
    readNow();
}

void LogFollower::readNow()
{
    m_refreshing = true;
    const Instant requestedAt = m_clock.now();
    m_log.read(m_options.topic, m_next, Duration::zero(), AnswerTimeout,
               [this, alive = m_alive, requestedAt](Result<LogSlice> slice) {
                   if (!*alive)
                       return;
                   if (slice) {
                       succeeded(requestedAt);
                       take(slice->records);
                       // One answer holds a bounded number of bytes.
                       if (m_next < slice->end && !slice->records.empty())
                           return readNow();
                   }
                   for (const auto &waiter : std::exchange(m_waiters, {}))
                       waiter(slice.ok());
                   m_refreshing = false;
                   m_waiters = std::exchange(m_nextWaiters, {});
                   if (!m_waiters.empty())
                       readNow();
               });
}

void LogFollower::take(const std::vector<KeyedRecord> &records)
{
    for (const KeyedRecord &record : records) {
        takeNewer(record);
        if (m_loaded)
            m_next = std::max(m_next, record.offset + 1);
    }
}

void LogFollower::takeNewer(const KeyedRecord &record)
{
    int64_t &known = m_offsets.try_emplace(record.key, -1).first->second;
    if (record.offset <= known)
        return;
    known = record.offset;
    m_callbacks.record(record);
}

void LogFollower::offer(const std::vector<KeyedRecord> &records)
{
    if (!m_loaded)
        return;
    for (const KeyedRecord &record : records)
        takeNewer(record);
}

} // namespace cardamompaddle
