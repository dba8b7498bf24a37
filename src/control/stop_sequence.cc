#include "control/stop_sequence.h"

#include <algorithm>
#include <array>

namespace cardamompaddle {

namespace {

// Requests on connections that were accepted last are on their way for this long.
constexpr Duration LastRequestDelay{100};
// Clients that have received a response read it and close an ended connection within this time.
constexpr Duration CloseTimeout{500};
// The last responses are written within this time.
constexpr Duration LastResponseTime{300};

} // namespace

std::string_view stopActionName(StopAction action)
{
    static constexpr std::array<std::string_view, 5> Names = {
        "wait", "stop_accepting", "close_idle_connections", "abandon_requests", "exit"};
    return Names[static_cast<size_t>(action)];
}

StopSequence::StopSequence(Instant outOfRotationAt, Instant deadline)
    : m_outOfRotationAt(outOfRotationAt), m_deadline(std::max(outOfRotationAt, deadline))
{ }

StopAction StopSequence::decide(const StopStatus &status, Instant now)
{
    if (status.openRequests > 0)
        m_lastRequestAt = now;
    if (m_phase == Phase::InRotation && now >= m_outOfRotationAt)
        return enter(Phase::Accepted, StopAction::StopAccepting, now);
    if (m_phase == Phase::Accepted && now - m_phaseBeganAt >= LastRequestDelay)
        return enter(Phase::Draining, StopAction::CloseIdleConnections, now);
    if (mayExit(status, now))
        return StopAction::Exit;
    if (m_phase == Phase::Draining && now >= m_deadline)
        return enter(Phase::Abandoned, StopAction::AbandonRequests, now);
    return StopAction::Wait;
}

StopAction StopSequence::enter(Phase phase, StopAction action, Instant now)
{
    m_phase = phase;
    m_phaseBeganAt = now;
    return action;
}

bool StopSequence::mayExit(const StopStatus &status, Instant now) const
{
    if (m_phase == Phase::Abandoned)
        return status.openConnections == 0 || now - m_phaseBeganAt >= LastResponseTime;
    const Duration idle = now - std::max(m_phaseBeganAt, m_lastRequestAt);
    return m_phase == Phase::Draining && status.tenureEnded && status.openRequests == 0
           && (status.openConnections == 0 || idle >= CloseTimeout);
}

} // namespace cardamompaddle
