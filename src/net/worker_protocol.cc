#include "net/worker_protocol.h"

#include "net/json_members.h"

#include <boost/json.hpp>

#include <utility>

namespace cardamompaddle {
namespace {

namespace json = boost::json;

TaskOutcome readOutcome(JsonMembers &reader)
{
    const auto outcome = taskOutcomeFromName(reader.text("outcome"));
    if (!outcome)
        reader.fail();
    return outcome.value_or(TaskOutcome::Failed);
}

// Returns `value` if `reader` met no error, else InvalidArgument. `what` names the message in the
// error text.
template <typename T>
Result<T> validated(const JsonMembers &reader, T value, std::string_view what)
{
    if (reader.ok())
        return value;
    return Error{ErrorCode::InvalidArgument, "malformed " + std::string(what)};
}

json::object toJson(const TaskAttempt &from)
{
    return {{"team", from.task.job.team},
            {"job", from.task.job.id},
            {"index", from.task.index},
            {"attempt", from.attempt}};
}

TaskAttempt readAttempt(JsonMembers &reader)
{
    TaskAttempt to;
    to.task.job.team = reader.text("team");
    to.task.job.id = reader.text("job");
    to.task.index = static_cast<int32_t>(reader.number("index", 0));
    to.attempt = static_cast<int32_t>(reader.number("attempt", 0));
    return to;
}

json::object toJson(const Resources &from)
{
    return {{"cpu_milli", from.cpuMilli},
            {"memory_mb", from.memoryMb},
            {"accelerators", from.accelerators},
            {"slots", from.slots},
            {"connections", from.connections}};
}

Resources readResources(JsonMembers &outer, std::string_view name)
{
    if (!outer.has(name))
        return {};
    JsonMembers reader = outer.object(name);
    return {reader.number("cpu_milli", 0), reader.number("memory_mb", 0),
            reader.number("accelerators", 0), reader.number("slots", 0),
            reader.number("connections", 0)};
}

json::object toJson(const RunningTask &from)
{
    json::object to = toJson(TaskAttempt{from.task, from.attempt});
    to["declared"] = toJson(from.declared);
    to["usage"] = toJson(from.usage);
    to["request"] = from.request;
    to["repeatable"] = from.repeatable;
    to["urgency"] = from.urgency;
    to["since_start_ms"] = from.sinceStart.count();
    to["checkpointed"] = from.checkpointed;
    return to;
}

RunningTask readRunningTask(JsonMembers &reader)
{
    RunningTask to;
    const TaskAttempt identity = readAttempt(reader);
    to.task = identity.task;
    to.attempt = identity.attempt;
    to.declared = readResources(reader, "declared");
    to.usage = readResources(reader, "usage");
    to.request = reader.flag("request", false);
    to.repeatable = reader.flag("repeatable", true);
    to.urgency = static_cast<int32_t>(reader.number("urgency", 0));
    to.sinceStart = Duration(reader.number("since_start_ms", 0));
    to.checkpointed = reader.flag("checkpointed", false);
    return to;
}

json::object toJson(const FinishedTask &from)
{
    json::object to = toJson(TaskAttempt{from.task, from.attempt});
    to["outcome"] = taskOutcomeName(from.outcome);
    to["output"] = from.output;
    to["request"] = from.request;
    return to;
}

FinishedTask readFinishedTask(JsonMembers &reader)
{
    FinishedTask to;
    const TaskAttempt identity = readAttempt(reader);
    to.task = identity.task;
    to.attempt = identity.attempt;
    to.outcome = readOutcome(reader);
    to.output = reader.text("output", {});
    to.request = reader.flag("request", false);
    return to;
}

json::object toJson(const StartTask &from)
{
    json::object to = toJson(TaskAttempt{from.task, from.attempt});
    to["declared"] = toJson(from.declared);
    to["payload"] = from.payload;
    to["lease_ms"] = from.lease.count();
    to["request"] = from.request;
    to["repeatable"] = from.repeatable;
    to["urgency"] = from.urgency;
    to["from_checkpoint"] = from.fromCheckpoint;
    return to;
}

StartTask readStartTask(JsonMembers &reader)
{
    StartTask to;
    const TaskAttempt identity = readAttempt(reader);
    to.task = identity.task;
    to.attempt = identity.attempt;
    to.declared = readResources(reader, "declared");
    to.payload = reader.text("payload", {});
    to.lease = Duration(reader.number("lease_ms", 0));
    to.request = reader.flag("request", false);
    to.repeatable = reader.flag("repeatable", true);
    to.urgency = static_cast<int32_t>(reader.number("urgency", 0));
    to.fromCheckpoint = reader.flag("from_checkpoint", false);
    return to;
}

json::object toJson(const ThrottleTask &from)
{
    json::object to = toJson(from.target);
    to["cpu_milli"] = from.cpuMilli;
    return to;
}

ThrottleTask readThrottleTask(JsonMembers &reader)
{
    return {readAttempt(reader), reader.number("cpu_milli", 0)};
}

json::object toJson(const std::pair<TaskAttempt, std::string> &rejected)
{
    json::object to = toJson(rejected.first);
    to["reason"] = rejected.second;
    return to;
}

std::pair<TaskAttempt, std::string> readRejectedStart(JsonMembers &reader)
{
    return {readAttempt(reader), reader.text("reason", {})};
}

json::object toJson(const WorkerInfo &from)
{
    json::object labels;
    for (const auto &[name, value] : from.labels)
        labels[name] = value;
    return {{"id", from.id},
            {"address", from.address},
            {"availability_zone", from.availabilityZone},
            {"rack", from.rack},
            {"labels", std::move(labels)},
            {"capacity", toJson(from.capacity)},
            {"leaving", from.leaving}};
}

WorkerInfo readWorkerInfo(JsonMembers &reader)
{
    WorkerInfo to;
    to.id = reader.text("id");
    to.address = reader.text("address");
    to.availabilityZone = reader.text("availability_zone", {});
    to.rack = reader.text("rack", {});
    to.labels = reader.textMap("labels");
    to.capacity = readResources(reader, "capacity");
    to.leaving = reader.flag("leaving", false);
    return to;
}

template <typename T>
json::array toJsonArray(const std::vector<T> &from)
{
    json::array to;
    for (const T &it : from)
        to.push_back(toJson(it));
    return to;
}

template <typename T>
std::vector<T> readArray(JsonMembers &reader, std::string_view name,
                         T (*readElement)(JsonMembers &))
{
    std::vector<T> to;
    for (JsonMembers &it : reader.optionalObjects(name))
        to.push_back(readElement(it));
    return to;
}

} // namespace

std::string encodeSessionRequest(const SessionRequest &request)
{
    return json::serialize(
        json::object{{"holder", request.holder}, {"ttl_ms", request.ttl.count()}});
}

Result<SessionRequest> decodeSessionRequest(std::string_view text)
{
    JsonMembers reader(text);
    SessionRequest to;
    to.holder = reader.text("holder");
    to.ttl = Duration(reader.number("ttl_ms", 0));
    if (to.holder.empty() || to.ttl <= Duration(0))
        reader.fail();
    return validated(reader, std::move(to), "session request");
}

std::string encodeSessionGrant(const SessionGrant &grant)
{
    return json::serialize(json::object{{"epoch", grant.epoch},
                                        {"stamp", grant.stamp},
                                        {"running", toJsonArray(grant.running)},
                                        {"finished", toJsonArray(grant.finished)}});
}

Result<SessionGrant> decodeSessionGrant(std::string_view text)
{
    JsonMembers reader(text);
    SessionGrant to;
    to.epoch = reader.unsignedNumber("epoch");
    to.stamp = reader.unsignedNumber("stamp");
    to.running = readArray(reader, "running", readRunningTask);
    to.finished = readArray(reader, "finished", readFinishedTask);
    return validated(reader, std::move(to), "session grant");
}

std::string encodeWorkerCommand(const WorkerCommand &command)
{
    return json::serialize(json::object{{"holder", command.holder},
                                        {"epoch", command.epoch},
                                        {"stamp", command.stamp},
                                        {"renew", command.renew},
                                        {"release", command.release},
                                        {"starts", toJsonArray(command.starts)},
                                        {"stops", toJsonArray(command.stops)},
                                        {"checkpoints", toJsonArray(command.checkpoints)},
                                        {"throttles", toJsonArray(command.throttles)},
                                        {"acks", toJsonArray(command.acknowledged)},
                                        {"wait_ms", command.waitForFinish.count()}});
}

Result<WorkerCommand> decodeWorkerCommand(std::string_view text)
{
    JsonMembers reader(text);
    WorkerCommand to;
    to.holder = reader.text("holder");
    to.epoch = reader.unsignedNumber("epoch");
    to.stamp = reader.unsignedNumber("stamp");
    to.renew = reader.flag("renew", false);
    to.release = reader.flag("release", false);
    to.starts = readArray(reader, "starts", readStartTask);
    to.stops = readArray(reader, "stops", readAttempt);
    to.checkpoints = readArray(reader, "checkpoints", readAttempt);
    to.throttles = readArray(reader, "throttles", readThrottleTask);
    to.acknowledged = readArray(reader, "acks", readAttempt);
    to.waitForFinish = Duration(reader.number("wait_ms", 0));
    return validated(reader, std::move(to), "worker command");
}

std::string encodeWorkerReport(const WorkerReport &report)
{
    return json::serialize(json::object{{"stamp", report.stamp},
                                        {"running", toJsonArray(report.running)},
                                        {"finished", toJsonArray(report.finished)},
                                        {"refused", toJsonArray(report.rejectedStarts)}});
}

Result<WorkerReport> decodeWorkerReport(std::string_view text)
{
    JsonMembers reader(text);
    WorkerReport to;
    to.stamp = reader.unsignedNumber("stamp");
    to.running = readArray(reader, "running", readRunningTask);
    to.finished = readArray(reader, "finished", readFinishedTask);
    to.rejectedStarts = readArray(reader, "refused", readRejectedStart);
    return validated(reader, std::move(to), "worker report");
}

std::string encodeWorkerInfo(const WorkerInfo &info)
{
    return json::serialize(toJson(info));
}

Result<WorkerInfo> decodeWorkerInfo(std::string_view text)
{
    JsonMembers reader(text);
    return validated(reader, readWorkerInfo(reader), "worker description");
}

std::string encodeInstanceList(const std::vector<WorkerInfo> &list)
{
    return json::serialize(json::object{{"instances", toJsonArray(list)}});
}

Result<std::vector<WorkerInfo>> decodeInstanceList(std::string_view text)
{
    JsonMembers reader(text);
    if (!reader.has("instances"))
        reader.fail();
    return validated(reader, readArray(reader, "instances", readWorkerInfo), "instance list");
}

} // namespace cardamompaddle
