#include "control/configuration_guard.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {

namespace {

// A little longer than the log holds a read at the end of the topic, after which the configuration
// is confirmed again.
constexpr Duration MaxConfirmationAge{2'500};
constexpr Duration RetryDelay{200}; // after a read that failed

} // namespace

ConfigurationGuard::ConfigurationGuard(const Clock &clock, LogFollower &follower)
    : m_clock(clock), m_follower(follower)
{ }

ConfigurationGuard::~ConfigurationGuard()
{
    *m_alive = false;
}

void ConfigurationGuard::applied(int64_t version)
{
    m_hasConfiguration = true;
    m_appliedVersion = std::max(m_appliedVersion, version);
}

void ConfigurationGuard::seen(int64_t version, Instant now)
{
    if (version <= newestVersion())
        return;
    m_seenVersion = version;
    m_seenAt = now;
}

int64_t ConfigurationGuard::newestVersion() const
{
    return std::max(m_appliedVersion, m_seenVersion);
}

bool ConfigurationGuard::isCurrent(Instant now) const
{
    const Instant confirmedAt = m_follower.currentAsOf();
    // A read that began after a peer's version was seen settles which version is in force.
    return m_hasConfiguration && now - confirmedAt <= MaxConfirmationAge
           && (m_appliedVersion >= m_seenVersion || confirmedAt >= m_seenAt);
}

void ConfigurationGuard::confirm(Instant now, Done done)
{
    if (isCurrent(now))
        return done(true);
    if (m_readFailed) {
        read(now);
        return done(false);
    }
    m_waiting.push_back(std::move(done));
    read(now);
}

void ConfigurationGuard::refreshIfOutdated(Instant now)
{
    if (m_hasConfiguration && !isCurrent(now))
        read(now);
}

// Reads the log, unless a read is in progress or has just failed, and answers those who wait.
void ConfigurationGuard::read(Instant now)
{
    if (m_reading || (m_readFailed && now - m_readAt < RetryDelay))
        return;
    m_reading = true;
    m_readAt = now;
    m_follower.refresh([this, alive = m_alive](bool) {
        if (!*alive)
            return;
        const bool current = isCurrent(m_clock.now());
        m_reading = false;
        m_readFailed = !current;
        for (const Done &done : std::exchange(m_waiting, {}))
            done(current);
    });
}

} // namespace cardamompaddle
