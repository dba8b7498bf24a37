#include "standins/list_standin.h"

#include "net/worker_protocol.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace cardamompaddle {
namespace {

namespace json = boost::json;

constexpr Duration EntryLifetime{5'000};

HttpResponse rejection(ErrorCode code, std::string reason)
{
    return errorResponse({code, std::move(reason)}, Executed::No);
}

} // namespace

void ListModel::registerWorker(const WorkerInfo &info, Instant now)
{
    expire(now);
    const auto it = m_entries.find(info.id);
    const bool changed = it == m_entries.end() || it->second.info != info;
    m_entries.insert_or_assign(info.id, Entry{info, now});
    if (changed)
        recordSnapshot(now);
}

void ListModel::setLeaving(std::set<WorkerId> leaving, Instant now)
{
    expire(now);
    m_leaving = std::move(leaving);
    recordSnapshot(now);
}

std::vector<WorkerInfo> ListModel::list(Instant now)
{
    expire(now);
    while (m_snapshots.size() > 1 && m_snapshots[1].since + m_lag <= now)
        m_snapshots.pop_front();
    const bool hasSnapshot = !m_snapshots.empty() && m_snapshots.front().since + m_lag <= now;
    return hasSnapshot ? m_snapshots.front().workers : std::vector<WorkerInfo>();
}

void ListModel::expire(Instant now)
{
    // Expires entries one by one and dates each snapshot by the expiry time of the entry, so that
    // the lag is counted from there.
    while (true) {
        const auto oldest =
            std::min_element(m_entries.begin(), m_entries.end(), [](const auto &a, const auto &b) {
                return a.second.lastRegistered < b.second.lastRegistered;
            });
        if (oldest == m_entries.end() || oldest->second.lastRegistered + EntryLifetime > now)
            return;
        const Instant expiry = oldest->second.lastRegistered + EntryLifetime;
        m_entries.erase(oldest);
        recordSnapshot(expiry);
    }
}

void ListModel::recordSnapshot(Instant now)
{
    std::vector<WorkerInfo> workers;
    for (const auto &[id, entry] : m_entries) {
        workers.push_back(entry.info);
        workers.back().leaving = entry.info.leaving || m_leaving.contains(id);
    }
    m_snapshots.push_back({now, std::move(workers)});
    while (m_snapshots.size() > 1 && m_snapshots[1].since + m_lag <= now)
        m_snapshots.pop_front();
}

void ListStandin::handle(const HttpRequest &request,
                         const std::function<void(HttpResponse)> &respond)
{
    const std::lock_guard lock(m_mutex);
    respond(responseTo(request));
}

HttpResponse ListStandin::responseTo(const HttpRequest &request)
{
    constexpr std::string_view Prefix = "/instances/";
    if (request.method == "GET" && request.path == "/instances")
        return {200, encodeInstanceList(m_model.list(m_clock.now()))};
    if (request.method == "POST" && request.path == "/control")
        return handleControl(request.body);
    if (request.method != "PUT" || !request.path.starts_with(Prefix))
        return rejection(ErrorCode::NotFound, "unknown path");
    const auto info = decodeWorkerInfo(request.body);
    if (!info || info->id != request.path.substr(Prefix.size()))
        return rejection(ErrorCode::InvalidArgument,
                         "the body is not a worker with the id of the path");
    m_model.registerWorker(*info, m_clock.now());
    return {200, "{}"};
}

HttpResponse ListStandin::handleControl(const std::string &body)
{
    json::error_code ec;
    const json::value value = json::parse(body, ec);
    const json::object *object = ec ? nullptr : value.if_object();
    if (!object)
        return rejection(ErrorCode::InvalidArgument, "malformed control message");
    std::set<WorkerId> leaving;
    const json::value *names = object->if_contains("leaving");
    if (names && !names->is_array())
        return rejection(ErrorCode::InvalidArgument, "leaving must be a list of ids");
    for (const json::value &it : names ? names->as_array() : json::array()) {
        if (!it.is_string())
            return rejection(ErrorCode::InvalidArgument, "leaving must be a list of ids");
        leaving.emplace(it.as_string().c_str());
    }
    const json::value *lag = object->if_contains("lag_ms");
    if (lag && !lag->is_int64())
        return rejection(ErrorCode::InvalidArgument, "lag_ms must be an integer");
    if (lag)
        m_model.setLag(Duration(lag->as_int64()));
    if (names)
        m_model.setLeaving(std::move(leaving), m_clock.now());
    return {200, "{}"};
}

} // namespace cardamompaddle
