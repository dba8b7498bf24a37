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

// Checks collected while converting; the first failure is reported.
class Reader
{
public:
    template <typename Enum>
    Enum enumOf(int32_t value, int32_t last)
    {
        m_valid = m_valid && value >= 0 && value <= last;
        return static_cast<Enum>(value >= 0 && value <= last ? value : 0);
    }
    bool valid() const { return m_valid; }

private:
    bool m_valid = true;
};

// In the following pairs, put() converts to the wire and get() from it.

wire::Tenure put(const Tenure &from)
{
    wire::Tenure to;
    to.seat = from.seat;
    to.incarnation = toWire(from.incarnation);
    to.generation = toWire(from.generation);
    return to;
}

Tenure get(const wire::Tenure &from)
{
    return {from.seat, fromWire(from.incarnation), fromWire(from.generation)};
}

wire::JobKey put(const JobKey &from)
{
    wire::JobKey to;
    to.team = from.team;
    to.id = from.id;
    return to;
}

JobKey get(wire::JobKey &&from)
{
    return {std::move(from.team), std::move(from.id)};
}

wire::Error put(const Error &from)
{
    wire::Error to;
    to.code = static_cast<int32_t>(from.code);
    to.reason = from.reason;
    return to;
}

Error get(wire::Error &&from, Reader &reader)
{
    return {reader.enumOf<ErrorCode>(from.code, LastErrorCode), std::move(from.reason)};
}

wire::SeatView put(const SeatView &from)
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

SeatView get(const wire::SeatView &from)
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

wire::Heartbeat put(const Heartbeat &from)
{
    wire::Heartbeat to;
    to.sender = from.from;
    to.incarnation = toWire(from.incarnation);
    to.generation = toWire(from.generation);
    to.synced = from.synced;
    to.left = from.left;
    to.uptimeMs = from.uptime.count();
    for (const SeatView &it : from.table)
        to.table.push_back(put(it));
    return to;
}

Heartbeat get(const wire::Heartbeat &from)
{
    Heartbeat to{from.sender,
                 fromWire(from.incarnation),
                 fromWire(from.generation),
                 from.synced,
                 from.left,
                 Duration(from.uptimeMs),
                 {}};
    for (const wire::SeatView &it : from.table)
        to.table.push_back(get(it));
    return to;
}

