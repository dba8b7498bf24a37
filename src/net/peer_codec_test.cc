// Tests of the encodings of peer messages and of the worker interface: round trips, and rejection
// of truncated, corrupted and oversized input.
#include "net/peer_codec.h"

#include "net/worker_protocol.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace cardamompaddle {
namespace {

template <typename T>
T any()
{
    return *rc::gen::arbitrary<T>();
}

std::string anyBytes()
{
    return any<std::string>();
}

Tenure anyTenure()
{
    return {any<int32_t>(), any<uint64_t>(), any<uint64_t>()};
}

JobKey anyKey()
{
    return {anyBytes(), anyBytes()};
}

Error anyError()
{
    return {static_cast<ErrorCode>(*rc::gen::inRange(0, 13)), anyBytes()};
}

Heartbeat anyHeartbeat()
{
    Heartbeat out{any<int32_t>(),
                  any<uint64_t>(),
                  any<uint64_t>(),
                  any<bool>(),
                  any<bool>(),
                  Duration(any<int32_t>()),
                  {}};
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        SeatView row{any<int32_t>(),
                     any<uint64_t>(),
                     any<uint64_t>(),
                     any<bool>(),
                     any<bool>(),
                     Duration(any<int32_t>()),
                     {}};
        row.acknowledged.assign(2, {any<int32_t>(), any<uint64_t>(), any<uint64_t>()});
        out.table.push_back(row);
    }
    return out;
}

PeerBody anyHeartbeatMessage()
{
    HeartbeatMessage out;
    out.heartbeat = anyHeartbeat();
    out.configNext = any<uint64_t>();
    out.configRecords = {{any<uint64_t>(), anyBytes()}};
    out.configSnapshot = anyBytes();
    out.jobsNext = any<uint64_t>();
    out.jobsKnownFrom = any<uint64_t>();
    out.ownedPools = {anyBytes(), "p"};
    out.dominantShare = {{anyBytes(), any<int64_t>()}};
    return out;
}

PeerBody anyForward()
{
    ForwardedRequest out;
    out.spec = {
        anyKey(),
        anyBytes(),
        anyBytes(),
        static_cast<WorkKind>(*rc::gen::inRange(0, 4)),
        any<int32_t>(),
        any<int32_t>(),
        Resources{any<int64_t>(), any<int64_t>(), any<int64_t>(), any<int64_t>(), any<int64_t>()},
        any<bool>(),
        anyBytes()};
    out.timeLeft = Duration(any<int32_t>());
    return out;
}

PeerBody anyBody()
{
    switch (*rc::gen::inRange(0, 11)) {
    case 0:
        return anyHeartbeatMessage();
    case 1:
        return anyForward();
    case 2:
        return CancelRequest{anyKey(), anyBytes()};
    case 3:
        return RequestAnswer{any<bool>(), anyBytes(), anyBytes(), anyError(),
                             any<bool>() ? Executed::Unknown : Executed::No};
    case 4:
        return WhyRequest{anyKey(), anyBytes()};
    case 5:
        return WhyAnswer{anyBytes(), *rc::gen::arbitrary<int32_t>()};
    case 6:
        return RowsRequest{anyBytes()};
    case 7:
        return RowsAnswer{anyBytes()};
    case 8:
        return QuotaRequest{anyBytes(),      anyBytes(),     anyTenure(),
                            any<uint64_t>(), anyTenure(),    any<int32_t>(),
                            any<int32_t>(),  any<int32_t>(), any<bool>()};
    case 9:
        return QuotaResponse{anyBytes(),  anyBytes(),     anyTenure(),    any<uint64_t>(),
                             anyTenure(), any<int32_t>(), any<int32_t>(), any<bool>()};
    default:
        return Refusal{anyError()};
    }
}

PeerEnvelope anyEnvelope()
{
    return {any<int32_t>(), any<uint64_t>(), any<uint64_t>(), anyBody()};
}

