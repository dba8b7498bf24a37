#include "control/publication_tree.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace cardamompaddle {

namespace {

constexpr Duration MinFailureBackoff{1'000};
constexpr Duration MaxFailureBackoff{4'000};
constexpr Duration LateHeadBackoff{1'000};

} // namespace

std::vector<PublicationRoute> PublicationTree::routes(std::vector<PublicationPeer> peers,
                                                      Instant now) const
{
    std::vector<PublicationRoute> out;
    if (peers.size() <= MaxDirectPeers) {
        for (PublicationPeer &peer : peers) {
            if (!isBackingOff(peer.address, now))
                out.push_back({std::move(peer.address), {}});
        }
        return out;
    }
    // Neighbours in this order share a group, so that groups rarely span availability zones.
    std::sort(peers.begin(), peers.end(), [](const PublicationPeer &a, const PublicationPeer &b) {
        return std::tie(a.availabilityZone, a.address) < std::tie(b.availabilityZone, b.address);
    });
    const auto groups = static_cast<size_t>(std::ceil(std::sqrt(peers.size())));
    for (size_t i = 0; i < groups; ++i) {
        const auto begin = peers.begin() + static_cast<std::ptrdiff_t>(peers.size() * i / groups);
        const auto end =
            peers.begin() + static_cast<std::ptrdiff_t>(peers.size() * (i + 1) / groups);
        addGroupRoutes({begin, end}, now, out);
    }
    return out;
}

void PublicationTree::addGroupRoutes(const std::vector<PublicationPeer> &group, Instant now,
                                     std::vector<PublicationRoute> &out) const
{
    const PublicationPeer *head = nullptr;
    for (const PublicationPeer &peer : group) {
        if (canBeHead(peer.address, now) && (head == nullptr || peer.cpuMilli > head->cpuMilli))
            head = &peer;
    }
    PublicationRoute headRoute;
    for (const PublicationPeer &peer : group) {
        const auto it = m_health.find(peer.address);
        const bool failed = it != m_health.end() && it->second.failures > 0;
        if (&peer == head)
            continue;
        if ((failed || head == nullptr) && !isBackingOff(peer.address, now))
            out.push_back({peer.address, {}});
        else
            headRoute.relayTo.push_back(peer.address);
    }
    if (head == nullptr)
        return;
    headRoute.address = head->address;
    out.push_back(std::move(headRoute));
}

bool PublicationTree::isBackingOff(const std::string &address, Instant now) const
{
    const auto it = m_health.find(address);
    return it != m_health.end() && now < it->second.backoffUntil;
}

bool PublicationTree::canBeHead(const std::string &address, Instant now) const
{
    const auto it = m_health.find(address);
    if (it == m_health.end())
        return true;
    const PeerHealth &health = it->second;
    return health.failures == 0 && !health.answerLate && now >= health.noHeadUntil;
}

void PublicationTree::callSucceeded(const std::string &address, Instant now)
{
    const auto it = m_health.find(address);
    if (it == m_health.end())
        return;
    if (std::exchange(it->second.answerLate, false))
        it->second.noHeadUntil = now + LateHeadBackoff;
    it->second.failures = 0;
    it->second.backoffUntil = Instant::min();
}

void PublicationTree::callFailed(const std::string &address, Instant now)
{
    PeerHealth &health = m_health[address];
    Duration backoff = MinFailureBackoff;
    for (int i = 0; i < health.failures && backoff < MaxFailureBackoff; ++i)
        backoff *= 2;
    ++health.failures;
    health.answerLate = false;
    health.backoffUntil = now + std::min(backoff, MaxFailureBackoff);
}

void PublicationTree::headTimedOut(const std::string &address)
{
    m_health[address].answerLate = true;
}

} // namespace cardamompaddle
