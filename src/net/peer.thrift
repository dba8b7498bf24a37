// Wire format of the messages between entry instances, which src/peer/peer_message.h declares.
// Unsigned 64-bit values are sent as the i64 with the same bits. The generated code in gen/ is
// committed; this command regenerates it:
//   thrift --gen cpp:no_skeleton -out src/net/gen src/net/peer.thrift
namespace cpp cardamompaddle.wire

struct Acknowledged { 1: i32 seat; 2: i64 incarnation; 3: i64 generation; }

struct SeatView {
  1: i32 seat; 2: i64 incarnation; 3: i64 generation; 4: bool synced; 5: bool left;
  6: i64 lastHeardAgeMs; 7: list<Acknowledged> acknowledged;
}

struct Heartbeat {
  1: i32 sender; 2: i64 incarnation; 3: i64 generation; 4: bool synced; 5: bool left;
  6: i64 uptimeMs; 7: list<SeatView> table;
}

struct LogRecord { 1: i64 offset; 2: binary data; }

struct HeartbeatMessage {
  1: Heartbeat heartbeat; 2: i64 configNext; 3: list<LogRecord> configRecords;
  4: binary configSnapshot; 5: i64 jobsNext; 6: list<string> ownedPools;
  7: map<string, i64> dominantShare; 8: i64 jobsKnownFrom;
}

struct JobKey { 1: string team; 2: string id; }

struct Resources {
  1: i64 cpuMilli; 2: i64 memoryMb; 3: i64 accelerators; 4: i64 slots; 5: i64 connections;
}

struct JobSpec {
  1: JobKey key; 2: string route; 3: string pool; 4: i32 kind; 5: i32 tasks; 6: i32 urgency;
  7: Resources perTask; 8: bool repeatable; 9: binary payload;
}

struct ForwardedRequest { 1: JobSpec spec; 2: i64 timeLeftMs; }

struct CancelRequest { 1: JobKey key; 2: string pool; }

struct Error { 1: i32 code; 2: string reason; }

struct RequestAnswer {
  1: bool ok; 2: binary output; 3: string worker; 4: Error error; 5: bool executedUnknown;
}

struct WhyRequest { 1: JobKey key; 2: string pool; }

struct WhyAnswer { 1: string text; 2: i32 running; }

struct RowsRequest { 1: string view; }

struct RowsAnswer { 1: binary json; }

struct Tenure { 1: i32 seat; 2: i64 incarnation; 3: i64 generation; }

struct BorrowRequest {
  1: string team; 2: string pool; 3: Tenure borrower; 4: i64 sequence; 5: Tenure ledger;
  6: i32 part; 7: i32 running; 8: i32 wanted; 9: bool complete;
}

struct BorrowAnswer {
  1: string team; 2: string pool; 3: Tenure borrower; 4: i64 sequence; 5: Tenure ledger;
  6: i32 part; 7: i32 target; 8: bool accepted;
}

struct Refusal { 1: Error error; }

union PeerBody {
  1: HeartbeatMessage heartbeat; 2: ForwardedRequest forward; 3: CancelRequest cancel;
  4: RequestAnswer answer; 5: WhyRequest why; 6: WhyAnswer whyAnswer; 7: RowsRequest rows;
  8: RowsAnswer rowsAnswer; 9: BorrowRequest borrow; 10: BorrowAnswer borrowAnswer;
  11: Refusal refusal;
}

// `kind` must equal the field id of the value that is set in `body`; otherwise the receiver rejects
// the message. A request has `answerTo` 0, a response the `id` of its request.
struct PeerMessage { 1: i64 id; 2: i64 answerTo; 3: i32 sender; 4: i32 kind; 5: PeerBody body; }
