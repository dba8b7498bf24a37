// Decides from heartbeats alone which entry instance may act for a key ("pool/NAME", "team/NAME").
//
// A member has quorum while a majority of seats, itself included, has answered heartbeats that it
// sent within the quorum window S. A seat has lapsed if it is certain to have been without quorum
// at some instant and is not known to have regained it; a proof of this is a lapse certificate.
// F is the longest time for which a command of a paused member can still take effect at a worker.
// A member may act for a key when
//  - it has quorum,
//  - every seat that ranks above it for the key lapsed longer than F ago, and
//  - every other seat has acknowledged the member's generation or lapsed longer than F ago.
// The periods in which different members act for one key are therefore at least F apart.
//
// The safety proof rests on these rules; docs/design.md sections 2.2 and 2.3 give the reasons:
//  - Any two majorities share a seat. Answers that a new process sends count only after enough
//    other seats know its incarnation that no earlier process of its seat is answered any more.
//  - A lapse certificate covers each generation that began before the instant of the certificate.
//    A generation that began later needs the acknowledgement of the certificate's holder, who
//    withdraws the certificate before acknowledging.
//  - A member acts only while a majority has answered heartbeats that carried its present
//    generation. Of two members that act, one has therefore heard of the other through a shared
//    seat.
//
// Assumption: at any time, at most one seat has two running processes that both receive messages
// from other seats. With two such seats of three, a network split can form two cells that no count
// of seats can tell apart.
//
// Core: no I/O and no clock. Not thread-safe; used on the control thread only. Instants are on this
// process's monotonic clock and must not decrease from call to call.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "membership/heartbeat.h"
#include "membership/internal/lapse_detector.h"
#include "membership/internal/probe_tracker.h"
#include "membership/internal/seat_table.h"

#include <optional>
#include <string_view>
#include <vector>

namespace cardamompaddle {

struct MembershipOptions
{
    int32_t seatCount = 1; // must be the same at every member
    Duration heartbeatInterval{200};
    Duration quorumWindow{2000}; // S
    Duration sessionTtl{3000}; // workers refuse commands older than this

    // F: the time on the local clock after which every command sent earlier has taken effect or
    // will be refused.
    Duration lateWriteBound() const { return withDrift(sessionTtl); }
};

// One seat in the operators' view of the cell.
struct SeatRow
{
    SeatId seat = -1;
    uint64_t incarnation = 0; // 0 if no process of the seat is known
    uint64_t generation = 0; // 0 if this incarnation has not had quorum yet
    bool hasQuorum = false; // for other seats: as far as this member knows
    bool synced = false;
    bool left = false;
    bool acknowledgedGeneration = false; // has acknowledged this member's present generation
    Duration age{0}; // time since the last direct message from the seat
};

class Membership
{
public:
    // Creates a member whose startup grace period begins at `now`. `incarnation` must be above 0
    // and should be above those of earlier processes at the seat, as far as clocks allow. Errors:
    // InvalidArgument for a seat outside the seat list, an incarnation of 0, a heartbeat interval
    // that is not positive, a quorum window below two heartbeat intervals or a session TTL below
    // the quorum window.
    static Result<Membership> create(MembershipOptions options, SeatId self, uint64_t incarnation,
                                     Instant now);

    // Returns the present heartbeat, to be sent as a request or as an answer.
    Heartbeat heartbeat(Instant now) const;
    // Registers a heartbeat request to the seat `to` and returns its probe id. Call it before
    // heartbeat(now) builds the request and before any byte of it is sent.
    uint64_t heartbeatSent(SeatId to, Instant now);
    // Handles the answer to `probe`. Ignores it if the probe is unknown, was answered before or is
    // at least S old, or if the answer comes from a superseded incarnation.
    void heartbeatAnswered(SeatId from, uint64_t probe, const Heartbeat &answer, Instant now);
    // Handles a heartbeat request. Returns true if the caller must answer it at once with
    // heartbeat(now). Returns false if it must not be answered because the sender is superseded or
    // unknown, or because this process is superseded.
    [[nodiscard]] bool heartbeatReceived(const Heartbeat &request, Instant now);
    // Updates quorum, lapse certificates and acknowledgements for the time `now`. Call it at least
    // once per heartbeat interval.
    void advance(Instant now);

