// The operators of a soak: publish configurations and withdraw keys.
#pragma once

#include "base/time.h"
#include "oracle.h"
#include "platform_emulator.h"

#include <cstdint>
#include <deque>
#include <string>

namespace cardamompaddle::soak {

namespace route {
inline constexpr const char *Host = "soak.example";
inline constexpr const char *Prefix = "/soak/";
inline constexpr const char *ApprovedPrefix = "/approved/"; // has a policy service
inline constexpr const char *Service = "s";
} // namespace route

class Operators
{
public:
    // Publishes the first configuration. `limitTasks` is the client account's limit; 0: none.
    Operators(emulator::PlatformEmulator &platform, Oracle &oracle,
              const emulator::PolicyOptions &policy, int limitTasks);
    // Publishes a new version; with `withdrawKey` without the oldest key.
    void change(bool withdrawKey, Instant now);
    // A key in use, seldom a withdrawn one. Callers don't use the newest one, which instances may
    // not know yet.
    std::string key(uint64_t random) const;

private:
    void addKey();
    void publish();

    emulator::PlatformEmulator &m_platform;
    Oracle &m_oracle;
    emulator::PolicyOptions m_policy;
    int m_limitTasks;
    std::deque<std::string> m_keys; // oldest first
    std::string m_withdrawn; // the latest one
    int m_keyCount = 0;
    int64_t m_version = 0;
};

} // namespace cardamompaddle::soak
