/**
 * Frames between the processes of sardinelift. Compact protocol, one union per length-prefixed
 * frame. Every duration is in milliseconds. Fields are only ever added, never renumbered.
 */
namespace java org.sardinelift.protocol.generated

/** Which connection a frame travels on: a large batch body never delays an online request. */
enum Lane {
  ONLINE = 1,
  BATCH = 2,
  CONTROL = 3
}

/** Whether a call reached the point where the target may have acted on it. */
enum RunOutcome {
  NOT_RUN = 1,
  RUN = 2,
  UNKNOWN = 3
}

/** What a companion knows of a request. */
enum RequestState {
  NOT_STARTED = 1,
  RUNNING = 2,
  FINISHED = 3,
  UNKNOWN = 4
}

/** Why a call ended without the target's own answer. */
enum FailureKind {
  NONE = 0,
  QUEUE_FULL = 1,
  DEADLINE_EXCEEDED = 2,
  TARGET_LEAVING = 3,
  TARGET_UNREACHABLE = 4,
  TARGET_DIED = 5,
  CANCELLED = 6,
  PREEMPTED = 7,
  BUFFER_EXCEEDED = 8,
  STALE_FENCE = 9,
  MODEL_NOT_LOADED = 10
}

struct Hello {
  1: string instance,
  2: string incarnation,
  3: string role,
  4: string zone,
  5: Lane lane,
  6: i32 protocolVersion,
  7: i64 configRevision
}

struct Heartbeat {
  1: i64 sequence,
  2: i64 configRevision
}

struct HeartbeatAck {
  1: i64 sequence
}

/** One call for the target. The caller's key is never part of it. */
struct Start {
  1: string requestId,
  2: i32 attempt,
  3: string team,
  4: i32 weight,
  5: Lane lane,
  6: string model,
  7: string method,
  8: string path,
  9: map<string, string> headers,
  10: binary body,
  11: i64 deadlineMs,
  12: bool idempotent,
  13: string fingerprint,
  14: string traceparent,
  15: bool suspect,
  16: string prefixKey
}

struct Head {
  1: string requestId,
  2: i32 attempt,
  3: i32 status,
  4: map<string, string> headers
}

/** Part of the answer's body; offset counts body bytes from 0. */
struct Data {
  1: string requestId,
  2: i32 attempt,
  3: i64 offset,
  4: binary body
}

struct Finish {
  1: string requestId,
  2: i32 attempt,
  3: i64 length,
  4: RunOutcome outcome,
  5: FailureKind failure,
  6: string detail,
  7: i64 retryAfterMs,
  8: string targetIncarnation
}

struct Cancel {
  1: string requestId,
  2: i32 attempt,
  3: string reason
}

/** The entry has the whole answer; the companion may forget it. */
struct Ack {
  1: string requestId,
  2: i32 attempt
}

/** After a reconnection: what became of this attempt, and go on from this body offset. */
struct Query {
  1: string requestId,
  2: i32 attempt,
  3: i64 offset
}

struct QueryAnswer {
  1: string requestId,
  2: i32 attempt,
  3: RequestState state,
  4: i64 length
}

/** A companion's view of its target. */
struct LoadReport {
  1: string target,
  2: string targetIncarnation,
  3: string serviceName,
  4: string zone,
  5: i32 slots,
  6: i32 onlineRunning,
  7: i32 onlineQueued,
  8: i32 batchRunning,
  9: i32 batchFree,
  10: list<string> models,
  11: bool leaving,
  12: bool healthy,
  13: i64 fence,
  /** Version of each model that the target tells of. */
  14: optional map<string, string> versions,
  /** Role that the target tells of. */
  15: optional string role
}

/** Asks a peer for tokens of a team's bucket; milliTokens counts where tokens is absent. */
struct Borrow {
  1: i64 exchange,
  2: string team,
  3: i64 milliTokens,
  4: optional double tokens
}

