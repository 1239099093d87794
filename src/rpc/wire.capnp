# Cap'n Proto schema of the messages between proxies and controllers, and of the controllers' records on disk.
# The C++ structs of the same names are in rpc/messages.h, rpc/config_record.h, raft/raft_node.h,
# registry/registration.h and quota/quota_types.h; their comments give units and meaning of the fields.
#
# Compatibility: processes of two releases talk to each other, and a controller reads the data directory of any
# release before it. Names may change; ordinals, types, defaults, union members and the file id may not. A field
# is never removed and never gets another meaning. tests/mesh/golden_test.cpp checks the bytes.
@0xd1a7c0ffee5ca1e5;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("martenford::rpc::wire");

# ---- parts of messages and records

# A controller as a member of the Raft group.
struct Member {
  id @0 :UInt64;
  address @1 :Text;              # "ip:port"
  zone @2 :Text;
  region @3 :Text;
  lossCounted @4 :Bool = true;   # this machine's loss counts against fault_tolerance
  hasNoHistory @5 :Bool;         # raft::MemberHistory::None, in Hello.member only; false: it does not say
}

struct LogPosition {
  term @0 :UInt64;
  index @1 :UInt64;
}

# The Raft log is one entry long: each entry holds the whole value.
struct LogEntry {
  position @0 :LogPosition;
  voters @1 :List(Member);
  value @2 :Data;                  # a ConfigRecord; empty before the first configuration
  outgoingVoters @3 :List(Member); # the old set during joint consensus (Ongaro and Ousterhout 2014, section 6)
}

# A proxy and the endpoint beside it.
struct ProxyRegistration {
  node @0 :Text;
  incarnation @1 :UInt64;
  seq @2 :UInt64;
  inboundAddress @3 :Text;  # "ip:port"
  service @4 :Text;
  zone @5 :Text;
  instanceId @6 :Text;
  state @7 :UInt8;          # registry::EndpointState; a reader takes an unknown number for Draining
  slots @8 :UInt32;
  coldLeftMs @9 :UInt32;
  leaseExpired @10 :Bool;   # set by a controller, in WatchResponse only
}

# A tenant's traffic as one proxy has seen it.
struct QuotaDemand {
  tenant @0 :Text;
  ratePerS @1 :Float64;
  leasedRatePerS @2 :Float64;
  leaseRemainingMs @3 :UInt32;
}

# One proxy's share of a tenant's rate limit.
struct QuotaLease {
  tenant @0 :Text;
  ratePerS @1 :Float64;
  burst @2 :Float64;
  leaseMs @3 :UInt32;   # counts from RegisterResponse.requestSentAt
}

# ---- messages

# Controller to controller, every 500 ms while connected, and back as the answer: identity and known controllers.
struct Hello {
  member @0 :Member;
  controllers @1 :List(Member);
}

# Controller to controller: RequestVote and AppendEntries with their replies, and TimeoutNow. The leader sends
# AppendEntries every 100 ms; the others are sent on demand. See raft::Message for which kind uses which field.
struct RaftMessage {
  kind @0 :UInt8;   # raft::Message::Kind
  from @1 :Member;
  to @2 :UInt64;
  term @3 :UInt64;
  preVote @4 :Bool;
  granted @5 :Bool;
  lastPosition @6 :LogPosition;
  commitPosition @7 :LogPosition;
  round @8 :UInt64;
  entry @9 :LogEntry;   # absent where the receiver has it
  leadershipTransfer @10 :Bool;
  leaving @11 :Bool;
  hasQuorum @12 :Bool;
  sentAt @13 :UInt64;
  contactSequence @14 :UInt64;
}

# Proxy to every controller, every 500 ms and at each change: renews the registration's lease and reports demand.
struct RegisterRequest {
  registration @0 :ProxyRegistration;
  demands @1 :List(QuotaDemand);
  appliedResponse @2 :UInt64;
  configVersion @3 :UInt32;
  sentAt @4 :UInt64;
  knownProxies @5 :UInt32;  # 0: not said
}

# Controller to proxy: the answer to each RegisterRequest. Only the leader puts leases into it.
struct RegisterResponse {
  responseNumber @0 :UInt64;
  quotaLeases @1 :List(QuotaLease);
  fromLeader @2 :Bool;
  liveProxies @3 :UInt32;
  requestSentAt @4 :UInt64;
}

# Proxy to controller: a long poll, one at a time on a connection. It says what the proxy has.
struct WatchRequest {
  epoch @0 :UInt64;
  seq @1 :UInt64;
  configVersion @2 :UInt32;
  wantsConfig @3 :Bool;
}

# Controller to proxy: the answer to a WatchRequest, at a change or after 900 ms without one.
struct WatchResponse {
  epoch @0 :UInt64;
  seq @1 :UInt64;
  isSnapshot @2 :Bool;
  registrations @3 :List(ProxyRegistration);
  removedNodes @4 :List(Text);
  configVersion @5 :UInt32;
  config @6 :Data;
  hasQuorumContact @7 :Bool;
  controllers @8 :List(Member);
}

# The root of every message.
struct Envelope {
  union {
    hello @0 :Hello;
    raftMessage @1 :RaftMessage;
    registerRequest @2 :RegisterRequest;
    registerResponse @3 :RegisterResponse;
    watchRequest @4 :WatchRequest;
    watchResponse @5 :WatchResponse;
  }
}

# ---- on disk

# The old form's item of ConfigRecord.acceptedChanges.
struct AcceptedChange {
  version @0 :UInt32;
  digest @1 :UInt64;
}

# The value of a Raft log entry: the operator's configuration and the history of accepted changes. Written at each
# accepted change; sent inside RaftMessage.entry too.
struct ConfigRecord {
  version @0 :UInt32;
  document @1 :Data;                          # old form until 2026-12-02, still read: uncompressed
  acceptedChanges @2 :List(AcceptedChange);   # old form until 2026-12-02, still read
  compressedDocument @3 :Data;                # one zstd frame; its presence marks the form in use
  acceptedVersions @4 :List(UInt32);          # the history as two lists of one length, oldest first
  acceptedDigests @5 :List(UInt64);
  forgottenUpTo @6 :UInt32;
}

# Raft's persistent state. rpc/persistent_records.h says how it is split into records. Written before any message
# that depends on it is sent.
struct PersistentState {
  selfId @0 :UInt64;
  term @1 :UInt64;
  votedFor @2 :UInt64;
  lastEntry @3 :LogEntry;
  committedEntry @4 :LogEntry;
}
