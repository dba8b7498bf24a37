#include "net/internal/peer_convert.h"

#include <utility>
#include <variant>

namespace cardamompaddle {
namespace {

constexpr int32_t LastErrorCode = static_cast<int32_t>(ErrorCode::Internal);
constexpr int32_t LastWorkKind = static_cast<int32_t>(WorkKind::Service);

int64_t toWire(uint64_t value)
{
    return static_cast<int64_t>(value);
}

uint64_t fromWire(int64_t value)
{
    return static_cast<uint64_t>(value);
}

// Converts enum values and records whether one of them was unknown.
class EnumReader
{
public:
    template <typename Enum>
    Enum toEnum(int32_t value, int32_t last)
    {
        m_valid = m_valid && value >= 0 && value <= last;
        return static_cast<Enum>(value >= 0 && value <= last ? value : 0);
    }
    bool valid() const { return m_valid; }

private:
    bool m_valid = true;
};

// The following functions come in pairs: toWire() or setBody() converts to the generated struct,
// fromWire() from it.

wire::Tenure toWire(const Tenure &from)
{
    wire::Tenure to;
    to.seat = from.seat;
    to.incarnation = toWire(from.incarnation);
    to.generation = toWire(from.generation);
    return to;
}

Tenure fromWire(const wire::Tenure &from)
{
    return {from.seat, fromWire(from.incarnation), fromWire(from.generation)};
}

wire::JobKey toWire(const JobKey &from)
{
    wire::JobKey to;
    to.team = from.team;
    to.id = from.id;
    return to;
}

JobKey fromWire(wire::JobKey &&from)
{
    return {std::move(from.team), std::move(from.id)};
}

wire::Error toWire(const Error &from)
{
    wire::Error to;
    to.code = static_cast<int32_t>(from.code);
    to.reason = from.reason;
    return to;
}

Error fromWire(wire::Error &&from, EnumReader &enums)
{
    return {enums.toEnum<ErrorCode>(from.code, LastErrorCode), std::move(from.reason)};
}

wire::SeatView toWire(const SeatView &from)
{
    wire::SeatView to;
    to.seat = from.seat;
    to.incarnation = toWire(from.incarnation);
    to.generation = toWire(from.generation);
    to.synced = from.synced;
    to.left = from.left;
    to.lastHeardAgeMs = from.lastHeardAge.count();
    for (const Acknowledged &it : from.acknowledged) {
        wire::Acknowledged &row = to.acknowledged.emplace_back();
        row.seat = it.seat;
        row.incarnation = toWire(it.incarnation);
        row.generation = toWire(it.generation);
    }
    return to;
}

SeatView fromWire(const wire::SeatView &from)
{
    SeatView to{from.seat,
                fromWire(from.incarnation),
                fromWire(from.generation),
                from.synced,
                from.left,
                Duration(from.lastHeardAgeMs),
                {}};
    for (const wire::Acknowledged &it : from.acknowledged)
        to.acknowledged.push_back({it.seat, fromWire(it.incarnation), fromWire(it.generation)});
    return to;
}

wire::Heartbeat toWire(const Heartbeat &from)
{
    wire::Heartbeat to;
    to.sender = from.from;
    to.incarnation = toWire(from.incarnation);
    to.generation = toWire(from.generation);
    to.synced = from.synced;
    to.left = from.left;
    to.uptimeMs = from.uptime.count();
    for (const SeatView &it : from.table)
        to.table.push_back(toWire(it));
    return to;
}

Heartbeat fromWire(const wire::Heartbeat &from)
{
    Heartbeat to{from.sender,
                 fromWire(from.incarnation),
                 fromWire(from.generation),
                 from.synced,
                 from.left,
                 Duration(from.uptimeMs),
                 {}};
    for (const wire::SeatView &it : from.table)
        to.table.push_back(fromWire(it));
    return to;
}

void setBody(const HeartbeatMessage &from, wire::PeerBody &body)
{
    wire::HeartbeatMessage to;
    to.heartbeat = toWire(from.heartbeat);
    to.configNext = toWire(from.configNext);
    for (const LogRecord &it : from.configRecords) {
        wire::LogRecord &record = to.configRecords.emplace_back();
        record.offset = toWire(it.offset);
        record.data = it.data;
    }
    to.configSnapshot = from.configSnapshot;
    to.jobsNext = toWire(from.jobsNext);
    to.jobsKnownFrom = toWire(from.jobsKnownFrom);
    to.ownedPools = from.ownedPools;
    to.dominantShare = from.dominantShare;
    body.__set_heartbeat(to);
}

PeerBody fromWire(wire::HeartbeatMessage &&from, EnumReader &)
{
    HeartbeatMessage to;
    to.heartbeat = fromWire(from.heartbeat);
    to.configNext = fromWire(from.configNext);
    for (wire::LogRecord &it : from.configRecords)
        to.configRecords.push_back({fromWire(it.offset), std::move(it.data)});
    to.configSnapshot = std::move(from.configSnapshot);
    to.jobsNext = fromWire(from.jobsNext);
    to.jobsKnownFrom = fromWire(from.jobsKnownFrom);
    to.ownedPools = std::move(from.ownedPools);
    to.dominantShare = std::move(from.dominantShare);
    return to;
}

void setBody(const ForwardedRequest &from, wire::PeerBody &body)
{
    wire::ForwardedRequest to;
    to.spec.key = toWire(from.spec.key);
    to.spec.route = from.spec.route;
    to.spec.pool = from.spec.pool;
    to.spec.kind = static_cast<int32_t>(from.spec.kind);
    to.spec.tasks = from.spec.tasks;
    to.spec.urgency = from.spec.urgency;
    to.spec.perTask.cpuMilli = from.spec.perTask.cpuMilli;
    to.spec.perTask.memoryMb = from.spec.perTask.memoryMb;
    to.spec.perTask.accelerators = from.spec.perTask.accelerators;
    to.spec.perTask.slots = from.spec.perTask.slots;
    to.spec.perTask.connections = from.spec.perTask.connections;
    to.spec.repeatable = from.spec.repeatable;
    to.spec.payload = from.spec.payload;
    to.timeLeftMs = from.timeLeft.count();
    body.__set_forward(to);
}

PeerBody fromWire(wire::ForwardedRequest &&from, EnumReader &enums)
{
    ForwardedRequest to;
    wire::JobSpec &spec = from.spec;
    to.spec.key = fromWire(std::move(spec.key));
    to.spec.route = std::move(spec.route);
    to.spec.pool = std::move(spec.pool);
    to.spec.kind = enums.toEnum<WorkKind>(spec.kind, LastWorkKind);
    to.spec.tasks = spec.tasks;
    to.spec.urgency = spec.urgency;
    const wire::Resources &amounts = spec.perTask;
    to.spec.perTask = {amounts.cpuMilli, amounts.memoryMb, amounts.accelerators, amounts.slots,
                       amounts.connections};
    to.spec.repeatable = spec.repeatable;
    to.spec.payload = std::move(spec.payload);
    to.timeLeft = Duration(from.timeLeftMs);
    return to;
}

void setBody(const CancelRequest &from, wire::PeerBody &body)
{
    wire::CancelRequest to;
    to.key = toWire(from.key);
    to.pool = from.pool;
    body.__set_cancel(to);
}

PeerBody fromWire(wire::CancelRequest &&from, EnumReader &)
{
    return CancelRequest{fromWire(std::move(from.key)), std::move(from.pool)};
}

void setBody(const RequestAnswer &from, wire::PeerBody &body)
{
    wire::RequestAnswer to;
    to.ok = from.ok;
    to.output = from.output;
    to.worker = from.worker;
    to.error = toWire(from.error);
    to.executedUnknown = from.executed == Executed::Unknown;
    body.__set_answer(to);
}

PeerBody fromWire(wire::RequestAnswer &&from, EnumReader &enums)
{
    return RequestAnswer{from.ok, std::move(from.output), std::move(from.worker),
                         fromWire(std::move(from.error), enums),
                         from.executedUnknown ? Executed::Unknown : Executed::No};
}

void setBody(const WhyRequest &from, wire::PeerBody &body)
{
    wire::WhyRequest to;
    to.key = toWire(from.key);
    to.pool = from.pool;
    body.__set_why(to);
}

PeerBody fromWire(wire::WhyRequest &&from, EnumReader &)
{
    return WhyRequest{fromWire(std::move(from.key)), std::move(from.pool)};
}

void setBody(const WhyAnswer &from, wire::PeerBody &body)
{
    wire::WhyAnswer to;
    to.text = from.text;
    to.running = from.running;
    body.__set_whyAnswer(to);
}

PeerBody fromWire(wire::WhyAnswer &&from, EnumReader &)
{
    return WhyAnswer{std::move(from.text), from.running};
}

void setBody(const RowsRequest &from, wire::PeerBody &body)
{
    wire::RowsRequest to;
    to.view = from.view;
    body.__set_rows(to);
}

PeerBody fromWire(wire::RowsRequest &&from, EnumReader &)
{
    return RowsRequest{std::move(from.view)};
}

void setBody(const RowsAnswer &from, wire::PeerBody &body)
{
    wire::RowsAnswer to;
    to.json = from.json;
    body.__set_rowsAnswer(to);
}

PeerBody fromWire(wire::RowsAnswer &&from, EnumReader &)
{
    return RowsAnswer{std::move(from.json)};
}

void setBody(const QuotaRequest &from, wire::PeerBody &body)
{
    wire::BorrowRequest to;
    to.team = from.team;
    to.pool = from.pool;
    to.borrower = toWire(from.client);
    to.sequence = toWire(from.sequence);
    to.ledger = toWire(from.coordinator);
    to.part = from.allotment;
    to.running = from.running;
    to.wanted = from.wanted;
    to.complete = from.complete;
    body.__set_borrow(to);
}

PeerBody fromWire(wire::BorrowRequest &&from, EnumReader &)
{
    return QuotaRequest{std::move(from.team),
                        std::move(from.pool),
                        fromWire(from.borrower),
                        fromWire(from.sequence),
                        fromWire(from.ledger),
                        from.part,
                        from.running,
                        from.wanted,
                        from.complete};
}

void setBody(const QuotaResponse &from, wire::PeerBody &body)
{
    wire::BorrowAnswer to;
    to.team = from.team;
    to.pool = from.pool;
    to.borrower = toWire(from.client);
    to.sequence = toWire(from.sequence);
    to.ledger = toWire(from.coordinator);
    to.part = from.allotment;
    to.target = from.target;
    to.accepted = from.accepted;
    body.__set_borrowAnswer(to);
}

PeerBody fromWire(wire::BorrowAnswer &&from, EnumReader &)
{
    return QuotaResponse{std::move(from.team),
                         std::move(from.pool),
                         fromWire(from.borrower),
                         fromWire(from.sequence),
                         fromWire(from.ledger),
                         from.part,
                         from.target,
                         from.accepted};
}

void setBody(const Refusal &from, wire::PeerBody &body)
{
    wire::Refusal to;
    to.error = toWire(from.error);
    body.__set_refusal(to);
}

PeerBody fromWire(wire::Refusal &&from, EnumReader &enums)
{
    return Refusal{fromWire(std::move(from.error), enums)};
}

} // namespace

void toWireMessage(const PeerBody &body, wire::PeerMessage &message)
{
    message.kind = static_cast<int32_t>(body.index()) + 1;
    std::visit([&](const auto &it) { setBody(it, message.body); }, body);
}

Result<PeerBody> fromWireMessage(wire::PeerMessage &message)
{
    EnumReader enums;
    wire::PeerBody &body = message.body;
    const auto &set = body.__isset;
    int32_t kind = 0;
    int32_t setFields = 0;
    PeerBody found;
    // Called for each field of the union in the order of the field ids.
    const auto take = [&](bool isSet, auto &field) {
        ++kind;
        if (!isSet)
            return;
        ++setFields;
        if (kind == message.kind)
            found = fromWire(std::move(field), enums);
        else
            setFields = 2;
    };
    take(set.heartbeat, body.heartbeat);
    take(set.forward, body.forward);
    take(set.cancel, body.cancel);
    take(set.answer, body.answer);
    take(set.why, body.why);
    take(set.whyAnswer, body.whyAnswer);
    take(set.rows, body.rows);
    take(set.rowsAnswer, body.rowsAnswer);
    take(set.borrow, body.borrow);
    take(set.borrowAnswer, body.borrowAnswer);
    take(set.refusal, body.refusal);
    static_assert(std::variant_size_v<PeerBody> == 11, "the calls above must cover every message");
    if (setFields != 1)
        return Error{ErrorCode::InvalidArgument, "the kind does not match the body"};
    if (!enums.valid())
        return Error{ErrorCode::InvalidArgument, "an enum value is out of range"};
    return found;
}

} // namespace cardamompaddle
