#include "node/quota_service.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {
namespace {

constexpr Duration QuotaRequestTimeout{1'000};

std::string ownershipKey(const std::string &team)
{
    return "team/" + team;
}

} // namespace

QuotaService::QuotaService(const Membership &membership, PeerTransport &peers,
                           FindClient findClient)
    : m_membership(membership), m_peers(peers), m_findClient(std::move(findClient))
{ }

void QuotaService::advance(const std::map<std::string, TeamSpec> &teams,
                           const std::vector<std::string> &pools, Instant now)
{
    const Tenure tenure = m_membership.tenure();
    std::erase_if(m_coordinators, [&](const auto &it) {
        return !teams.contains(it.first) || !(it.second.tenure() == tenure)
               || !m_membership.mayAct(ownershipKey(it.first), now);
    });
    for (const auto &[name, spec] : teams) {
        const auto it = m_coordinators.find(name);
        if (it != m_coordinators.end()) {
            it->second.setPools(pools);
            // setLimit() cannot fail, because limits are validated when tables are applied.
            (void)it->second.setLimit(spec.limit);
            continue;
        }
        if (!m_membership.mayAct(ownershipKey(name), now))
            continue;
        auto coordinator = QuotaCoordinator::create(name, spec.limit, pools, tenure);
        if (coordinator)
            m_coordinators.emplace(name, std::move(*coordinator));
    }
}

void QuotaService::assignCoordinators(QuotaClient &client,
                                      const std::map<std::string, TeamSpec> &teams,
                                      Instant now) const
{
    for (const std::string &team : client.teams()) {
        if (!teams.contains(team))
            client.removeTeam(team);
    }
    const std::vector<SeatRow> rows = m_membership.rows(now);
    for (const auto &[name, spec] : teams) {
        const auto seat = m_membership.likelyOwner(ownershipKey(name), now);
        if (!seat)
            continue;
        const auto row = std::find_if(rows.begin(), rows.end(),
                                      [seat](const SeatRow &it) { return it.seat == *seat; });
        if (row != rows.end())
            client.setCoordinator(name, {row->seat, row->incarnation, row->generation});
    }
}

void QuotaService::sendReports(QuotaClient &client, Instant now)
{
    for (const QuotaRequest &request : client.takeDueRequests(now))
        send(request, now);
}

void QuotaService::send(const QuotaRequest &request, Instant now)
{
    const auto deliver = [this, pool = request.pool, alive = std::weak_ptr<bool>(m_alive)](
                             const Result<PeerBody> &body, Instant at) {
        if (alive.expired() || !body)
            return;
        const auto *answer = std::get_if<QuotaResponse>(&*body);
        QuotaClient *client = m_findClient(pool);
        if (answer != nullptr && client != nullptr)
            client->handle(*answer, at);
    };
    if (request.coordinator.seat == m_membership.tenure().seat)
        deliver(handle(request, now), now);
    else
        m_peers.request(request.coordinator.seat, request, QuotaRequestTimeout, deliver);
}

PeerBody QuotaService::handle(const QuotaRequest &request, Instant now)
{
    const auto it = m_coordinators.find(request.team);
    if (it == m_coordinators.end() || !m_membership.mayAct(ownershipKey(request.team), now))
        return Refusal{
            {ErrorCode::Unavailable, "this entry instance does not coordinate the team's limit"}};
    return it->second.handle(request, now);
}

} // namespace cardamompaddle