    // True if this member is synced and neither left nor superseded, a majority has answered within
    // S and the startup grace period is over. In a cell of one seat the first part suffices.
    bool hasQuorum(Instant now) const;
    // True if this member may act for `key`: no other member acts for it now or has a command for
    // it that can still take effect.
    bool mayAct(std::string_view key, Instant now) const;
    // Returns the seat that most likely acts for `key`, or empty if none is known. This is only a
    // hint for forwarding.
    std::optional<SeatId> likelyOwner(std::string_view key, Instant now) const;
    // Identifies this member's present or latest period of quorum. The generation is 0 before
    // quorum is first gained and rises with each gain. The incarnation may rise during the startup
    // grace period.
    Tenure tenure() const;
    // True if the seat is certain to have been without quorum at some instant up to `now` and is
    // not known to have regained it. False for the own seat.
    bool hasLapsed(SeatId seat, Instant now) const;
    // True if a newer process at the same seat is known. This process never has quorum again and
    // should exit.
    bool superseded() const { return m_superseded; }
    // True once the startup grace period is over.
    bool startupGraceOver() const { return m_startupGraceOver; }

    // Sets whether the configuration is synchronised. A member that is not synced loses quorum.
    void setSynced(bool synced);
    // Gives up quorum permanently. Call it only after every command sent has been answered.
    void announceLeft();

    // Returns one row per seat, ordered by seat.
    std::vector<SeatRow> rows(Instant now) const;

private:
    Membership(const MembershipOptions &options, SeatId self, uint64_t incarnation, Instant now);

    // Handling of messages, in membership.cc.
    // True if `message` comes from another known seat and from no process older than the latest
    // known one of that seat.
    bool isCurrent(const Heartbeat &message) const;
    void mergeHeartbeat(const Heartbeat &message, Instant now);
    void mergeOwnSeatView(SeatId from, const SeatView &row);
    void raiseIncarnationAbove(uint64_t known);
    void mergeSeatView(const SeatView &row, Instant now);
    void withdrawLapse(SeatId seat, Instant now);
    void recordLapse(SeatId seat, Instant at);
    Duration timeSinceHeard(SeatId seat, Instant now) const;
    std::vector<SeatId> otherSeats() const;

    // Quorum, startup grace period, lapses and acknowledgements, in quorum.cc.
    // Updates all state that depends on time. Runs before and after each change.
    void updateState(Instant now);
    void updateStartupGrace(Instant now);
    bool answeredContinuouslyFor(Duration span, Instant now) const;
    Duration startupGracePeriod() const;
    bool predecessorLeftCleanly() const;
    bool meetsQuorumConditions(Instant now) const;
    void gainQuorum(Instant now);
    void loseQuorum();
    void updateLapses(Instant now);
    std::vector<SeatView> ownReport(Instant now) const;
    void updateAcknowledgements(Instant now);

    // Ownership, in ownership.cc.
    bool lapsedLongerThanF(SeatId seat, Instant now) const;
    bool acknowledgedBy(SeatId seat) const;
    bool othersAcknowledgedOrLapsed(Instant now) const;
    bool reportsGenerationEnded(SeatId seat) const;
    bool seemsToHaveQuorum(SeatId seat, Instant now) const;

    MembershipOptions m_options;
    SeatId m_self;
    uint64_t m_incarnation;
    uint64_t m_generation = 0;
    Instant m_createdAt;
    Instant m_latestNow; // latest `now` passed to any update
    bool m_synced = false;
    bool m_left = false;
    bool m_superseded = false;
    bool m_startupGraceSkipped = false; // the seat's previous process left cleanly
    // Set once no other seat answers an earlier process of this seat any more.
    std::optional<Instant> m_establishedAt;
    // Set once no command of an earlier process can take effect any more.
    bool m_startupGraceOver = false;
    bool m_hasQuorum = false;
    Instant m_mayActFrom; // earliest time to act in the present generation
    internal::ProbeTracker m_probes;
    internal::SeatTable m_table;
    internal::LapseDetector m_lapseDetector;
};

} // namespace cardamompaddle
