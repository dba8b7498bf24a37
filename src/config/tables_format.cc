#include "config/tables.h"

#include <boost/json/serialize.hpp>

#include <utility>

namespace cardamompaddle {
namespace {

std::string quoted(std::string_view text)
{
    return boost::json::serialize(boost::json::string_view(text.data(), text.size()));
}

std::string quotedList(const std::set<std::string> &names)
{
    std::string text;
    for (const std::string &it : names)
        text += (text.empty() ? "" : ", ") + quoted(it);
    return "[" + text + "]";
}

std::string quotedMap(const std::map<std::string, std::string> &values)
{
    std::string text;
    for (const auto &it : values)
        text += (text.empty() ? "" : ", ") + quoted(it.first) + ": " + quoted(it.second);
    return "{" + text + "}";
}

// Formats millionths as a percentage without trailing zeros, for example 999'000 as "99.9".
std::string formatPercent(int32_t millionths)
{
    std::string text = std::to_string(millionths / 10'000);
    const int32_t decimals = millionths % 10'000;
    if (decimals == 0)
        return text;
    std::string digits = std::to_string(10'000 + decimals).substr(1);
    digits.erase(digits.find_last_not_of('0') + 1);
    return text + "." + digits;
}

// The fields of a row as pairs of key and canonical JSON, in a fixed order.
using Fields = std::vector<std::pair<std::string, std::string>>;

Fields fieldsOf(const RouteSpec &route)
{
    const Resources &r = route.defaultResources;
    Fields fields = {
        {"name", quoted(route.name)},
        {"kind", quoted(workKindName(route.kind))},
        {"pool", quoted(route.pool)},
        {"urgency", std::to_string(route.urgency)},
        {"open", route.open ? "true" : "false"},
        {"max_queue_per_team", std::to_string(route.maxQueuePerTeam)},
        {"resources", "{\"cpu_milli\": " + std::to_string(r.cpuMilli)
                          + ", \"memory_mb\": " + std::to_string(r.memoryMb)
                          + ", \"accelerators\": " + std::to_string(r.accelerators)
                          + ", \"slots\": " + std::to_string(r.slots)
                          + ", \"connections\": " + std::to_string(r.connections) + "}"},
        {"timeout_ms", std::to_string(route.timeout.count())},
    };
    if (route.objective) {
        fields.emplace_back(
            "objective", "{\"target_percent\": " + formatPercent(route.objective->targetMillionths)
                             + ", \"wait_ms\": " + std::to_string(route.objective->wait.count())
                             + "}");
    }
    return fields;
}

Fields fieldsOf(const PoolSpec &pool)
{
    return {
        {"name", quoted(pool.name)},
        {"workers", "{\"zones\": " + quotedList(pool.availabilityZones)
                        + ", \"labels\": " + quotedMap(pool.labels) + "}"},
        {"placement", quoted(placementPolicyName(pool.placement))},
        {"task_lease_ms", std::to_string(pool.taskLease.count())},
        {"reserve_percent", std::to_string(pool.reservePercent)},
        {"overcommit_cpu_percent", std::to_string(pool.overcommitCpuPercent)},
        {"gang_wait_ms", std::to_string(pool.gangWait.count())},
        {"zone_drain_ms", std::to_string(pool.zoneDrain.count())},
    };
}

Fields fieldsOf(const TeamSpec &team)
{
    return {
        {"name", quoted(team.name)},
        {"share", std::to_string(team.share)},
        {"limit", std::to_string(team.limit)},
    };
}

template <typename Row>
std::string formatRows(const std::map<std::string, Row> &rows)
{
    std::string text;
    for (const auto &it : rows) {
        text.append(text.empty() ? "\n    {" : ",\n    {");
        const char *separator = "";
        for (const auto &field : fieldsOf(it.second)) {
            text.append(separator).append(quoted(field.first)).append(": ").append(field.second);
            separator = ", ";
        }
        text.append("}");
    }
    return "[" + text + (text.empty() ? "]" : "\n  ]");
}

std::string formatChange(const std::string &label, const std::string &field,
                         const std::string &before, const std::string &after)
{
    return std::string(label)
        .append(": ")
        .append(field)
        .append(" ")
        .append(before)
        .append(" -> ")
        .append(after);
}

// Appends one line to `lines` for each field that differs.
template <typename Row>
void diffRow(const std::string &label, const Row &before, const Row &after,
             std::vector<std::string> &lines)
{
    std::map<std::string, std::string> old;
    for (const auto &it : fieldsOf(before))
        old.insert(it);
    for (const auto &it : fieldsOf(after)) {
        const auto previous = old.find(it.first);
        const std::string text = previous == old.end() ? "none" : previous->second;
        if (text != it.second)
            lines.push_back(formatChange(label, it.first, text, it.second));
        if (previous != old.end())
            old.erase(previous);
    }
    for (const auto &it : old)
        lines.push_back(formatChange(label, it.first, it.second, "none"));
}

// Appends the differences of one table to `lines`.
template <typename Row>
void diffRows(const std::string &kind, const std::map<std::string, Row> &before,
              const std::map<std::string, Row> &after, std::vector<std::string> &lines)
{
    for (const auto &it : before) {
        const auto match = after.find(it.first);
        if (match == after.end())
            lines.push_back(kind + " " + it.first + ": removed");
        else
            diffRow(kind + " " + it.first, it.second, match->second, lines);
    }
    for (const auto &it : after) {
        if (!before.contains(it.first))
            lines.push_back(kind + " " + it.first + ": added");
    }
}

} // namespace

std::string formatTables(const Tables &tables)
{
    return "{\n  \"routes\": " + formatRows(tables.routes) + ",\n  \"pools\": "
           + formatRows(tables.pools) + ",\n  \"teams\": " + formatRows(tables.teams) + "\n}\n";
}

std::vector<std::string> diffTables(const Tables &before, const Tables &after)
{
    std::vector<std::string> lines;
    diffRows("route", before.routes, after.routes, lines);
    diffRows("pool", before.pools, after.pools, lines);
    diffRows("team", before.teams, after.teams, lines);
    return lines;
}

} // namespace cardamompaddle
