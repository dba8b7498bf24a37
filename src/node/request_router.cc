#include "node/request_router.h"

#include "node/pool_owner.h"

#include <utility>
#include <vector>

namespace cardamompaddle {
namespace {

constexpr Duration RetryDelay{50};
constexpr Duration CancelTimeout{2'000};
// The pool's owner ends a request at its deadline. Its answer says whether the request ran, so this
// instance waits a little longer for it.
constexpr Duration DeadlineGrace{500};

RequestAnswer failedAnswer(ErrorCode code, std::string reason, Executed executed)
{
    RequestAnswer answer;
    answer.error = {code, std::move(reason)};
    answer.executed = executed;
    return answer;
}

} // namespace

RequestRouter::RequestRouter(const Membership &membership, PeerTransport &peers, SeatId self,
                             LocalOwner localOwner)
    : m_membership(membership), m_peers(peers), m_self(self), m_localOwner(std::move(localOwner))
{ }

RequestRouter::~RequestRouter() = default;

uint64_t RequestRouter::submit(JobSpec spec, Instant deadline, RequestDone done, Instant now)
{
    const uint64_t id = m_nextId++;
    RoutedRequest &request = m_pending[id];
    request.spec = std::move(spec);
    request.deadline = deadline;
    request.done = std::move(done);
    request.nextAttempt = now;
    attempt(id, now);
    return id;
}

void RequestRouter::attempt(uint64_t id, Instant now)
{
    RoutedRequest &request = m_pending.at(id);
    if (PoolOwner *owner = m_localOwner(request.spec.pool, now)) {
        request.inFlight = true;
        request.sentTo = -1;
        owner->request(
            request.spec, request.deadline,
            [this, id, alive = std::weak_ptr<bool>(m_alive)](const RequestAnswer &answer,
                                                             Instant at) {
                if (!alive.expired())
                    answered(id, answer, at);
            },
            now);
        return;
    }
    const auto seat = m_membership.likelyOwner("pool/" + request.spec.pool, now);
    if (seat && *seat != m_self)
        forward(id, request, *seat, now);
    else
        request.nextAttempt = now + RetryDelay;
}

void RequestRouter::forward(uint64_t id, RoutedRequest &request, SeatId to, Instant now)
{
    const Duration timeLeft = request.deadline - now;
    request.inFlight = true;
    request.sentTo = to;
    m_peers.request(
        to, ForwardedRequest{request.spec, timeLeft}, timeLeft + DeadlineGrace,
        [this, id, alive = std::weak_ptr<bool>(m_alive)](const Result<PeerBody> &body, Instant at) {
            if (!alive.expired())
                answered(id, answerOf(body), at);
        });
}

RequestAnswer RequestRouter::answerOf(const Result<PeerBody> &body)
{
    if (!body) {
        const bool notSent = body.error().code == ErrorCode::Unavailable;
        return failedAnswer(body.error().code, body.error().reason,
                            notSent ? Executed::No : Executed::Unknown);
    }
    if (const auto *answer = std::get_if<RequestAnswer>(&*body))
        return *answer;
    if (const auto *refusal = std::get_if<Refusal>(&*body))
        return failedAnswer(refusal->error.code, refusal->error.reason, Executed::No);
    return failedAnswer(ErrorCode::OutcomeUnknown, "the peer sent an answer of an unexpected type",
                        Executed::Unknown);
}

void RequestRouter::answered(uint64_t id, RequestAnswer answer, Instant now)
{
    const auto it = m_pending.find(id);
    if (it == m_pending.end())
        return;
    RoutedRequest &request = it->second;
    request.inFlight = false;
    if (!answer.ok && answer.executed == Executed::Unknown)
        request.mayHaveRun = true;
    const bool ownerUnavailable = answer.error.code == ErrorCode::Unavailable
                                  || answer.error.code == ErrorCode::OutcomeUnknown;
    const bool mayRepeat = answer.executed == Executed::No || request.spec.repeatable;
    if (answer.ok || !ownerUnavailable || !mayRepeat || now + RetryDelay >= request.deadline)
        finish(id, std::move(answer), now);
    else
        request.nextAttempt = now + RetryDelay;
}

void RequestRouter::finish(uint64_t id, RequestAnswer answer, Instant now)
{
    const auto node = m_pending.extract(id);
    // An earlier attempt may have run, whatever the outcome of the last one.
    if (!answer.ok && node.mapped().mayHaveRun) {
        answer.executed = Executed::Unknown;
        answer.error.code = ErrorCode::OutcomeUnknown;
    }
    node.mapped().done(answer, now);
}

void RequestRouter::cancel(uint64_t id, Instant now)
{
    const auto it = m_pending.find(id);
    if (it == m_pending.end())
        return;
    const auto node = m_pending.extract(it);
    const RoutedRequest &request = node.mapped();
    if (!request.inFlight)
        return;
    if (request.sentTo >= 0)
        m_peers.request(request.sentTo, CancelRequest{request.spec.key, request.spec.pool},
                        CancelTimeout, [](const Result<PeerBody> &, Instant) {});
    else if (PoolOwner *owner = m_localOwner(request.spec.pool, now))
        owner->cancelRequest(request.spec.key, now);
}

void RequestRouter::advance(Instant now)
{
    std::vector<uint64_t> due;
    std::vector<uint64_t> overdue;
    for (const auto &[id, request] : m_pending) {
        if (now >= request.deadline + (request.inFlight ? 2 * DeadlineGrace : Duration(0)))
            overdue.push_back(id);
        else if (!request.inFlight && now >= request.nextAttempt)
            due.push_back(id);
    }
    for (const uint64_t id : overdue) {
        const bool inFlight = m_pending.at(id).inFlight;
        finish(id,
               inFlight ? failedAnswer(ErrorCode::OutcomeUnknown, "no answer before the deadline",
                                       Executed::Unknown)
                        : failedAnswer(ErrorCode::DeadlineExceeded,
                                       "no owner of the pool could be reached before the deadline",
                                       Executed::No),
               now);
    }
    for (const uint64_t id : due) {
        if (m_pending.contains(id))
            attempt(id, now);
    }
}

} // namespace cardamompaddle
