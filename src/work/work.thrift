// Jobs, their progress and the scheduler's tenure, as entry instances store them in the platform's
// log, and the messages between entry instances. The code uses the generated structs as its own
// types, not only for encoding. The generated code in gen/ is committed:
//   thrift --gen cpp:no_skeleton,moveable_types -out src/work/gen src/work/work.thrift
//   sed -i "s/  enum type {/  enum type : int32_t {/" src/work/gen/work_types.h
// The second command makes every value of an enum that a message may hold a defined one.
namespace cpp cardamompaddle.work

// A group of equal tasks of a job.
struct StepSpec {
  1: i32 tasks;                // number of tasks
  2: i64 cpuMilli;             // of each task
  3: i64 memoryMb;
  4: i64 accelerators;
  5: i64 estimatedMs;          // estimated run time of a task; 0: unknown
  6: list<i32> after;          // indices of steps whose tasks must all succeed first
  7: bool checkpointing;       // a task can resume from its last checkpoint
  8: bool gang;                // all tasks start together, succeed together and share a run number
  9: bool sameRack;            // the tasks run slower if spread over several racks
  10: string requiredLabel;    // empty: any worker
  11: string preferredRack;    // empty: any rack
  12: i32 maxPerWorker;        // tasks of the step on one worker; 0: no limit
  13: bool copiesAllowed;      // two runs of a task at the same time do no harm
  14: bool longRunning;        // runs until the job is cancelled; restarted whenever it ends
  15: string image;
  16: i64 latencyObjectiveMs;  // for the users of a long-running task; 0: none
  17: bool usesIdleCpu;        // uses processors that other tasks leave idle
  18: i32 mayBeAway;           // tasks that the scheduler may take away at the same time
}

// A job as it was accepted.
struct Submission {
  1: string id;
  2: string route;
  3: string team;              // empty: submitted without a key over an open route
  4: binary payload;
  5: list<StepSpec> steps;
  6: i32 repetitions;          // number of occurrences; 0: one, due at once
  7: i64 firstDueMs;           // Unix time at which the first occurrence is due
  8: i64 intervalMs;           // between occurrences
  9: i64 acceptedAtMs;         // Unix time
}

// The progress of the tasks of one step in one occurrence.
struct StepProgress {
  1: i32 occurrence;
  2: i32 step;
  3: list<i32> succeeded;      // task indices
  // Numbers of the failed runs, by task index: a worker may report the end of a run more than once.
  // In a gang only task 0 has an entry, since its members fail together.
  4: map<i32, list<i64>> failedRuns;
  // The worker on which a run of the task may exist, by task index.
  5: map<i32, string> placedOn;
  // Numbers of the runs whose worker crashed soon after they had started, by task index.
  6: map<i32, list<i64>> crashedRuns;
  // Further workers on which a run of the task may exist, by task index. Versions before
  // 2026-12-07 run no copies of tasks and ignore it.
  7: optional map<i32, list<string>> copiesOn;
}

enum JobState { Queued = 0, Running = 1, Completed = 2, Failed = 3, Cancelled = 4 }

// One part of the progress of a job; each record replaces the one before of that part. A part holds
// the same number of tasks in each job, counted in the order of occurrences, steps and indices, so
// that no record grows with the number of tasks. Versions that stored all tasks in part 0 are read.
struct Progress {
  1: string id;
  2: JobState state;           // part 0; the others leave it Queued
  3: list<StepProgress> steps; // steps with an entry in one of the lists or maps
  // Field 4 was a Unix time in earlier versions and is not read.
  5: i32 part;
  // The tenure's held time (see Tenure) at which the job reached a terminal state; 0 before that,
  // and in records of versions that did not store it. Part 0 only.
  6: i64 endedAtHeldMs;
}

// The scheduler's leadership term. `epoch` is also the upper part of the fencing tokens of its calls to
// workers.
struct Tenure {
  1: string holder;
  2: string address;           // IP:PORT on which peers reach the holder
  3: i64 epoch;
  4: bool released;            // the holder has given the tenure up
  // Starts are sent only after their record is stored, so every run that may exist is recorded.
  5: bool startsRecorded;
  // Field 6 was a Unix time in earlier versions and is not read.
  7: string successor;         // released tenure: the instance that should claim it first; may be empty
  // How long instances have held the tenure, all epochs together, up to this record. Each holder goes
  // on from the value that it has read, on its monotonic clock, so no time of day is involved.
  8: i64 heldMs;
  9: i64 handedOverAtHeldMs;   // held time at which a holder last gave up for being too slow; 0: never
}