void put(const HeartbeatMessage &from, wire::PeerBody &body)
{
    wire::HeartbeatMessage to;
    to.heartbeat = put(from.heartbeat);
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

PeerBody get(wire::HeartbeatMessage &&from, Reader &)
{
    HeartbeatMessage to;
    to.heartbeat = get(from.heartbeat);
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

void put(const ForwardedRequest &from, wire::PeerBody &body)
{
    wire::ForwardedRequest to;
    to.spec.key = put(from.spec.key);
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

PeerBody get(wire::ForwardedRequest &&from, Reader &reader)
{
    ForwardedRequest to;
    wire::JobSpec &spec = from.spec;
    to.spec.key = get(std::move(spec.key));
    to.spec.route = std::move(spec.route);
    to.spec.pool = std::move(spec.pool);
    to.spec.kind = reader.enumOf<WorkKind>(spec.kind, LastWorkKind);
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

void put(const CancelRequest &from, wire::PeerBody &body)
{
    wire::CancelRequest to;
    to.key = put(from.key);
    to.pool = from.pool;
    body.__set_cancel(to);
}

PeerBody get(wire::CancelRequest &&from, Reader &)
{
    return CancelRequest{get(std::move(from.key)), std::move(from.pool)};
}

void put(const RequestAnswer &from, wire::PeerBody &body)
{
    wire::RequestAnswer to;
    to.ok = from.ok;
    to.output = from.output;
    to.worker = from.worker;
    to.error = put(from.error);
    to.executedUnknown = from.executed == Executed::Unknown;
    body.__set_answer(to);
}

PeerBody get(wire::RequestAnswer &&from, Reader &reader)
{
    return RequestAnswer{from.ok, std::move(from.output), std::move(from.worker),
                         get(std::move(from.error), reader),
                         from.executedUnknown ? Executed::Unknown : Executed::No};
}

void put(const WhyRequest &from, wire::PeerBody &body)
{
    wire::WhyRequest to;
    to.key = put(from.key);
    to.pool = from.pool;
    body.__set_why(to);
}

PeerBody get(wire::WhyRequest &&from, Reader &)
{
    return WhyRequest{get(std::move(from.key)), std::move(from.pool)};
}

void put(const WhyAnswer &from, wire::PeerBody &body)
{
    wire::WhyAnswer to;
    to.text = from.text;
    to.running = from.running;
    body.__set_whyAnswer(to);
}

PeerBody get(wire::WhyAnswer &&from, Reader &)
{
    return WhyAnswer{std::move(from.text), from.running};
}

void put(const RowsRequest &from, wire::PeerBody &body)
{
    wire::RowsRequest to;
    to.view = from.view;
    body.__set_rows(to);
}

PeerBody get(wire::RowsRequest &&from, Reader &)
{
    return RowsRequest{std::move(from.view)};
}

void put(const RowsAnswer &from, wire::PeerBody &body)
{
    wire::RowsAnswer to;
    to.json = from.json;
    body.__set_rowsAnswer(to);
}

PeerBody get(wire::RowsAnswer &&from, Reader &)
{
    return RowsAnswer{std::move(from.json)};
}

void put(const QuotaRequest &from, wire::PeerBody &body)
{
    wire::BorrowRequest to;
    to.team = from.team;
    to.pool = from.pool;
    to.borrower = put(from.client);
    to.sequence = toWire(from.sequence);
    to.ledger = put(from.coordinator);
    to.part = from.allotment;
    to.running = from.running;
    to.wanted = from.wanted;
    to.complete = from.complete;
    body.__set_borrow(to);
}

PeerBody get(wire::BorrowRequest &&from, Reader &)
{
    return QuotaRequest{std::move(from.team), std::move(from.pool),
                        get(from.borrower),   fromWire(from.sequence),
                        get(from.ledger),     from.part,
                        from.running,         from.wanted,
                        from.complete};
}

void put(const QuotaResponse &from, wire::PeerBody &body)
{
    wire::BorrowAnswer to;
    to.team = from.team;
    to.pool = from.pool;
    to.borrower = put(from.client);
    to.sequence = toWire(from.sequence);
    to.ledger = put(from.coordinator);
    to.part = from.allotment;
    to.target = from.target;
    to.accepted = from.accepted;
    body.__set_borrowAnswer(to);
}

PeerBody get(wire::BorrowAnswer &&from, Reader &)
{
    return QuotaResponse{std::move(from.team), std::move(from.pool),
                         get(from.borrower),   fromWire(from.sequence),
                         get(from.ledger),     from.part,
                         from.target,          from.accepted};
}

void put(const Refusal &from, wire::PeerBody &body)
{
    wire::Refusal to;
    to.error = put(from.error);
    body.__set_refusal(to);
}

PeerBody get(wire::Refusal &&from, Reader &reader)
{
    return Refusal{get(std::move(from.error), reader)};
}

} // namespace

void toWireMessage(const PeerBody &body, wire::PeerMessage &message)
{
    message.kind = static_cast<int32_t>(body.index()) + 1;
    std::visit([&](const auto &it) { put(it, message.body); }, body);
}

Result<PeerBody> fromWireMessage(wire::PeerMessage &message)
{
    Reader reader;
    wire::PeerBody &body = message.body;
    const auto &set = body.__isset;
    int32_t kind = 0;
    int32_t fields = 0;
    PeerBody found;
    const auto take = [&](bool isSet, auto &field) {
        ++kind;
        if (!isSet)
            return;
        ++fields;
        if (kind == message.kind)
            found = get(std::move(field), reader);
        else
            fields = 2;
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
    static_assert(std::variant_size_v<PeerBody> == 11, "one line above for each kind");
    if (fields != 1)
        return Error{ErrorCode::InvalidArgument, "the kind does not name the body"};
    if (!reader.valid())
        return Error{ErrorCode::InvalidArgument, "a value is out of range"};
    return found;
}

} // namespace cardamompaddle
