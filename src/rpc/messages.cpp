#include "rpc/messages.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>
#include <zstd.h>

#include <algorithm>
#include <cstring>
#include <memory>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "rpc/wire.capnp.h"

namespace martenford::rpc {

namespace {

std::string text(capnp::Text::Reader from) {
    return {from.cStr(), from.size()};
}
std::string bytes(capnp::Data::Reader from) {
    return {reinterpret_cast<const char*>(from.begin()), from.size()};
}
capnp::Data::Reader data(const std::string& from) {
    return {reinterpret_cast<const capnp::byte*>(from.data()), from.size()};
}

void put(wire::Member::Builder to, const raft::Member& from) {
    to.setId(from.id);
    to.setAddress(from.address);
    to.setZone(from.zone);
    to.setRegion(from.region);
    to.setCounts(from.loss_counted);
}
raft::Member get(wire::Member::Reader from) {
    return {from.getId(), text(from.getAddress()), text(from.getZone()), text(from.getRegion()),
            from.getCounts()};
}
void put(wire::Stamp::Builder to, const raft::LogPosition& from) {
    to.setTerm(from.term);
    to.setIndex(from.index);
}
raft::LogPosition get(wire::Stamp::Reader from) {
    return {from.getTerm(), from.getIndex()};
}

void put(wire::Place::Builder to, const registry::ProxyRegistration& from);
registry::ProxyRegistration get(wire::Place::Reader from);
void put(wire::Demand::Builder to, const quota::QuotaDemand& from);
quota::QuotaDemand get(wire::Demand::Reader from);
void put(wire::Grant::Builder to, const quota::QuotaLease& from);
quota::QuotaLease get(wire::Grant::Reader from);

template <class List, class Items>
void put_all(List to, const Items& from) {
    for (unsigned i = 0; i < from.size(); ++i) put(to[i], from[i]);
}
template <class List>
auto get_all(List from) {
    std::vector<decltype(get(from[0]))> all;
    for (auto item : from) all.push_back(get(item));
    return all;
}

void put(wire::Entry::Builder to, const raft::LogEntry& from) {
    put(to.initStamp(), from.position);
    put_all(to.initVoters(static_cast<unsigned>(from.voters.size())), from.voters);
    put_all(to.initOutgoing(static_cast<unsigned>(from.outgoing_voters.size())), from.outgoing_voters);
    to.setValue(data(from.value));
}
raft::LogEntry get(wire::Entry::Reader from) {
    return {get(from.getStamp()), get_all(from.getVoters()), bytes(from.getValue()),
            get_all(from.getOutgoing())};
}

void put(wire::Place::Builder to, const registry::ProxyRegistration& from) {
    to.setNode(from.node);
    to.setLife(from.incarnation);
    to.setSeq(from.seq);
    to.setGate(from.inbound_address);
    to.setService(from.service);
    to.setZone(from.zone);
    to.setInstance(from.instance_id);
    to.setState(static_cast<std::uint8_t>(from.state));
    to.setSlots(from.slots);
    to.setColdLeftMs(from.cold_left_ms);
    to.setSilent(from.lease_expired);
}
registry::ProxyRegistration get(wire::Place::Reader from) {
    const auto state = static_cast<registry::EndpointState>(std::min<std::uint8_t>(from.getState(), 2));
    return {text(from.getNode()),
            from.getLife(),
            from.getSeq(),
            text(from.getGate()),
            text(from.getService()),
            text(from.getZone()),
            text(from.getInstance()),
            state,
            from.getSlots(),
            from.getColdLeftMs(),
            from.getSilent()};
}
void put(wire::Demand::Builder to, const quota::QuotaDemand& from) {
    to.setTenant(from.tenant);
    to.setPerS(from.rate_per_s);
    to.setHeld(from.leased_rate_per_s);
    to.setHeldMs(from.lease_remaining_ms);
}
quota::QuotaDemand get(wire::Demand::Reader from) {
    return {text(from.getTenant()), from.getPerS(), from.getHeld(), from.getHeldMs()};
}
void put(wire::Grant::Builder to, const quota::QuotaLease& from) {
    to.setTenant(from.tenant);
    to.setPerS(from.rate_per_s);
    to.setBurst(from.burst);
    to.setLeaseMs(from.lease_ms);
}
quota::QuotaLease get(wire::Grant::Reader from) {
    return {text(from.getTenant()), from.getPerS(), from.getBurst(), from.getLeaseMs()};
}

struct Put {
    wire::Envelope::Builder to;
    void operator()(const Hello& from) {
        auto out = to.initHello();
        put(out.initMember(), from.member);
        put_all(out.initControllers(static_cast<unsigned>(from.controllers.size())), from.controllers);
    }
    void operator()(const raft::Message& from) {
        auto out = to.initMoot();
        out.setKind(static_cast<std::uint8_t>(from.kind));
        put(out.initFrom(), from.from);
        out.setTo(from.to);
        out.setTerm(from.term);
        out.setPre(from.pre_vote);
        out.setYes(from.granted);
        put(out.initNewest(), from.last_position);
        put(out.initCommitted(), from.commit_position);
        out.setRound(from.round);
        out.setHanded(from.leadership_transfer);
        out.setLeaving(from.leaving);
        out.setLeads(from.has_quorum);
        out.setAsked(from.sent_at);
        out.setAsk(from.contact_sequence);
        if (from.entry) put(out.initEntry(), *from.entry);
    }
    void operator()(const RegisterRequest& from) {
        auto out = to.initAnnounce();
        put(out.initPlace(), from.registration);
        put_all(out.initDemands(static_cast<unsigned>(from.demands.size())), from.demands);
        out.setTaken(from.applied_response);
        out.setVersion(from.config_version);
        out.setAsked(from.sent_at);
    }
    void operator()(const RegisterResponse& from) {
        auto out = to.initGrants();
        out.setNumber(from.response_number);
        put_all(out.initGrants(static_cast<unsigned>(from.quota_leases.size())), from.quota_leases);
        out.setLeads(from.from_leader);
        out.setProxies(from.live_proxies);
        out.setAsked(from.request_sent_at);
    }
    void operator()(const WatchRequest& from) {
        auto out = to.initPoll();
        out.setEpoch(from.epoch);
        out.setSeq(from.seq);
        out.setVersion(from.config_version);
        out.setWantsConfig(from.wants_config);
    }
    void operator()(const WatchResponse& from) {
        auto out = to.initNews();
        out.setEpoch(from.registry.epoch);
        out.setSeq(from.registry.seq);
        out.setWhole(from.registry.is_snapshot);
        put_all(out.initPlaces(static_cast<unsigned>(from.registry.registrations.size())),
                from.registry.registrations);
        auto gone = out.initGone(static_cast<unsigned>(from.registry.removed_nodes.size()));
        for (unsigned i = 0; i < from.registry.removed_nodes.size(); ++i)
            gone.set(i, from.registry.removed_nodes[i]);
        out.setVersion(from.config_version);
        out.setConfig(data(from.config));
        out.setInTouch(from.has_quorum_contact);
        put_all(out.initControllers(static_cast<unsigned>(from.controllers.size())), from.controllers);
    }
};

std::string flat(capnp::MallocMessageBuilder& message) {
    const auto words = capnp::messageToFlatArray(message);
    const auto all = words.asBytes();
    return {reinterpret_cast<const char*>(all.begin()), all.size()};
}

/// Calls `read` with the root of a message; nothing where the bytes hold none. What the library throws ends
/// here.
template <class Root, class Read>
auto parsed(std::string_view from, Read read)
    -> std::optional<decltype(read(std::declval<typename Root::Reader>()))> {
    kj::Array<capnp::word> words = kj::heapArray<capnp::word>((from.size() + 7) / 8);
    if (words.size() == 0) return std::nullopt;
    std::memcpy(words.begin(), from.data(), from.size());
    try {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = kMaxMessageBytes;
        capnp::FlatArrayMessageReader message(words, options);
        return read(message.getRoot<Root>());
    } catch (const kj::Exception&) {
        return std::nullopt;
    }
}

}  // namespace

std::string encode(const Message& message) {
    capnp::MallocMessageBuilder builder;
    std::visit(Put{builder.initRoot<wire::Envelope>()}, message);
    return flat(builder);
}

std::optional<Message> decode(std::string_view from) {
    const auto read = [](wire::Envelope::Reader in) -> std::optional<Message> {
        switch (in.which()) {
            case wire::Envelope::HELLO:
                return Hello{get(in.getHello().getMember()), get_all(in.getHello().getControllers())};
            case wire::Envelope::MOOT: {
                const auto from = in.getMoot();
                if (from.getKind() > static_cast<std::uint8_t>(raft::Message::Kind::TimeoutNow))
                    return std::nullopt;
                raft::Message out;
                out.kind = static_cast<raft::Message::Kind>(from.getKind());
                out.from = get(from.getFrom());
                out.to = from.getTo();
                out.term = from.getTerm();
                out.pre_vote = from.getPre();
                out.granted = from.getYes();
                out.last_position = get(from.getNewest());
                out.commit_position = get(from.getCommitted());
                out.round = from.getRound();
                out.leadership_transfer = from.getHanded();
                out.leaving = from.getLeaving();
                out.has_quorum = from.getLeads();
                out.sent_at = from.getAsked();
                out.contact_sequence = from.getAsk();
                if (from.hasEntry()) out.entry = get(from.getEntry());
                return out;
            }
            case wire::Envelope::ANNOUNCE: {
                const auto from = in.getAnnounce();
                return RegisterRequest{get(from.getPlace()), get_all(from.getDemands()), from.getTaken(),
                                       from.getVersion(), from.getAsked()};
            }
            case wire::Envelope::GRANTS: {
                const auto from = in.getGrants();
                return RegisterResponse{from.getNumber(), get_all(from.getGrants()), from.getLeads(),
                                        from.getProxies(), from.getAsked()};
            }
            case wire::Envelope::POLL: {
                const auto from = in.getPoll();
                return WatchRequest{from.getEpoch(), from.getSeq(), from.getVersion(), from.getWantsConfig()};
            }
            case wire::Envelope::NEWS: {
                const auto from = in.getNews();
                WatchResponse out;
                out.registry = {
                    from.getEpoch(), from.getSeq(), from.getWhole(), get_all(from.getPlaces()), {}};
                for (const auto node : from.getGone()) out.registry.removed_nodes.push_back(text(node));
                out.config_version = from.getVersion();
                out.config = bytes(from.getConfig());
                out.has_quorum_contact = from.getInTouch();
                out.controllers = get_all(from.getControllers());
                return out;
            }
        }
        return std::nullopt;
    };
    auto message = parsed<wire::Envelope>(from, read);
    return message ? std::move(*message) : std::nullopt;
}

namespace {

constexpr int kPackLevel =
    3;  // zstd's own default: 3 ms for a megabyte; the next ones cost more than they save

std::string packed(const std::string& from) {
    std::string to(ZSTD_compressBound(from.size()), '\0');
    const std::size_t size = ZSTD_compress(to.data(), to.size(), from.data(), from.size(), kPackLevel);
    to.resize(ZSTD_isError(size) ? 0 : size);
    return to;
}
std::optional<std::string> unpacked(capnp::Data::Reader from) {
    const auto size = ZSTD_getFrameContentSize(from.begin(), from.size());
    if (size > kMaxDocumentBytes) return std::nullopt;  // and the library's two error codes, which are larger
    std::string to(size, '\0');
    if (ZSTD_decompress(to.data(), to.size(), from.begin(), from.size()) != size) return std::nullopt;
    return to;
}

}  // namespace

std::string encode(const ConfigRecord& record) {
    capnp::MallocMessageBuilder builder;
    auto out = builder.initRoot<wire::Word>();
    out.setVersion(record.version);
    out.setPacked(data(packed(record.document)));
    out.setForgotten(record.forgotten_up_to);
    const auto size = static_cast<unsigned>(record.accepted_changes.size());
    auto versions = out.initVersions(size);
    auto digests = out.initDigests(size);
    for (unsigned i = 0; i < size; ++i) {
        versions.set(i, record.accepted_changes[i].version);
        digests.set(i, record.accepted_changes[i].digest);
    }
    return flat(builder);
}

std::optional<ConfigRecord> decode_word(std::string_view from) {
    if (from.empty()) return ConfigRecord{};
    auto record = parsed<wire::Word>(from, [](wire::Word::Reader in) -> std::optional<ConfigRecord> {
        ConfigRecord record{in.getVersion(), "", {}, in.getForgotten()};
        if (!in.hasPacked()) {  // a program before wrote it
            record.document = bytes(in.getDocument());
            for (const auto taken : in.getHistory())
                record.accepted_changes.push_back({taken.getVersion(), taken.getDigest()});
            // It kept the last 500 and did not say whether there were more.
            if (!record.accepted_changes.empty())
                record.forgotten_up_to = record.accepted_changes.front().version - 1;
            return record;
        }
        auto document = unpacked(in.getPacked());
        const auto versions = in.getVersions();
        const auto digests = in.getDigests();
        if (!document || versions.size() != digests.size()) return std::nullopt;
        record.document = std::move(*document);
        for (unsigned i = 0; i < versions.size(); ++i)
            record.accepted_changes.push_back({versions[i], digests[i]});
        return record;
    });
    return record ? std::move(*record) : std::nullopt;
}

std::string encode(const raft::PersistentState& disk) {
    capnp::MallocMessageBuilder builder;
    auto out = builder.initRoot<wire::Disk>();
    out.setSelf(disk.self_id);
    out.setTerm(disk.term);
    out.setVotedFor(disk.voted_for);
    put(out.initNewest(), disk.last_entry);
    put(out.initCommitted(), disk.committed_entry);
    return flat(builder);
}

std::optional<raft::PersistentState> decode_disk(std::string_view from) {
    return parsed<wire::Disk>(from, [](wire::Disk::Reader in) {
        return raft::PersistentState{in.getSelf(), in.getTerm(), in.getVotedFor(), get(in.getNewest()),
                                     get(in.getCommitted())};
    });
}

namespace {

constexpr char kState[] = "state";
constexpr char kWhole[] = "word";  // all in one record, as programs before wrote it

std::string name_of(const raft::LogPosition& stamp) {
    return "value." + std::to_string(stamp.term) + "." + std::to_string(stamp.index);
}
/// Ties the state to the values that it was written with: one that is not of the same write is seen.
struct Sums {
    std::uint64_t newest = 0, committed = 0;
    bool operator==(const Sums&) const = default;
};
Sums sums_of(const std::string& newest, const std::string& committed) {
    return {XXH3_64bits(newest.data(), newest.size()), XXH3_64bits(committed.data(), committed.size())};
}

}  // namespace

std::map<std::string, std::string> records_of(const raft::PersistentState& disk) {
    const Sums sums = sums_of(disk.last_entry.value, disk.committed_entry.value);
    raft::PersistentState bare = disk;
    bare.last_entry.value.clear();
    bare.committed_entry.value.clear();
    return {{kState, std::string(reinterpret_cast<const char*>(&sums), sizeof sums) + encode(bare)},
            {name_of(disk.last_entry.position), disk.last_entry.value},
            {name_of(disk.committed_entry.position), disk.committed_entry.value}};
}

std::optional<raft::PersistentState> disk_of(const std::map<std::string, std::string>& records) {
    const auto state = records.find(kState);
    if (state == records.end()) {
        const auto whole = records.find(kWhole);
        return whole == records.end() ? std::nullopt : decode_disk(whole->second);
    }
    Sums sums;
    if (state->second.size() < sizeof sums) return std::nullopt;
    std::memcpy(&sums, state->second.data(), sizeof sums);
    auto disk = decode_disk(std::string_view(state->second).substr(sizeof sums));
    if (!disk) return std::nullopt;
    const auto newest = records.find(name_of(disk->last_entry.position));
    const auto committed = records.find(name_of(disk->committed_entry.position));
    if (newest == records.end() || committed == records.end() ||
        sums_of(newest->second, committed->second) != sums)
        return std::nullopt;
    disk->last_entry.value = newest->second;
    disk->committed_entry.value = committed->second;
    return disk;
}

}  // namespace martenford::rpc
