// Runs this member's quota coordinators and delivers the quota clients' reports to the coordinators
// of all teams.
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
    // Returns the quota client of a pool that this process owns, or null.
    using FindClient = std::function<QuotaClient *(const std::string &pool)>;

    // `membership` and `peers` must outlive the service.
    QuotaService(const Membership &membership, PeerTransport &peers, FindClient findClient);

    // Runs one coordinator for each of `teams` for which this member may act. `pools`: names of the
    // pools in the tables.
    void advance(const std::map<std::string, TeamSpec> &teams,
                 const std::vector<std::string> &pools, Instant now);
    // Tells the quota client which member coordinates the limit of each team.
    void assignCoordinators(QuotaClient &client, const std::map<std::string, TeamSpec> &teams,
                            Instant now) const;
    // Sends the quota client's due reports.
    void sendReports(QuotaClient &client, Instant now);
    // Handles a report. Returns a Refusal if this member does not coordinate the team's limit.
    PeerBody handle(const QuotaRequest &request, Instant now);

    const std::map<std::string, QuotaCoordinator> &coordinators() const { return m_coordinators; }

private:
    void send(const QuotaRequest &request, Instant now);

    const Membership &m_membership;
    PeerTransport &m_peers;
    FindClient m_findClient;
    std::map<std::string, QuotaCoordinator> m_coordinators;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // expires with this object
};

} // namespace cardamompaddle
