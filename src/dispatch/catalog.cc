#include "dispatch/catalog.h"

namespace cardamompaddle {

Duration objectiveOf(const WorkRoute &route, Duration chain)
{
    const double stretched = route.slowdownFactor * static_cast<double>(chain.count());
    return Duration(static_cast<Duration::rep>(stretched)) + route.latencyTarget;
}

const WorkRoute *Catalog::findRoute(std::string_view host, std::string_view path) const
{
    const WorkRoute *best = nullptr;
    for (const auto &[name, route] : routes) {
        if (route.host == host && path.starts_with(route.pathPrefix)
            && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size()))
            best = &route;
    }
    return best;
}

const Team *Catalog::findTeamByKey(const std::string &key) const
{
    for (const auto &[name, team] : teams) {
        if (team.keys.contains(key))
            return &team;
    }
    return nullptr;
}

} // namespace cardamompaddle
