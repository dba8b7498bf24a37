#include "jobs/job_record.h"

#include "config/json_reader.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace cardamompaddle {
namespace {

namespace json = boost::json;

constexpr int64_t MaxResourceAmount = 1'000'000'000;
constexpr int64_t MaxAttempt = INT32_MAX; // each owner of a pool numbers attempts in its own range
constexpr size_t MaxReasonBytes = 4'096;

json::object toJson(const Resources &resources)
{
    return {{"cpu_milli", resources.cpuMilli},
            {"memory_mb", resources.memoryMb},
            {"accelerators", resources.accelerators},
            {"slots", resources.slots},
            {"connections", resources.connections}};
}

Resources readResources(JsonObject row)
{
    Resources result;
    result.cpuMilli = row.integer("cpu_milli", 0, MaxResourceAmount);
    result.memoryMb = row.integer("memory_mb", 0, MaxResourceAmount);
    result.accelerators = row.integer("accelerators", 0, MaxResourceAmount);
    result.slots = row.integer("slots", 0, MaxResourceAmount);
    result.connections = row.integer("connections", 0, MaxResourceAmount);
    row.finish();
    return result;
}

json::object toJson(const JobSpec &spec)
{
    return {{"team", spec.key.team},
            {"id", spec.key.id},
            {"route", spec.route},
            {"pool", spec.pool},
            {"kind", workKindName(spec.kind)},
            {"tasks", spec.tasks},
            {"urgency", spec.urgency},
            {"resources", toJson(spec.perTask)},
            {"repeatable", spec.repeatable},
            {"payload", toJsonBytes(spec.payload)}};
}

JobSpec readSpec(JsonObject row)
{
    JobSpec spec;
    spec.key = {row.name("team"), row.name("id")};
    spec.route = row.name("route");
    spec.pool = row.name("pool");
    const auto kind = workKindFromName(row.text("kind"));
    if (!kind)
        row.fail("kind", "must be a known kind of work");
    spec.kind = kind.value_or(WorkKind::Batch);
    spec.tasks = static_cast<int32_t>(row.integer("tasks", 1, MaxTasksPerJob));
    spec.urgency = static_cast<int32_t>(row.integer("urgency", 0, 9));
    spec.perTask = readResources(row.object("resources"));
    spec.repeatable = row.flag("repeatable");
    spec.payload = row.bytes("payload", MaxPayloadBytes);
    row.finish();
    return spec;
}

void addRef(json::object &row, const JobRef &job)
{
    row["team"] = job.key.team;
    row["id"] = job.key.id;
    row["submitted"] = job.submitted;
}

JobRef readRef(JsonObject &row)
{
    return {{row.name("team"), row.name("id")}, row.unsignedInteger("submitted")};
}

int32_t readIndex(JsonObject &row)
{
    return static_cast<int32_t>(row.integer("index", 0, MaxTasksPerJob - 1));
}

int32_t readAttempt(JsonObject &row)
{
    return static_cast<int32_t>(row.integer("attempt", 0, MaxAttempt));
}

void addResult(json::object &row, int32_t index, const TaskResult &result)
{
    row["index"] = index;
    row["attempt"] = result.attempt;
    row["outcome"] = taskOutcomeName(result.outcome);
    row["output"] = toJsonBytes(result.output);
    if (result.outputCut)
        row["output_cut"] = true;
}

TaskResult readResult(JsonObject &row)
{
    TaskResult result;
    result.attempt = readAttempt(row);
    const auto outcome = taskOutcomeFromName(row.text("outcome"));
    if (!outcome)
        row.fail("outcome", "must be a known task outcome");
    result.outcome = outcome.value_or(TaskOutcome::Failed);
    result.output = row.bytes("output", MaxOutputBytes);
    result.outputCut = row.flagOr("output_cut", false);
    return result;
}

JobState readState(JsonObject &row, bool final)
{
    const auto state = jobStateFromName(row.text("state"));
    if (!state || isFinal(*state) != final)
        row.fail("state", final ? "must be a final state" : "must be a state that is not final");
    return state.value_or(JobState::Waiting);
}

json::object toJson(const Job &job)
{
    json::array finished;
    for (const auto &[index, result] : job.finished) {
        json::object row;
        addResult(row, index, result);
        finished.push_back(std::move(row));
    }
    json::array attempts;
    for (const auto &[index, attempt] : job.attempts)
        attempts.push_back(json::object{{"index", index}, {"attempt", attempt}});
    json::array intents;
    for (const auto &[index, intent] : job.intents) {
        intents.push_back(json::object{{"index", index},
                                       {"attempt", intent.attempt},
                                       {"writer", intent.grantedTo.writer},
                                       {"seq", intent.grantedTo.seq}});
    }
    return {{"spec", toJson(job.spec)},         {"submitted", job.submitted},
            {"state", jobStateName(job.state)}, {"finished", std::move(finished)},
            {"attempts", std::move(attempts)},  {"intents", std::move(intents)},
            {"cancelled", job.cancelled}};
}

Job readJob(JsonObject row)
{
    Job job;
    job.spec = readSpec(row.object("spec"));
    job.submitted = row.unsignedInteger("submitted");
    job.state = readState(row, false);
    row.forEach("finished", true, [&](JsonObject &it) {
        const int32_t index = readIndex(it);
        job.finished[index] = readResult(it);
        it.finish();
    });
    row.forEach("attempts", true, [&](JsonObject &it) {
        const int32_t index = readIndex(it);
        job.attempts[index] = readAttempt(it);
        it.finish();
    });
    row.forEach("intents", true, [&](JsonObject &it) {
        const int32_t index = readIndex(it);
        const int32_t attempt = readAttempt(it);
        job.intents[index] =
            StartIntent{attempt, {it.unsignedInteger("writer"), it.unsignedInteger("seq")}};
        it.finish();
    });
    job.cancelled = row.flag("cancelled");
    row.finish();
    const auto inRange = [&](const auto &map) {
        return map.empty() || map.rbegin()->first < job.spec.tasks;
    };
    if (!inRange(job.finished) || !inRange(job.attempts) || !inRange(job.intents))
        row.fail("spec", "has fewer tasks than the recorded task indexes require");
    return job;
}

struct Formatter
{
    json::object &text;