/** Tokens lent; the borrower drops what it has not spent ttlMs after it sent its Borrow. As in Borrow,
 *  milliTokens, rounded down, counts where tokens is absent. */
struct Lend {
  1: i64 exchange,
  2: string team,
  3: i64 milliTokens,
  4: i64 ttlMs,
  5: optional double tokens
}

/** Highest configuration revision that the sender holds. */
struct Revision {
  1: i64 configRevision,
  2: i64 platformContactAgeMs,
  3: bool ready
}

/** A target died with this request in flight. */
struct CrashEvidence {
  1: string fingerprint,
  2: string target,
  3: string targetIncarnation,
  4: bool alone,
  5: bool refused
}

/**
 * Order for a target: load or unload a model, adapter or version, or change role. The fence grows
 * with each order. checksFence says that the target itself refuses older orders.
 */
struct Order {
  1: i64 exchange,
  2: i64 fence,
  3: string action,
  4: string subject,
  5: string version,
  6: string holder,
  7: optional bool checksFence
}

struct OrderResult {
  1: i64 exchange,
  2: bool accepted,
  3: i64 highestFence,
  4: string detail,
  /** Whether the target got the order; a refusal by the companion itself may be sent again. */
  5: optional bool passedOn
}

struct ExplainQuery {
  1: i64 exchange,
  2: string subject,
  3: i32 limit
}

struct Decision {
  1: i64 timeMs,
  2: string instance,
  3: string subject,
  4: string action,
  5: string reason,
  6: map<string, string> figures
}

struct ExplainResult {
  1: i64 exchange,
  2: list<Decision> decisions
}

union Frame {
  1: Hello hello,
  2: Heartbeat heartbeat,
  3: HeartbeatAck heartbeatAck,
  4: Start start,
  5: Head head,
  6: Data data,
  7: Finish finish,
  8: Cancel cancel,
  9: Ack ack,
  10: Query query,
  11: QueryAnswer queryAnswer,
  12: LoadReport loadReport,
  13: Borrow borrow,
  14: Lend lend,
  15: Revision revision,
  16: CrashEvidence crashEvidence,
  17: Order order,
  18: OrderResult orderResult,
  19: ExplainQuery explainQuery,
  20: ExplainResult explainResult
}

/** Calls of one instance on one target. */
struct TargetUse {
  1: string target,
  2: i32 online,
  3: i32 batch,
  /** Tokens that these calls may hold in the target's memory; absent if they aren't counted. */
  4: optional i64 tokens
}

/** Demand of one team for the targets of a service. */
struct TeamDemand {
  1: string team,
  /** Slots that the calls which arrive here would occupy, averaged over the last second. */
  2: double slots
}

/** Demand for the targets of a service at one gateway, told while they are short. */
struct ServiceDemand {
  1: string serviceName,
  2: list<TeamDemand> teams,
  /** Teams that are not named, and their demand together. */
  3: i32 otherTeams,
  4: double otherSlots
}

/** Availability zones whose targets get no requests, as listed by an instance. */
struct EvacuationList {
  1: list<string> zones,
  /** Revision of the store at which they were listed. */
  2: i64 revision,
  /** Time since then. */
  3: i64 ageMs
}

/** Calls of one team that an instance admitted since its start. */
struct TeamCount {
  1: string team,
  2: i64 admitted
}

/** A target died while it ran a request. */
struct TargetDeath {
  /** Hash of team, method, path and body. */
  1: i64 request,
  /** Name of the life of the target that ended. */
  2: string target,
  /** Hashes of the parts of its prompt that other requests share, of those that are suspected. */
  3: optional list<i64> parts
}

/** Requests with this trait are refused, since targets died with them. */
struct RefusedTrait {
  1: i64 trait,
  /** Whether it is a part of prompts, else a request as a whole. */
  2: bool part,
  /** Names of the lives of targets that ended. */
  3: list<string> deaths,
  4: i32 trials,
  /** Time since the last death or trial. */
  5: i64 ageMs
}