// An entry instance, the IP:PORT on which peers reach it, and the processor that its machine gives it
// in thousandths of a core (0: unknown). `refusesJobs`: admission control is on there, so the instance
// tells a caller that a job is accepted only once it knows that no other instance has refused it.
struct Member {
  1: string name;
  2: string address;
  3: i64 cpuMilli;
  4: string availabilityZone;
  5: optional bool refusesJobs;
}

// Asks an entry instance to call the policy service on the scheduler's behalf.
// `newConnection` is set while connections that were opened before may be silent.
struct ApprovalRequest {
  1: string step;
  2: list<string> workers;
  3: i64 timeoutMs;
  4: bool newConnection;
}
struct Approval { 1: string worker; 2: string ticket; }
struct ApprovalAnswer { 1: bool ok; 2: list<Approval> approved; 3: string error; }

// A worker that the scheduler assigns tasks to. Stored until every run on it has certainly ended.
struct UsedWorker {
  1: string id;
  2: string address;
  // Not 0: while this is the worker's newest record, nobody extends its lease, and all leases on it
  // expire within this time after the record was stored. 0: its lease may be extended at any time.
  3: i64 leasesExpireWithinMs;
  // Not 0: while this is the worker's newest record, nothing is started there, and the progress of
  // jobs names all runs that holders of this epoch or an earlier one may have started there, whatever
  // Tenure.startsRecorded says. 0: runs may exist there that no record names.
  4: i64 runsRecordedEpoch;
  // Unix time of the start of the worker's incarnation: tasks are started only in this one. 0 in records
  // of versions that did not store it.
  5: i64 startedAtMs;
  // Calls that were meant for an earlier incarnation may have extended leases in this one. These expire
  // within this time after the record was stored; 0: there are none.
  6: i64 staleLeasesExpireWithinMs;
  // Starts without an answer may still be carried out in an incarnation that nobody has heard of. Their
  // leases expire within this time after the record was stored; 0: there are no such starts.
  7: i64 unansweredStartsExpireWithinMs;
  // The held times (Tenure.heldMs) at which the three spans above have passed at the latest, so that a
  // reader of an old record does not count them anew; 0: not told, as in records of earlier versions.
  8: i64 leasesExpireAtHeldMs;
  9: i64 staleLeasesExpireAtHeldMs;
  10: i64 unansweredStartsExpireAtHeldMs;
}

// The open work of client accounts with waiting work, as in AccountBacklog (admission/backlog_summary.h).
struct PoolBacklog {
  1: string pool;
  2: string account;           // empty: submitted without a key
  3: map<i32, i64> coreMs;     // estimated processor time that is left, by priority of the route
  4: i64 demandCpuMilli;
  5: i64 drainCpuMilli;
}
struct Backlog { 1: list<PoolBacklog> accounts; }

// Records of one topic of the log, as stored. `topicEnd` is the offset at which the topic ended
// after them; 0 if unknown. The receiver sends them on to the peers in `relayTo` (IP:PORT). `epoch`
// (of the scheduler's tenure) and `publishedAtMs` (on its monotonic clock) tell how old a relayed
// message is; both are 0 if the sender is not the scheduler. `appendMs` is how long the scheduler's
// appends take on average; 0 if unknown. `backlog` is sent by the scheduler while accounts wait for
// long, and once without accounts when that has come to an end.
struct StoredRecord { 1: string key; 2: binary value; 3: bool removed; 4: i64 offset; }
struct StoredRecords {
  1: string topic;
  2: list<StoredRecord> records;
  3: i64 topicEnd;
  4: list<string> relayTo;
  5: i64 epoch;
  6: i64 publishedAtMs;
  7: i64 appendMs;
  8: optional Backlog backlog;
}

