// Decides by which peers publications reach all instances, so that the publisher makes about
// sqrt(n) calls instead of n: it calls the head of each group of peers, and the head relays to the
// rest of its group. Pure: no I/O and no clock.
#pragma once

#include "base/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace cardamompaddle {

struct PublicationPeer
{
    std::string address; // IP:PORT
    int64_t cpuMilli = 0; // processor of its machine; 0: unknown
    std::string availabilityZone; // empty: unknown
};

// One call of the publisher.
struct PublicationRoute
{
    std::string address; // of the called peer
    std::vector<std::string> relayTo; // peers that the called one relays to
};

class PublicationTree
{
public:
    // Up to this number of peers, each is called directly.
    static constexpr size_t MaxDirectPeers = 8;

    // Returns the calls that bring a publication to each peer once. A peer whose call has failed is
    // no head until a call to it succeeds. It is called directly once its backoff time is over and
    // is left to its group's head until then; without a head it gets nothing.
    std::vector<PublicationRoute> routes(std::vector<PublicationPeer> peers, Instant now) const;

    // Whether calls to the peer are withheld because the last one failed.
    bool isBackingOff(const std::string &address, Instant now) const;
    void callSucceeded(const std::string &address, Instant now);
    // Doubles the backoff time of the peer, up to a limit.
    void callFailed(const std::string &address, Instant now);
    // The peer takes too long to answer as a head. It is not chosen as one until it has answered,
    // nor for a time after that.
    void headTimedOut(const std::string &address);

private:
    struct PeerHealth
    {
        int failures = 0; // consecutive
        Instant backoffUntil = Instant::min();
        bool answerLate = false; // a call to it as head is in flight for too long
        Instant noHeadUntil = Instant::min();
    };
    bool canBeHead(const std::string &address, Instant now) const;
    void addGroupRoutes(const std::vector<PublicationPeer> &group, Instant now,
                        std::vector<PublicationRoute> &out) const;

    std::map<std::string, PeerHealth> m_health; // of peers with a failure or a late answer
};

} // namespace cardamompaddle
