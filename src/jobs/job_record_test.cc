#include "jobs/job_record.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cardamompaddle {
namespace {

JobSpec exampleSpec()
{
    JobSpec spec;
    spec.key = {"team", "id"};
    spec.route = "route";
    spec.pool = "pool";
    spec.tasks = 3;
    spec.perTask = {500, 64, 1, 1, 2};
    return spec;
}

std::string reencode(const JobRecord &record)
{
    const auto parsed = parseJobRecord(formatJobRecord(record));
    return parsed.ok() ? formatJobRecord(*parsed) : parsed.error().reason;
}

// Guards against payloads and outputs that the codec alters, including invalid UTF-8 (invariant
// I6).
RC_GTEST_PROP(JobRecordCodec, PreservesArbitraryBytes, (const std::string &bytes, uint64_t seq))
{
    Job job;
    job.spec = exampleSpec();
    job.spec.payload = bytes;
    job.submitted = 7;
    job.state = JobState::Running;
    job.finished[1] = taskResult(2, TaskOutcome::Succeeded, bytes);
    job.attempts[0] = 4;
    job.intents[2] = StartIntent{1, {seq, 5}};
    const auto parsed = parseJobRecord(formatJobRecord({{1, seq}, RepublishedRecord{job, 9}}));
    RC_ASSERT(parsed.ok());
    RC_ASSERT(std::get<RepublishedRecord>(parsed->body).job == job);
    RC_ASSERT(parsed->id == (RecordId{1, seq}));
}

// Guards against a field that the codec omits.
TEST(JobRecordTest, RoundTripsEveryRecordKind)
{
    const JobRef ref{{"team", "id"}, 12};
    const TasksFinishedRecord::Entry entry{ref, 2, taskResult(1, TaskOutcome::LeaseLapsed, "x"),
                                           false};
    const std::vector<JobRecord> records = {
        {{1, 2}, SubmittedRecord{exampleSpec(), 11}},
        {{1, 3}, CancelledRecord{ref}},
        {{1, 4}, StartIntentRecord{ref, 1, 3}},
        {{1, 5}, TasksFinishedRecord{{entry, entry}}},
        {{1, 6}, EndedRecord{ref, JobState::Failed, "no worker is large enough"}},
    };
    for (const JobRecord &it : records)
        EXPECT_EQ(reencode(it), formatJobRecord(it));
}

// Guards against malformed records that would put a job into an impossible state.
TEST(JobRecordTest, RejectsInvalidRecords)
{
    const JobRef ref{{"team", "id"}, 12};
    EXPECT_EQ(reencode({{1, 1}, EndedRecord{ref, JobState::Running, ""}}),
              "body.state: must be a final state");
    EXPECT_EQ(reencode({{1, 1}, StartIntentRecord{ref, -1, 0}}),
              "body.index: must be between 0 and 99999");
    Job job;
    job.spec = exampleSpec();
    job.submitted = 9;
    EXPECT_EQ(reencode({{1, 1}, RepublishedRecord{job, 9}}),
              "body.folded: must be greater than the offset of the Submitted record");
    job.attempts[3] = 1;
    EXPECT_EQ(reencode({{1, 1}, RepublishedRecord{job, 10}}),
              "body.job.spec: has fewer tasks than the recorded task indexes require");

    JobSpec spec = exampleSpec();
    EXPECT_TRUE(validateJobSpec(spec).ok());
    spec.tasks = MaxTasksPerJob + 1;
    EXPECT_EQ(validateJobSpec(spec).error().reason, "tasks: must be between 1 and 100000");
    spec = exampleSpec();
    spec.key.id = "a/b";
    EXPECT_EQ(validateJobSpec(spec).error().code, ErrorCode::InvalidArgument);
    spec = exampleSpec();
    spec.payload.assign(MaxPayloadBytes + 1, 'x');
    EXPECT_FALSE(validateJobSpec(spec).ok());
}

TEST(JobRecordTest, TruncatesLongOutputs)
{
    EXPECT_FALSE(taskResult(1, TaskOutcome::Succeeded, std::string(MaxOutputBytes, 'x')).outputCut);
    const auto cut = taskResult(1, TaskOutcome::Succeeded, std::string(MaxOutputBytes + 1, 'x'));
    EXPECT_TRUE(cut.outputCut);
    EXPECT_EQ(cut.output.size(), MaxOutputBytes);
}

TEST(JobRecordTest, StateAndOutcomeNamesRoundTrip)
{
    for (int n = 0; n <= static_cast<int>(JobState::Cancelled); ++n)
        EXPECT_EQ(jobStateFromName(jobStateName(static_cast<JobState>(n))),
                  static_cast<JobState>(n));
    for (int n = 0; n <= static_cast<int>(TaskOutcome::LeaseLapsed); ++n) {
        const auto outcome = static_cast<TaskOutcome>(n);
        EXPECT_EQ(taskOutcomeFromName(taskOutcomeName(outcome)), outcome);
    }
}

} // namespace
} // namespace cardamompaddle
