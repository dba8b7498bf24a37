// The records of log stream "jobs" and their JSON codec.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "config/record_id.h"
#include "jobs/job.h"
#include "platform/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cardamompaddle {

// Name of the log stream that holds the jobs.
inline constexpr std::string_view JobStream = "jobs";
// Limits on one job.
inline constexpr int32_t MaxTasksPerJob = 100'000;
inline constexpr size_t MaxPayloadBytes = 1 << 20;
// Longer outputs of a task are truncated and marked.
inline constexpr size_t MaxOutputBytes = 16'384;
// Limit on the total output of a job. JobStore drops outputs beyond it and marks them as truncated.
inline constexpr size_t MaxJobOutputBytes = 1 << 20;

// Identifies one job in the log. Because a job id may be reused after its job has ended, the
// reference includes the offset of the Submitted record.
struct JobRef
{
    JobKey key;
    uint64_t submitted = 0; // offset of the Submitted record
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 of <=> for a pointer
    friend auto operator<=>(const JobRef &, const JobRef &) = default;
};

// The outcome and output of one attempt of a task.
struct TaskResult
{
    int32_t attempt = 0;
    TaskOutcome outcome = TaskOutcome::Failed;
    std::string output; // at most MaxOutputBytes
    bool outputCut = false; // true if the output was truncated or dropped
    friend bool operator==(const TaskResult &, const TaskResult &) = default;
};

// Permission to start one attempt of a task that may not be repeated.
struct StartIntent
{
    int32_t attempt = 0;
    RecordId grantedTo; // the StartIntent record that obtained the permission
    friend bool operator==(const StartIntent &, const StartIntent &) = default;
};

// A job as computed by applying its records in the order of the log.
struct Job
{
    JobSpec spec;
    uint64_t submitted = 0; // offset of the Submitted record
    JobState state = JobState::Waiting;
    std::map<int32_t, TaskResult> finished; // final results, by task index
    std::map<int32_t, int32_t> attempts; // highest known attempt of each unfinished task, by index
    std::map<int32_t, StartIntent> intents; // newest permission, by task index
    bool cancelled = false;
    std::string endReason;
    friend bool operator==(const Job &, const Job &) = default;

    JobRef ref() const { return {spec.key, submitted}; }
    bool ended() const { return isFinal(state); }
};

struct SubmittedRecord
{
    JobSpec spec;
    // The writer had applied every record below this offset. The id is therefore free for reuse if
    // its previous job ended below it.
    uint64_t folded = 0;
};

// A request to cancel a job.
struct CancelledRecord
{
    JobRef job;
};

// Requests permission to start one attempt of a task that may not be repeated.
struct StartIntentRecord
{
    JobRef job;
    int32_t index = 0;
    int32_t attempt = 0;
};

struct TasksFinishedRecord
{
    struct Entry
    {
        JobRef job;
        int32_t index = 0;
        TaskResult result;
        bool final = true; // false if another attempt will follow
    };
    std::vector<Entry> entries; // may be about different jobs
};

struct EndedRecord
{
    JobRef job;
    JobState state = JobState::Failed; // must be a final state
    std::string reason;
};

// The whole state of an unfinished job, written again so that it does not expire from the log.
struct RepublishedRecord
{
    Job job;
    uint64_t folded = 0; // `job` includes the effect of every record below this offset
};

struct JobRecord
{
    RecordId id;
    std::variant<SubmittedRecord, CancelledRecord, StartIntentRecord, TasksFinishedRecord,
                 EndedRecord, RepublishedRecord>
        body;
};

// Validates a specification before it is submitted. Errors: InvalidArgument.
Result<void> validateJobSpec(const JobSpec &spec);
// Creates a task result for a record, with the output truncated to MaxOutputBytes.
TaskResult taskResult(int32_t attempt, TaskOutcome outcome, std::string output);
// Returns the JSON text of a record.
std::string formatJobRecord(const JobRecord &record);
// Parses the JSON text of a record. Errors: InvalidArgument.
Result<JobRecord> parseJobRecord(std::string_view text);

} // namespace cardamompaddle
