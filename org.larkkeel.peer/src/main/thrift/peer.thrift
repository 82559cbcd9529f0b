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

struct SlotAsk {
  1: i64 ask
  2: string upstream
  3: i32 slots
  4: i64 holdMillis
  5: i32 priority
  6: i64 waitMillis
}

struct SlotReturn {
  1: i64 lease
  2: string upstream
  3: i32 slots
}

// A lease that a holder had from an earlier owner of the upstream, or keeps beyond its hold time.
struct SlotKeep {
  1: i64 lease
  2: string upstream
  3: i32 slots
  4: i64 holdMillis
}

struct SlotGrant {
  1: i64 ask
  2: string upstream
  3: i64 lease
  4: i32 slots
  5: i64 holdMillis
}

struct SlotRefusal {
  1: i64 ask
  2: string upstream
  3: i8 reason
}

// The owner asks a holder to return slots that it does not use.
struct SlotRecall {
  1: string upstream
  2: i32 slots
}

struct LimitAsk {
  1: string workspace
  2: i64 requestsMilli
  3: i64 tokensMilli
  4: i32 running
  5: i32 concurrency
}

struct LimitGrant {
  1: string workspace
  2: i64 requestsMilli
  3: i64 tokensMilli
  4: i32 concurrency
  5: i64 ttlMillis
}

// Everything that one node has to say to another since the last flush.
struct Batch {
  1: WireNode sender
  2: optional list<SlotAsk> slotAsks
  3: optional list<SlotReturn> slotReturns
  4: optional list<SlotKeep> slotKeeps
  5: optional list<SlotGrant> slotGrants
  6: optional list<SlotRefusal> slotRefusals
  7: optional list<SlotRecall> slotRecalls
  8: optional list<LimitAsk> limitAsks
  9: optional list<LimitGrant> limitGrants
}

struct ConfigPage {
  1: i64 revision
  2: binary content
  3: bool more
}

service PeerService {
  Batch exchange(1: Batch batch)
  ConfigPage pullConfig(1: i64 fromRevision)
}
