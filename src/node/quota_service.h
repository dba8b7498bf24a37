// The coordinators that this member keeps, and the way of quota clients' reports to the
// coordinators of all teams.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "config/tables.h"
#include "limits/quota_client.h"
#include "limits/quota_coordinator.h"
#include "membership/membership.h"
#include "peer/peer_message.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamompaddle {

// Not thread-safe: control thread only.
class QuotaService
{
public:
    // The quota client of a pool owned by this process, or null.
    using FindClient = std::function<QuotaClient *(const std::string &pool)>;

    // `membership` and `peers` must outlive the service.
    QuotaService(const Membership &membership, PeerTransport &peers, FindClient findClient);

    // Keeps a coordinator for each team of the tables for which this member may act.
    void advance(const std::map<std::string, TeamSpec> &teams,
                 const std::vector<std::string> &pools, Instant now);
    // Tells the quota client which coordinators keep the limits of the teams.
    void assignCoordinators(QuotaClient &client, const std::map<std::string, TeamSpec> &teams,
                            Instant now) const;
    // Sends what the quota client has to report.
    void sendReports(QuotaClient &client, Instant now);
    // Answers a report; a Refusal if this member keeps no coordinator of the team.
    PeerBody handle(const QuotaRequest &request, Instant now);

    const std::map<std::string, QuotaCoordinator> &coordinators() const { return m_coordinators; }

private:
    void send(const QuotaRequest &request, Instant now);

    const Membership &m_membership;
    PeerTransport &m_peers;
    FindClient m_findClient;
    std::map<std::string, QuotaCoordinator> m_coordinators;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // for callbacks that may be late
};

} // namespace cardamompaddle