/** A target that states a limit on the rate of its requests, as one instance knows it. */
struct LimitedTarget {
  /** Name of the life of the target. */
  1: string target,
  /** Requests per second over all instances; absent if the target states no limit any more. */
  2: optional double perSecond,
  /** Time since a response told this instance so; absent if none did. */
  3: optional i64 ageMs,
  /** Requests that this instance has sent to it, counted while it is limited. */
  4: i64 sent,
  /** Time since the first of them. */
  5: i64 sentSinceMs,
  /** How much longer the target is known to be cold; absent if it isn't. */
  6: optional i64 remainingColdMs
}

/** A version of the software that runs on targets of a service. */
struct ServiceVersion {
  1: string serviceName,
  2: string version
}

/** Where a stream begins, told to an instance that keeps it. */
struct StreamBeginning {
  /** Hash of the team and of the id of the caller's first attempt. */
  1: i64 stream,
  /** Index of the version in the message. */
  2: i32 version,
  /** Number of the send; a later one replaces it. */
  3: i32 send
}

/** Asks which software version began a stream. */
struct StreamQuestion {
  1: i64 stream,
  /** Service that would run it now. */
  2: string serviceName
}

struct StreamAnswer {
  1: i64 stream,
  /** Index of the version in the message; absent if it isn't known. */
  2: optional i32 version,
  /** Whether the instance only knows that the service has had no other version lately. */
  3: bool soleVersion
}

/** What instances tell each other of streams that callers may resume elsewhere. */
struct StreamMessage {
  1: string instance,
  2: list<ServiceVersion> versions,
  3: list<StreamBeginning> beginnings,
  4: list<StreamQuestion> questions,
  5: list<StreamAnswer> answers
}

/** Where an instance takes reports. */
struct PeerAddress {
  1: string instance,
  2: string host,
  3: i32 port
}

/** What an instance tells the others in one datagram. */
struct PeerReport {
  1: string instance,
  /** Start of the process, Unix milliseconds. */
  2: i64 incarnation,
  3: i64 sequence,
  4: i64 ageMs,
  5: string zone,
  /** gateway or worker. */
  6: string role,
  7: string host,
  8: i32 port,
  9: i64 planVersion,
  10: bool leaving,
  /** All targets in use; those that are left out are not in use. */
  11: list<TargetUse> uses,
  /** Teams whose count has changed lately, and some others in turn. */
  12: list<TeamCount> teams,
  /** Hashes of the names of the jobs that this worker runs. */
  13: list<i64> jobs,
  14: list<TargetDeath> deaths,
  /** Instances known, in some of the reports only. */
  15: list<PeerAddress> members,
  /** Whether the receiver is to answer with a report that names its members. */
  16: bool introduce,
  /** Time since the store itself confirmed the configuration to this instance; -1 if never. */
  17: i64 planAgeMs,
  /** Time since this instance itself read the targets from the store; -1 if never. */
  18: i64 targetsAgeMs,
  /** Revision of the store at which the targets that this instance holds had changed last. */
  19: i64 targetsChanged,
  /** Reports of other instances as they came, from an instance that passes them on. */
  20: optional list<binary> relayed,
  /** Traits that an answer was lately completed with, which clears them. */
  21: optional list<i64> soundTraits,
  /** Refused traits of which this instance wants to try a request. */
  22: optional list<i64> trialTraits,
  /** In some of the reports only. */
  23: optional list<RefusedTrait> refusedTraits,
  /** Targets with a limit that has changed or that requests were sent to lately; or all. */
  24: optional list<LimitedTarget> limitedTargets,
  /** Calls that have arrived at this instance, averaged over the last second. */
  25: optional double callsPerSecond,
  /** If set, the datagram holds this message and no report. */
  26: optional StreamMessage streams,
  /** Whether the instance takes such messages. */
  27: optional bool keepsStreams,
  /** Absent where evacuations aren't read. */
  28: optional EvacuationList evacuations,
  /** Services whose targets are short. */
  29: optional list<ServiceDemand> demands
}