// A caller's request that an instance forwards to another one, and the response. Header names are
// in lower case. `retryAfterMs` is 0 if there is none. `configurationVersion` is the newest one that
// the sender knows to be in force; 0 if it knows none. The receiver decides nothing by an older one.
struct CallerRequest {
  1: string method;
  2: string path;
  3: map<string, string> headers;
  4: binary body;
  5: i64 configurationVersion;
}
struct CallerResponse {
  1: i32 status;
  2: binary body;
  3: i64 retryAfterMs;
  4: i64 configurationVersion;
}

// Calls to workers that the scheduler has another instance make, so that the work of exchanging
// messages with all workers is spread over the instances.
enum WorkerCallKind { Poll = 0, Start = 1, Stop = 2, Throttle = 3 }
struct WorkerCall {
  1: i64 id;                   // unique within the session; the answer carries it
  2: WorkerCallKind kind;
  3: string worker;            // the intended incarnation
  4: string address;           // IP:PORT
  5: i64 leaseEndMs;           // on the worker's clock; 0: the lease is not extended
  6: i64 timeoutMs;            // from the sending of the batch; not sent to the worker after that
  7: i64 waitMs;               // Poll: how long the worker holds the request
  8: i64 acknowledged;         // Poll: position of finished runs that are stored
  9: string task;              // all but Poll: "JOB.OCCURRENCE.STEP.INDEX"
  10: i64 run;                 // all but Poll
  11: i32 speedPercent;        // Throttle
  12: string checkpoint;       // Start
  13: string ticket;           // Start
  14: i64 fencingToken;        // 0, from versions that did not send it: the epoch of the batch
}
struct WorkerCalls {
  1: string session;           // of the scheduler's tenure; answers carry it
  2: i64 epoch;                // of the tenure; fences all calls
  3: string replyTo;           // IP:PORT of the scheduler
  4: i64 sentAtMs;             // monotonic clock of the scheduler
  5: list<WorkerCall> calls;   // empty: probes the instance
  6: map<string, binary> payloads; // of the jobs whose tasks are started, by job
}
// The answer to WorkerCalls once they are read, before any of them is made. A changed incarnation
// shows that the calls of earlier batches are lost.
struct WorkerCallsReceived {
  1: string incarnation;
  // Whether the instance sends each call's own fencing token; earlier versions send the epoch.
  2: bool sendsFencingTokens;
}
enum StartResult { Started = 0, NoRoom = 1, StaleRun = 2, NoApproval = 3, WorkerUnavailable = 4 }
enum RunEnd {
  Succeeded = 0, Failed = 1, Stopped = 2, LeaseLapsed = 3, GangBroken = 4, GangIncomplete = 5
}
struct ListedRun { 1: string task; 2: i64 run; 3: string checkpoint; 4: i32 percent; 5: i64 loadMetric; }
struct FinishedRun { 1: i64 position; 2: string task; 3: i64 run; 4: RunEnd outcome; 5: string checkpoint; }
struct WorkerAnswer {
  1: i64 id;
  2: string error;             // name of the ErrorCode; empty: none
  3: string reason;            // of an error
  4: StartResult startResult;  // Start
  5: i64 workerTimeMs;         // Poll, Start: worker's clock when it answered; 0: unknown
  6: i64 startedAtMs;          // Poll: Unix time of the start of the worker's incarnation
  7: list<ListedRun> running;  // Poll
  8: list<FinishedRun> finished; // Poll
  9: bool moreFinished;        // Poll: the worker holds finished runs that it has not listed
}
struct WorkerAnswers { 1: string session; 2: list<WorkerAnswer> answers; }

// A cancellation of a job that was not known when it was sent: an append of the job may still be carried
// out. It acts only on a job of these client accounts (empty: a job that was submitted without a key).
// The cancellation of a known job is stored as the text "1", which acts on whatever job has the id; so
// does any value in versions before 2026-12-07.
struct AdvanceCancellation { 1: list<string> teams; }

// The usage of the fleet by client accounts, as the scheduler last stored it. It decays by the tenure's
// held time. Versions that do not know the record ignore it.
struct AccountUsage {
  1: string account;           // Submission.team
  2: i64 shareSecondsMillionths; // decayed dominant share x seconds
}
struct Usage {
  1: list<AccountUsage> accounts;
  2: i64 heldMs;               // of the tenure when the usage was taken
}
