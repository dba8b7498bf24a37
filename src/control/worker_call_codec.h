// Conversion between the arguments and results of WorkerGateway and the structs in which instances
// exchange them. Pure functions; thread-safe.
#pragma once

#include "control/gateways.h"

#include <cstdint>
#include <map>
#include <string>

namespace cardamompaddle {

// Encoding of calls. The caller sets `id` and `timeoutMs`.

// Sets the fields that all kinds of call share.
work::WorkerCall encodeCall(work::WorkerCallKind::type kind, const WorkerEntry &worker,
                            const CommandFence &fence);
work::WorkerCall encodePoll(const WorkerEntry &worker, const CommandFence &fence,
                            int64_t acknowledged, Duration wait);
// The payload of the job is not part of the call: WorkerCalls holds it once for all its calls.
work::WorkerCall encodeStart(const WorkerEntry &worker, const CommandFence &fence,
                             const StartOrder &order);
work::WorkerCall encodeStop(const WorkerEntry &worker, const CommandFence &fence,
                            const StopOrder &order);
work::WorkerCall encodeThrottle(const WorkerEntry &worker, const CommandFence &fence,
                                const ThrottleOrder &order);

// Decoding of calls. Errors: InvalidArgument if the call names no task.

// Returns an entry with only the id and the address, which is all that a call needs.
WorkerEntry decodeWorkerOf(const work::WorkerCall &call);
// `epoch` is that of the batch; it takes the place of a token that the sender did not set.
CommandFence decodeFence(const work::WorkerCall &call, int64_t epoch);
// `payloads` are those of the batch. Errors: also InvalidArgument if the job's payload is missing.
Result<StartOrder> decodeStart(const work::WorkerCall &call,
                               const std::map<std::string, std::string> &payloads);
Result<StopOrder> decodeStop(const work::WorkerCall &call);
Result<ThrottleOrder> decodeThrottle(const work::WorkerCall &call);

// Encoding and decoding of answers. The decoders return the errors that the answers hold; one with
// an unknown name becomes OutcomeUnknown.
work::WorkerAnswer encodeError(int64_t id, const Error &error);
work::WorkerAnswer encodePollAnswer(int64_t id, const Result<PollResult> &answer);
work::WorkerAnswer encodeStartAnswer(int64_t id, const Result<StartAnswer> &answer);
work::WorkerAnswer encodeOrderAnswer(int64_t id, const Result<void> &answer);
Result<PollResult> decodePollAnswer(const work::WorkerAnswer &answer, Instant requestedAt);
Result<StartAnswer> decodeStartAnswer(const work::WorkerAnswer &answer);
Result<void> decodeOrderAnswer(const work::WorkerAnswer &answer);

} // namespace cardamompaddle