void expectSame(const HeartbeatMessage &a, const HeartbeatMessage &b)
{
    RC_ASSERT(a.heartbeat == b.heartbeat);
    RC_ASSERT(a.configNext == b.configNext);
    RC_ASSERT(a.configRecords.size() == b.configRecords.size());
    RC_ASSERT(a.configRecords[0].offset == b.configRecords[0].offset);
    RC_ASSERT(a.configRecords[0].data == b.configRecords[0].data);
    RC_ASSERT(a.configSnapshot == b.configSnapshot);
    RC_ASSERT(a.jobsNext == b.jobsNext);
    RC_ASSERT(a.jobsKnownFrom == b.jobsKnownFrom);
    RC_ASSERT(a.ownedPools == b.ownedPools);
    RC_ASSERT(a.dominantShare == b.dominantShare);
}

// Guards against a field that one direction of the conversion omits.
RC_GTEST_PROP(PeerCodecTest, RoundTrip, ())
{
    const PeerEnvelope sent = anyEnvelope();
    const auto bytes = encodePeer(sent);
    RC_ASSERT(bytes.ok());
    const auto got = decodePeer(*bytes);
    RC_ASSERT(got.ok());
    RC_ASSERT(got->from == sent.from);
    RC_ASSERT(got->id == sent.id);
    RC_ASSERT(got->answerTo == sent.answerTo);
    RC_ASSERT(got->body.index() == sent.body.index());
    // Equal bytes mean equal messages, except for fields that both directions omit. The checks
    // below detect those.
    RC_ASSERT(*encodePeer(*got) == *bytes);
    if (const auto *it = std::get_if<HeartbeatMessage>(&sent.body))
        expectSame(*it, std::get<HeartbeatMessage>(got->body));
    if (const auto *it = std::get_if<ForwardedRequest>(&sent.body)) {
        RC_ASSERT(std::get<ForwardedRequest>(got->body).spec == it->spec);
        RC_ASSERT(std::get<ForwardedRequest>(got->body).timeLeft == it->timeLeft);
    }
    if (const auto *it = std::get_if<RequestAnswer>(&sent.body)) {
        const auto &response = std::get<RequestAnswer>(got->body);
        RC_ASSERT(response.ok == it->ok && response.output == it->output);
        RC_ASSERT(response.worker == it->worker && response.error == it->error);
        RC_ASSERT(response.executed == it->executed);
    }
    if (const auto *it = std::get_if<QuotaRequest>(&sent.body))
        RC_ASSERT(std::get<QuotaRequest>(got->body) == *it);
    if (const auto *it = std::get_if<QuotaResponse>(&sent.body))
        RC_ASSERT(std::get<QuotaResponse>(got->body) == *it);
    if (const auto *it = std::get_if<Refusal>(&sent.body))
        RC_ASSERT(std::get<Refusal>(got->body).error == it->error);
}

// Guards against decoding a truncated message, with and without the hash check.
RC_GTEST_PROP(PeerCodecTest, RejectsTruncatedFrames, ())
{
    const auto bytes = encodePeer(anyEnvelope());
    const auto length = *rc::gen::inRange<size_t>(0, bytes->size());
    RC_ASSERT(!decodePeer(std::string_view(*bytes).substr(0, length)).ok());
    const std::string_view payload = std::string_view(*bytes).substr(8);
    const auto cut = *rc::gen::inRange<size_t>(0, payload.size());
    RC_ASSERT(!decodePeerPayload(payload.substr(0, cut)).ok());
}

// Guards against ignoring bytes after a message.
RC_GTEST_PROP(PeerCodecTest, RejectsTrailingBytes, ())
{
    const auto bytes = encodePeer(anyEnvelope());
    const auto extra = *rc::gen::nonEmpty(rc::gen::arbitrary<std::string>());
    RC_ASSERT(!decodePeer(*bytes + extra).ok());
    RC_ASSERT(!decodePeerPayload(bytes->substr(8) + extra).ok());
}

