# Messages between the mesh's own processes. A field is never taken away and never changes its meaning.
@0xd1a7c0ffee5ca1e5;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("martenford::rpc::wire");

struct Member { id @0 :UInt64; address @1 :Text; zone @2 :Text; region @3 :Text; counts @4 :Bool = true; }
struct Stamp { term @0 :UInt64; index @1 :UInt64; }
struct Entry { stamp @0 :Stamp; voters @1 :List(Member); value @2 :Data; outgoing @3 :List(Member); }

struct Hello { member @0 :Member; controllers @1 :List(Member); }
struct Moot {
  kind @0 :UInt8; from @1 :Member; to @2 :UInt64; term @3 :UInt64; pre @4 :Bool; yes @5 :Bool;
  newest @6 :Stamp; committed @7 :Stamp; round @8 :UInt64; entry @9 :Entry; handed @10 :Bool; leaving @11 :Bool; leads @12 :Bool;
  asked @13 :UInt64; ask @14 :UInt64;
}
struct Place {
  node @0 :Text; life @1 :UInt64; seq @2 :UInt64; gate @3 :Text; service @4 :Text; zone @5 :Text;
  instance @6 :Text; state @7 :UInt8; slots @8 :UInt32; coldLeftMs @9 :UInt32; silent @10 :Bool;
}
struct Demand { tenant @0 :Text; perS @1 :Float64; held @2 :Float64; heldMs @3 :UInt32; }
struct Grant { tenant @0 :Text; perS @1 :Float64; burst @2 :Float64; leaseMs @3 :UInt32; }
struct Announce { place @0 :Place; demands @1 :List(Demand); taken @2 :UInt64; version @3 :UInt32; asked @4 :UInt64; }
struct Grants { number @0 :UInt64; grants @1 :List(Grant); leads @2 :Bool; proxies @3 :UInt32; asked @4 :UInt64; }
struct Poll { epoch @0 :UInt64; seq @1 :UInt64; version @2 :UInt32; wantsConfig @3 :Bool; }
struct News {
  epoch @0 :UInt64; seq @1 :UInt64; whole @2 :Bool; places @3 :List(Place); gone @4 :List(Text);
  version @5 :UInt32; config @6 :Data; inTouch @7 :Bool; controllers @8 :List(Member);
}
# On disk: what the register holds.
struct Taken { version @0 :UInt32; digest @1 :UInt64; }
struct Word {
  version @0 :UInt32;
  document @1 :Data; history @2 :List(Taken);  # of programs before; in place of them now:
  packed @3 :Data;                             # the document, zstd
  versions @4 :List(UInt32); digests @5 :List(UInt64);  # the history, side by side
  forgotten @6 :UInt32;
}
struct Disk { self @0 :UInt64; term @1 :UInt64; votedFor @2 :UInt64; newest @3 :Entry; committed @4 :Entry; }

struct Envelope {
  union {
    hello @0 :Hello;
    moot @1 :Moot;
    announce @2 :Announce;
    grants @3 :Grants;
    poll @4 :Poll;
    news @5 :News;
  }
}
