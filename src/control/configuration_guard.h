// Decides whether the configuration that an instance holds may still be used to admit requests.
//
// An instance that cannot reach the log misses changes of the configuration, for example the
// withdrawal of a key, and has to learn of them before it decides again. It may use its
// configuration only if the log has confirmed lately that it is the newest, and if no peer has been
// seen to decide by a newer one since.
//
// Not thread-safe: use it only on the event loop's thread.
#pragma once

#include "control/log_follower.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace cardamompaddle {

class ConfigurationGuard
{
public:
    using Done = std::function<void(bool current)>;

    // For LogFollowerOptions::refreshTimeout.
    static constexpr Duration ReadTimeout{500};

    // `follower` reads the topic of the configuration. All references must outlive the guard.
    ConfigurationGuard(const Clock &clock, LogFollower &follower);
    ~ConfigurationGuard();
    ConfigurationGuard(const ConfigurationGuard &) = delete;
    ConfigurationGuard &operator=(const ConfigurationGuard &) = delete;

    // Handles a configuration that was read from the log.
    void applied(int64_t version);
    // Handles the version by which a peer has decided; 0 if it has told none.
    void seen(int64_t version, Instant now);
    // The newest version that was applied or seen; 0 if there was none.
    int64_t newestVersion() const;
    bool isCurrent(Instant now) const;
    // Calls `done` with isCurrent(). If it is not, the log is read first; `done` waits for the
    // answer unless the latest read failed too.
    void confirm(Instant now, Done done);
    // Reads the log if isCurrent() is false. Call it often: the read that the log holds for the
    // follower may have lost its connection.
    void refreshIfOutdated(Instant now);

private:
    void read(Instant now);

    const Clock &m_clock;
    LogFollower &m_follower;
    bool m_hasConfiguration = false;
    int64_t m_appliedVersion = 0;
    int64_t m_seenVersion = 0; // the newest one of a peer
    Instant m_seenAt = Instant::min();
    bool m_reading = false;
    bool m_readFailed = false; // the latest read has confirmed nothing
    Instant m_readAt = Instant::min(); // when the latest read began
    std::vector<Done> m_waiting; // for the read in progress
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // false: callbacks are dropped
};

} // namespace cardamompaddle
