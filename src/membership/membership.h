// Decides which entry instance may act for a key ("pool/NAME", "team/NAME"), from heartbeats alone.
//
// A member has quorum while a majority of seats, itself included, has answered heartbeats that it
// sent within the quorum window S. It may act for a key when it has quorum, when every seat
// that the key prefers to it has surely lapsed, and when every other seat has acknowledged the
// member's generation or has surely lapsed. Times of acting are kept apart by F, the longest time
// for which a command of a paused member can still take effect at a worker.
//
// The proof rests on these rules; docs/design.md sections 2.2 and 2.3 give the reasons:
//  - Any two majorities share a seat. Answers of a new process count only after enough other seats
//    know its incarnation that no earlier process of its seat is answered any more.
//  - A certificate of lapse covers each generation that began before the instant of the
//    certificate. A generation that began later needs the acknowledgement of the certificate's
//    holder, who withdraws the certificate first.
//  - A member acts only while a majority has answered heartbeats that carried its present
//    generation, so of two members that act, one has heard of the other through a shared seat.
//
// Assumption: at any time at most one seat has two processes that both run and hear others. With
// two such seats of three, a network split can form two cells that no count of seats tells apart.
//
// Core: no I/O and no clock. Not thread-safe; control thread only. Instants are on this process's
// monotonic clock and must not decrease from call to call.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "membership/heartbeat.h"
#include "membership/internal/contacts.h"
#include "membership/internal/evidence.h"
#include "membership/internal/seat_table.h"

#include <optional>
#include <string_view>
#include <vector>

namespace cardamompaddle {

struct MembershipOptions
{
    int32_t seatCount = 1; // the same at every member
    Duration heartbeatInterval{200};
    Duration quorumWindow{2000}; // S
    Duration sessionTtl{3000}; // a worker refuses a command that is older than this

    // F: the local time after which every command written before has taken effect or is refused.
    Duration lateWriteBound() const { return withDrift(sessionTtl); }
};

// One row of the operators' view.
struct SeatRow
{
    SeatId seat = -1;
    uint64_t incarnation = 0; // 0: no process of the seat is known
    uint64_t generation = 0; // 0: this incarnation has not had quorum yet
    bool hasQuorum = false; // for other seats: as far as known here
    bool synced = false;
    bool left = false;
    bool acknowledgedUs = false; // it acknowledged this member's present generation
    Duration age{0}; // since the seat was last heard from directly
};

class Membership
{
public:
    // Starts the quiet start at `now`. `incarnation` is above 0, and above that of earlier
    // processes at the seat if the clocks allow. Errors: InvalidArgument for a seat outside
    // the list, an incarnation of 0, spans that are not positive, a quorum window below two
    // heartbeat intervals or a session TTL below the quorum window.
    static Result<Membership> create(MembershipOptions options, SeatId self, uint64_t incarnation,
                                     Instant now);

    // The present heartbeat, to send as a request or as an answer.
    Heartbeat heartbeat(Instant now) const;
    // Registers a heartbeat request to the seat `to` and returns its probe id. Call it before
    // heartbeat(now) builds the request and before any byte of it is sent.
    uint64_t heartbeatSent(SeatId to, Instant now);
    // Handles the answer to `probe`. Ignores it if the probe is unknown, was answered before or is
    // older than S, or if the answer comes from a superseded incarnation.
    void heartbeatAnswered(SeatId from, uint64_t probe, const Heartbeat &answer, Instant now);
    // Handles a request. Returns true if it must be answered, at once and with heartbeat(now), and
    // false if it must get no answer because its sender is superseded or unknown.
    [[nodiscard]] bool heartbeatReceived(const Heartbeat &request, Instant now);
    // Lets time pass: loss and gain of quorum, certificates, acknowledgements. Call it at least
    // once for each heartbeat interval.
    void advance(Instant now);

    // True if a majority answered within S and the quiet start is over.
    bool hasQuorum(Instant now) const;
    // True if no other member acts for `key` now, nor has a command for it that may still take
    // effect.
    bool mayAct(std::string_view key, Instant now) const;
    // The seat that most likely acts for `key`, for forwarding; a hint only. Empty if none is
    // known.
    std::optional<SeatId> likelyOwner(std::string_view key, Instant now) const;
    // Identity of the present quorum. The generation rises when quorum is gained; it is 0
    // before the first time. The incarnation may rise during the quiet start.
    Tenure tenure() const;
    // True if the seat was without quorum at some instant up to `now` and is not known to have
    // returned. False for the own seat.
    bool hasLapsed(SeatId seat, Instant now) const;
    // True if a newer process at the same seat is known; this one never has quorum again and
    // should exit.
    bool superseded() const { return m_superseded; }
    // True once the quiet start is over.
    bool startupGraceOver() const { return m_startupGraceOver; }

    // Whether the configuration is synchronised. A member that is not synced loses quorum.
    void setSynced(bool synced);
    // Gives up quorum for good. Call it after every command sent has been answered.
    void announceLeft();

    // One row for each seat.
    std::vector<SeatRow> rows(Instant now) const;

private:
    Membership(const MembershipOptions &options, SeatId self, uint64_t incarnation, Instant now);

    // Messages.
    bool isCurrent(const Heartbeat &message) const;
    void learnHeartbeat(const Heartbeat &message, Instant now);
    void learnOwnSeat(SeatId from, const SeatView &row);
    void adoptIncarnation(uint64_t above);
    void learnRow(const SeatView &row, Instant now);
    void withdrawLapse(SeatId seat, Instant now);
    void noteLapse(SeatId seat, Instant at);
    Duration silence(SeatId seat, Instant now) const;
    std::vector<SeatId> otherSeats() const;

    // Quorum, in quorum.cc.
    void settle(Instant now);
    void updateStartupGrace(Instant now);
    bool answeredFor(Duration span, Instant now) const;
    Duration startupGraceSpan() const;
    bool earlierProcessLeft() const;
    bool quorumConditions(Instant now) const;
    void gainQuorum(Instant now);
    void loseQuorum();
    void updateLapses(Instant now);
    std::vector<SeatView> ownReport(Instant now) const;
    void updateAcknowledgements(Instant now);

    // Ownership, in ownership.cc.
    bool lapsedForF(SeatId seat, Instant now) const;
    bool acknowledgedBy(SeatId seat) const;
    bool othersYield(Instant now) const;
    bool endedByOwnWord(SeatId seat) const;
    bool seemsToHaveQuorum(SeatId seat, Instant now) const;

    MembershipOptions m_options;
    SeatId m_self;
    uint64_t m_incarnation;
    uint64_t m_generation = 0;
    Instant m_createdAt;
    Instant m_lastSeen; // latest `now` of any call
    bool m_synced = false;
    bool m_left = false;
    bool m_superseded = false;
    bool m_skippedStartupGrace = false; // the seat's previous process had left cleanly
    std::optional<Instant> m_establishedAt; // no earlier process of the seat is answered any more
    bool m_startupGraceOver = false; // no command of an earlier process can take effect any more
    bool m_hasQuorum = false;
    Instant m_actFrom; // earliest time to act in the present generation
    internal::Contacts m_contacts;
    internal::SeatTable m_table;
    internal::Evidence m_evidence;
};

} // namespace cardamompaddle