// Guards against decoding a frame that was corrupted in transit.
RC_GTEST_PROP(PeerCodecTest, RejectsCorruptedFrames, ())
{
    auto bytes = *encodePeer(anyEnvelope());
    const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
    bytes[at] = static_cast<char>(bytes[at] ^ *rc::gen::inRange(1, 256));
    RC_ASSERT(!decodePeer(bytes).ok());
}

// Guards against large allocations because of a length field in a hostile frame.
TEST(PeerCodecLimitsTest, LimitsSizes)
{
    const std::string huge(MaxPeerFrameBytes, 'x');
    EXPECT_EQ(encodePeer({0, 1, 0, RowsAnswer{huge}}).error().code, ErrorCode::TooLarge);
    EXPECT_FALSE(decodePeer(huge + "x").ok());
    const std::string claimsTwoGigabytes("\x5c\x3c\x5c\x18\xff\xff\xff\xff\x07", 9);
    EXPECT_FALSE(decodePeerPayload(claimsTwoGigabytes).ok());
}

// Guards against a field of the worker interface that one direction of the conversion omits.
TEST(WorkerProtocolTest, RoundTrip)
{
    const std::string bytes("\x01\"\xff\n", 4); // payloads need not be UTF-8
    const TaskId task{{"t", "j"}, 3};
    WorkerCommand command{"h", ~0ULL, 5, true, true, {}, {{task, 1}}, {{task, 2}}, {}, {}, {}};
    command.starts.push_back({task, 7, {1, 2, 3, 4, 5}, bytes, Duration(9), true, false, 8, true});
    command.throttles.push_back({{task, 4}, 250});
    command.acknowledged.push_back({task, 6});
    command.waitForFinish = Duration(77);
    const std::string text = encodeWorkerCommand(command);
    const auto got = decodeWorkerCommand(text);
    ASSERT_TRUE(got.ok());
    EXPECT_EQ(encodeWorkerCommand(*got), text);
    EXPECT_EQ(got->starts[0].payload, bytes);
    EXPECT_EQ(got->epoch, ~0ULL);
    EXPECT_TRUE(got->release && got->starts[0].fromCheckpoint && !got->starts[0].repeatable);
    EXPECT_EQ(got->waitForFinish, Duration(77));

    const RunningTask running{task,         2,   {1, 2, 3, 4, 5}, {6, 7, 8, 9, 10}, true, false, 4,
                              Duration(11), true};
    const FinishedTask finished{task, 2, TaskOutcome::LeaseLapsed, bytes, true};
    const auto report =
        decodeWorkerReport(encodeWorkerReport({12, {running}, {finished}, {{{task, 1}, "full"}}}));
    ASSERT_TRUE(report.ok());
    EXPECT_EQ(report->running[0], running);
    EXPECT_EQ(report->finished[0].outcome, TaskOutcome::LeaseLapsed);
    EXPECT_EQ(report->finished[0].output, bytes);
    EXPECT_EQ(report->rejectedStarts[0].second, "full");

    const WorkerInfo info{"w", "1.2.3.4:5", "z", "r", {{"a", "b"}}, {1, 2, 3, 4, 5}, true};
    EXPECT_EQ(decodeInstanceList(encodeInstanceList({info}))->at(0), info);
}

// Guards against accepting a command of which a part is malformed.
TEST(WorkerProtocolTest, RejectsMalformedCommands)
{
    for (const char *text : {"", "[]", "{}", R"({"holder":"h","epoch":1,"stamp":-1})",
                             R"({"holder":"h","epoch":1,"stamp":1,"starts":{}})",
                             R"({"holder":"h","epoch":1,"stamp":1,"stops":[{"team":"t"}]})",
                             R"({"holder":"h","epoch":1,"stamp":1,"renew":"yes"})"})
        EXPECT_FALSE(decodeWorkerCommand(text).ok()) << text;
}

} // namespace
} // namespace cardamompaddle
