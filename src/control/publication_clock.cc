#include "control/publication_clock.h"

namespace cardamompaddle {

namespace {

constexpr Duration UsualDelay{250}; // between slow machines

} // namespace

std::optional<Instant> PublicationClock::publishedAt(int64_t epoch, int64_t publishedAtMs,
                                                     Instant now)
{
    if (epoch < m_epoch)
        return std::nullopt;
    const Duration difference = now - instantFromMs(publishedAtMs);
    // The clocks may have drifted apart since the offset was measured.
    const Duration elapsed = epoch == m_epoch ? now - m_offsetAt : Duration::zero();
    const Duration age = difference - m_offset - (withDrift(elapsed) - elapsed);
    if (epoch > m_epoch || age <= Duration::zero()) {
        m_epoch = epoch;
        m_offset = difference;
        m_offsetAt = now;
        return now;
    }
    return age <= UsualDelay ? now : now - age;
}

} // namespace cardamompaddle
