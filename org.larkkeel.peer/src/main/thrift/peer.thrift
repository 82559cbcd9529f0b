// What the nodes of larkkeel send to each other. Regenerate from the module's folder with
//   thrift --gen java:generated_annotations=suppress,private_members -out src/main/java src/main/thrift/peer.thrift

namespace java org.larkkeel.peer.gen

// One host as one node knows it. The order of records is (incarnation, refutation, state).
struct WireMember {
  1: string host
  2: i64 incarnation
  3: i32 refutation
  4: i8 state
  5: bool leaving
  6: binary ip
  7: i32 port
  8: string dataCentre
}

struct WireLoad {
  1: string key
  2: i64 version
  3: binary value
}

// The payload of a datagram: one message of the membership protocol.
struct WireMessage {
  1: i8 type
  2: i64 sequence
  3: string sender
  4: i64 incarnation
  5: i64 revision
  6: optional string target
  7: optional i64 targetIncarnation
  8: optional binary targetIp
  9: optional i32 targetPort
  10: optional i64 digest
  11: optional string after
  12: optional bool more
  13: optional list<WireMember> members
  14: optional list<WireLoad> load
}

struct WireNode {
  1: string host
  2: i64 incarnation
}

struct WireSlotWait {
  1: i32 priority
  2: i32 count
}

// What a holder has and wants: asks, returns and renews at once.
struct WireSlotReport {
  1: string key
  2: i64 epoch
  3: i64 sequence
  4: i64 seen
  5: i32 held
  6: optional list<WireSlotWait> waits
}

struct WireSlotGrant {
  1: string key
  2: i64 epoch
  3: i64 sequence
  4: i64 base
  5: i64 number
  6: i32 added
  7: bool contended
}

struct WireLimitAsk {
  1: string workspace
  2: i64 sequence
  3: i64 requestsWanted
  4: i64 tokensWanted
  5: i64 requestsReturned
  6: i64 tokensReturned
  7: i64 tokensOfNext
}

struct WireLimitGrant {
  1: string workspace
  2: i64 sequence
  3: i64 requests
  4: i64 tokens
  5: i64 retryMillis
}

// Everything that one node has to say to another since the last flush.
struct Batch {
  1: WireNode sender
  2: optional list<WireSlotReport> slotReports
  3: optional list<WireSlotGrant> slotGrants
  4: optional list<WireLimitAsk> limitAsks
  5: optional list<WireLimitGrant> limitGrants
}

struct ConfigPage {
  1: i64 revision
  2: binary content
  3: bool more
}

// A wish to run a request at most once, sent to the owner of its records.
struct WireRunClaim {
  1: string workspace
  2: string key
  3: string bodyDigest
  4: string token
}

enum WireClaimAnswer {
  CLAIMED = 1
  ALREADY_DONE = 2
  IN_PROGRESS = 3
  UNKNOWN = 4
  KEY_REUSED = 5
  UNAVAILABLE = 6
  NOT_OWNER = 7
}

struct WireRunAnswer {
  1: i32 status
  2: string contentType
  3: binary body
}

struct WireClaimReply {
  1: WireClaimAnswer answer
  2: optional WireRunAnswer recorded
}

enum WireRunEnd {
  ANSWERED = 1
  NOT_RUN = 2
  UNKNOWN = 3
}

// How a claimed run ended.
struct WireRunRecord {
  1: string workspace
  2: string key
  3: string token
  4: WireRunEnd outcome
  5: optional WireRunAnswer answer
}

enum WireRecordAnswer {
  RECORDED = 1
  NOT_OWNER = 2
  UNAVAILABLE = 3
  NO_SUCH_RUN = 4
}

service PeerService {
  Batch exchange(1: Batch batch)
  ConfigPage pullConfig(1: i64 fromRevision)
  WireClaimReply claimRun(1: WireRunClaim claim)
  WireRecordAnswer recordRun(1: WireRunRecord record)
}