    void operator()(const SubmittedRecord &record) const
    {
        text["type"] = "submitted";
        text["body"] = json::object{{"spec", toJson(record.spec)}, {"folded", record.folded}};
    }
    void operator()(const CancelledRecord &record) const
    {
        json::object body;
        addRef(body, record.job);
        text["type"] = "cancelled";
        text["body"] = std::move(body);
    }
    void operator()(const StartIntentRecord &record) const
    {
        json::object body;
        addRef(body, record.job);
        body["index"] = record.index;
        body["attempt"] = record.attempt;
        text["type"] = "start_intent";
        text["body"] = std::move(body);
    }
    void operator()(const TasksFinishedRecord &record) const
    {
        json::array entries;
        for (const auto &entry : record.entries) {
            json::object row;
            addRef(row, entry.job);
            addResult(row, entry.index, entry.result);
            row["final"] = entry.final;
            entries.push_back(std::move(row));
        }
        text["type"] = "tasks_finished";
        text["body"] = json::object{{"entries", std::move(entries)}};
    }
    void operator()(const EndedRecord &record) const
    {
        json::object body;
        addRef(body, record.job);
        body["state"] = jobStateName(record.state);
        body["reason"] = toJsonBytes(record.reason.substr(0, MaxReasonBytes));
        text["type"] = "ended";
        text["body"] = std::move(body);
    }
    void operator()(const RepublishedRecord &record) const
    {
        text["type"] = "republished";
        text["body"] = json::object{{"job", toJson(record.job)}, {"folded", record.folded}};
    }
};

TasksFinishedRecord readFinished(JsonObject &body)
{
    TasksFinishedRecord record;
    body.forEach("entries", true, [&](JsonObject &row) {
        TasksFinishedRecord::Entry entry;
        entry.job = readRef(row);
        entry.index = readIndex(row);
        entry.result = readResult(row);
        entry.final = row.flag("final");
        row.finish();
        record.entries.push_back(std::move(entry));
    });
    return record;
}

void readBody(JsonObject &record, const std::string &type, JobRecord &result)
{
    JsonObject body = record.object("body");
    if (type == "submitted") {
        SubmittedRecord it{readSpec(body.object("spec")), body.unsignedInteger("folded")};
        result.body = std::move(it);
    } else if (type == "cancelled") {
        result.body = CancelledRecord{readRef(body)};
    } else if (type == "start_intent") {
        StartIntentRecord it{readRef(body), readIndex(body), readAttempt(body)};
        result.body = std::move(it);
    } else if (type == "tasks_finished") {
        result.body = readFinished(body);
    } else if (type == "ended") {
        EndedRecord it{readRef(body), readState(body, true), body.bytes("reason", MaxReasonBytes)};
        result.body = std::move(it);
    } else if (type == "republished") {
        RepublishedRecord it{readJob(body.object("job")), body.unsignedInteger("folded")};
        if (it.folded <= it.job.submitted)
            body.fail("folded", "must be greater than the offset of the Submitted record");
        result.body = std::move(it);
    } else {
        record.fail("type", "unknown type \"" + type + "\"");
    }
    body.finish();
}

} // namespace

Result<void> validateJobSpec(const JobSpec &spec)
{
    // A specification is valid if the codec accepts it, so that the rules exist only once.
    const json::value text = toJson(spec);
    JsonErrors errors;
    readSpec(JsonObject(text, "", errors));
    if (!errors.ok())
        return errors.error();
    return {};
}

TaskResult taskResult(int32_t attempt, TaskOutcome outcome, std::string output)
{
    const bool truncated = output.size() > MaxOutputBytes;
    if (truncated)
        output.resize(MaxOutputBytes);
    return {attempt, outcome, std::move(output), truncated};
}

std::string formatJobRecord(const JobRecord &record)
{
    json::object text;
    text["writer"] = record.id.writer;
    text["seq"] = record.id.seq;
    std::visit(Formatter{text}, record.body);
    return json::serialize(text);
}

Result<JobRecord> parseJobRecord(std::string_view text)
{
    const auto value = parseStrictJson(text);
    if (!value.ok())
        return value.error();
    JsonErrors errors;
    JsonObject record(*value, "", errors);
    JobRecord result;
    result.id.writer = record.unsignedInteger("writer");
    result.id.seq = record.unsignedInteger("seq");
    const std::string type = record.text("type");
    if (errors.ok())
        readBody(record, type, result);
    record.finish();
    if (!errors.ok())
        return errors.error();
    return result;
}

} // namespace cardamompaddle
