// The messages between proxies and controllers, and the controllers' data directories, against bytes that an
// earlier release wrote (golden/README.md). The fixtures' file names contain the type names of that release.
#include "golden.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "durable_store/durable_store.h"
#include "framing/frame.h"
#include "raft/raft_node.h"
#include "rpc/channel.h"
#include "rpc/messages.h"

using namespace martenford;

namespace {

std::string path_of(const std::string& name) {
    return std::string(GOLDEN_DIR) + "/" + name;
}

// ---- the values. No field has its default, so that a field that is lost shows.

const raft::Member kFirst{11, "10.1.0.1:7000", "zone-a", "region-x", false};
const raft::Member kSecond{12, "10.1.0.2:7000", "zone-b", "region-y", true};
const raft::Member kThird{13, "10.1.0.3:7000", "zone-c", "region-z", true};
const raft::Member kFourth{14, "10.1.0.4:7000", "zone-d", "region-w", false};

const registry::ProxyRegistration kReady{"node-1", 21,       22,         "10.2.0.1:7001",
                                         "orders", "zone-a", "orders-1", registry::EndpointState::Ready,
                                         23,       240,      true};
const registry::ProxyRegistration kDraining{"node-2", 31,       32,        "10.2.0.2:7002",
                                            "stock",  "zone-b", "stock-2", registry::EndpointState::Draining,
                                            33,       340,      true};

/// An entry during joint consensus: the voters of both sets.
raft::LogEntry joint_entry() {
    return {{41, 42}, {kFirst, kSecond, kThird}, std::string("value\0of bytes\xff", 15), {kSecond, kFourth}};
}

raft::Message raft_message(raft::Message::Kind kind) {
    raft::Message message;
    message.kind = kind;
    message.from = kFirst;
    message.to = 51;
    message.term = 52;
    message.pre_vote = message.granted = message.leadership_transfer = message.leaving = message.has_quorum =
        true;
    message.last_position = {53, 54};
    message.commit_position = {55, 56};
    message.round = 57;
    message.sent_at = 58;
    message.contact_sequence = 59;
    if (kind == raft::Message::Kind::AppendEntries) message.entry = joint_entry();
    return message;
}

rpc::WatchResponse watch_response() {
    rpc::WatchResponse response;
    response.registry = {61, 62, true, {kReady, kDraining}, {"node-3", "node-4"}};
    response.config_version = 63;
    response.config = std::string("config\0bytes\xfe", 13);
    response.has_quorum_contact = true;
    response.controllers = {kSecond, kFourth};
    return response;
}

/// A record with four accepted changes; those up to version 72 are no longer in it.
rpc::ConfigRecord config_record() {
    return {79, R"({"version":"79"})", {{73, 0xd1}, {75, 0xd2}, {78, 0xd3}, {79, 0xfedcba9876543210}}, 72};
}
rpc::ConfigRecord previous_config_record() {
    return {78, R"({"version":"78"})", {{73, 0xd1}, {75, 0xd2}, {78, 0xd3}}, 72};
}

/// A state with a vote, a committed entry and a later uncommitted one that changes the voters.
raft::PersistentState joint_state() {
    return {11,
            82,
            12,
            {{82, 86}, {kFirst, kSecond, kThird}, rpc::encode(config_record()), {kSecond, kThird, kFourth}},
            {{81, 85}, {kSecond, kThird, kFourth}, rpc::encode(previous_config_record()), {kFourth}}};
}
/// The state of the only voter.
raft::PersistentState single_voter_state() {
    return {12,
            92,
            12,
            {{92, 96}, {kSecond}, rpc::encode(config_record())},
            {{91, 95}, {kSecond}, rpc::encode(previous_config_record())}};
}

// ---- checks of decoded values, field by field

void check_member(const raft::Member& read, std::uint64_t id, const std::string& address,
                  const std::string& zone, const std::string& region, bool loss_counted) {
    CHECK(read.id == id);
    CHECK(read.address == address);
    CHECK(read.zone == zone);
    CHECK(read.region == region);
    CHECK(read.loss_counted == loss_counted);
}
void check_first(const raft::Member& read) {
    check_member(read, 11, "10.1.0.1:7000", "zone-a", "region-x", false);
}
void check_second(const raft::Member& read) {
    check_member(read, 12, "10.1.0.2:7000", "zone-b", "region-y", true);
}
void check_third(const raft::Member& read) {
    check_member(read, 13, "10.1.0.3:7000", "zone-c", "region-z", true);
}
void check_fourth(const raft::Member& read) {
    check_member(read, 14, "10.1.0.4:7000", "zone-d", "region-w", false);
}

void check_ready(const registry::ProxyRegistration& read) {
    CHECK(read.node == "node-1");
    CHECK(read.incarnation == 21);
    CHECK(read.seq == 22);
    CHECK(read.inbound_address == "10.2.0.1:7001");
    CHECK(read.service == "orders");
    CHECK(read.zone == "zone-a");
    CHECK(read.instance_id == "orders-1");
    CHECK(read.state == registry::EndpointState::Ready);
    CHECK(read.slots == 23);
    CHECK(read.cold_left_ms == 240);
    CHECK(read.lease_expired);
}
void check_draining(const registry::ProxyRegistration& read) {
    CHECK(read.node == "node-2");
    CHECK(read.incarnation == 31);
    CHECK(read.seq == 32);
    CHECK(read.inbound_address == "10.2.0.2:7002");
    CHECK(read.service == "stock");
    CHECK(read.zone == "zone-b");
    CHECK(read.instance_id == "stock-2");
    CHECK(read.state == registry::EndpointState::Draining);
    CHECK(read.slots == 33);
    CHECK(read.cold_left_ms == 340);
    CHECK(read.lease_expired);
}

void check_config_record(const rpc::ConfigRecord& read) {
    CHECK(read.version == 79);
    CHECK(read.document == R"({"version":"79"})");
    REQUIRE(read.accepted_changes.size() == 4);
    CHECK(read.accepted_changes[0].version == 73);
    CHECK(read.accepted_changes[0].digest == 0xd1);
    CHECK(read.accepted_changes[1].version == 75);
    CHECK(read.accepted_changes[1].digest == 0xd2);
    CHECK(read.accepted_changes[2].version == 78);
    CHECK(read.accepted_changes[2].digest == 0xd3);
    CHECK(read.accepted_changes[3].version == 79);
    CHECK(read.accepted_changes[3].digest == 0xfedcba9876543210);
    CHECK(read.forgotten_up_to == 72);
}
void check_previous_config_record(const rpc::ConfigRecord& read) {
    CHECK(read.version == 78);
    CHECK(read.document == R"({"version":"78"})");
    REQUIRE(read.accepted_changes.size() == 3);
    CHECK(read.accepted_changes[0].version == 73);
    CHECK(read.accepted_changes[0].digest == 0xd1);
    CHECK(read.accepted_changes[1].version == 75);
    CHECK(read.accepted_changes[1].digest == 0xd2);
    CHECK(read.accepted_changes[2].version == 78);
    CHECK(read.accepted_changes[2].digest == 0xd3);
    CHECK(read.forgotten_up_to == 72);
}
/// Checks the value of a log entry.
void check_value(const std::string& value) {
    const auto record = rpc::decode_config_record(value);
    REQUIRE(record);
    check_config_record(*record);
}
void check_previous_value(const std::string& value) {
    const auto record = rpc::decode_config_record(value);
    REQUIRE(record);
    check_previous_config_record(*record);
}

void check_joint_state(const raft::PersistentState& read) {
    CHECK(read.self_id == 11);
    CHECK(read.term == 82);
    CHECK(read.voted_for == 12);
    CHECK(read.last_entry.position.term == 82);
    CHECK(read.last_entry.position.index == 86);
    REQUIRE(read.last_entry.voters.size() == 3);
    check_first(read.last_entry.voters[0]);
    check_second(read.last_entry.voters[1]);
    check_third(read.last_entry.voters[2]);
    REQUIRE(read.last_entry.outgoing_voters.size() == 3);
    check_second(read.last_entry.outgoing_voters[0]);
    check_third(read.last_entry.outgoing_voters[1]);
    check_fourth(read.last_entry.outgoing_voters[2]);
    check_value(read.last_entry.value);
    CHECK(read.committed_entry.position.term == 81);
    CHECK(read.committed_entry.position.index == 85);
    REQUIRE(read.committed_entry.voters.size() == 3);
    check_second(read.committed_entry.voters[0]);
    check_third(read.committed_entry.voters[1]);
    check_fourth(read.committed_entry.voters[2]);
    REQUIRE(read.committed_entry.outgoing_voters.size() == 1);
    check_fourth(read.committed_entry.outgoing_voters[0]);
    check_previous_value(read.committed_entry.value);
}
void check_single_voter_state(const raft::PersistentState& read) {
    CHECK(read.self_id == 12);
    CHECK(read.term == 92);
    CHECK(read.voted_for == 12);
    CHECK(read.last_entry.position.term == 92);
    CHECK(read.last_entry.position.index == 96);
    REQUIRE(read.last_entry.voters.size() == 1);
    check_second(read.last_entry.voters[0]);
    CHECK(read.last_entry.outgoing_voters.empty());
    check_value(read.last_entry.value);
    CHECK(read.committed_entry.position.term == 91);
    CHECK(read.committed_entry.position.index == 95);
    REQUIRE(read.committed_entry.voters.size() == 1);
    check_second(read.committed_entry.voters[0]);
    CHECK(read.committed_entry.outgoing_voters.empty());
    check_previous_value(read.committed_entry.value);
}

/// Decodes the fixture's message. Checks first that `expected` is encoded to the fixture's bytes, and that
/// the decoded message is too.
template <class Kind>
Kind read_rpc(const std::string& file, const Kind& expected) {
    const std::string bytes = golden::kept(path_of(file), rpc::encode(rpc::Message{expected}));
    CHECK(rpc::encode(rpc::Message{expected}) == bytes);
    const auto read = rpc::decode(bytes);
    REQUIRE(read);
    CHECK(rpc::encode(*read) == bytes);
    REQUIRE(std::holds_alternative<Kind>(*read));
    return std::get<Kind>(*read);
}

void check_raft(const std::string& file, raft::Message::Kind kind, int number) {
    CAPTURE(file);
    CHECK(static_cast<int>(kind) == number);
    const auto read = read_rpc(file, raft_message(kind));
    CHECK(read.kind == kind);
    check_first(read.from);
    CHECK(read.to == 51);
    CHECK(read.term == 52);
    CHECK(read.pre_vote);
    CHECK(read.granted);
    CHECK(read.leadership_transfer);
    CHECK(read.leaving);
    CHECK(read.has_quorum);
    CHECK(read.last_position.term == 53);
    CHECK(read.last_position.index == 54);
    CHECK(read.commit_position.term == 55);
    CHECK(read.commit_position.index == 56);
    CHECK(read.round == 57);
    CHECK(read.sent_at == 58);
    CHECK(read.contact_sequence == 59);
    CHECK(read.entry.has_value() == (kind == raft::Message::Kind::AppendEntries));
    if (!read.entry) return;
    CHECK(read.entry->position.term == 41);
    CHECK(read.entry->position.index == 42);
    REQUIRE(read.entry->voters.size() == 3);
    check_first(read.entry->voters[0]);
    check_second(read.entry->voters[1]);
    check_third(read.entry->voters[2]);
    REQUIRE(read.entry->outgoing_voters.size() == 2);
    check_second(read.entry->outgoing_voters[0]);
    check_fourth(read.entry->outgoing_voters[1]);
    CHECK(read.entry->value == std::string("value\0of bytes\xff", 15));
}

std::unique_ptr<durable_store::DurableStore> open(const std::string& at) {
    auto opened = durable_store::DurableStore::open(at, 256 * 1024);
    REQUIRE(std::holds_alternative<std::unique_ptr<durable_store::DurableStore>>(opened));
    return std::get<std::unique_ptr<durable_store::DurableStore>>(std::move(opened));
}
void save(durable_store::DurableStore& store, const durable_store::Records& records) {
    REQUIRE(std::holds_alternative<std::monostate>(store.save(records)));
}

/// Writes the fixture of a data directory in which these records were saved one after another.
void write_store(const std::string& name, const std::vector<durable_store::Records>& saved) {
    golden::Folder made;
    {
        auto store = open(made.at);
        for (const auto& records : saved) save(*store, records);
    }
    golden::put_directory(made.at, path_of(name));
}

/// The state in a copy of a fixture's directory, read as a controller reads it at its start.
raft::PersistentState read_store(const std::string& name) {
    golden::Folder copy(path_of(name));
    const auto found = open(copy.at)->load();
    REQUIRE_FALSE(found.damaged);
    const auto state = rpc::from_records(found.records);
    REQUIRE(state);
    return *state;
}

}  // namespace

TEST_CASE("golden rpc: hello") {
    const auto read = read_rpc("rpc-hello.bin", rpc::Hello{kFirst, {kSecond, kThird}});
    check_first(read.member);
    REQUIRE(read.controllers.size() == 2);
    check_second(read.controllers[0]);
    check_third(read.controllers[1]);
}

TEST_CASE("golden rpc: raft messages of every kind, with the numbers of their kinds") {
    check_raft("rpc-raft-request-vote.bin", raft::Message::Kind::RequestVote, 0);
    check_raft("rpc-raft-vote.bin", raft::Message::Kind::RequestVoteReply, 1);
    check_raft("rpc-raft-append.bin", raft::Message::Kind::AppendEntries, 2);
    check_raft("rpc-raft-append-reply.bin", raft::Message::Kind::AppendEntriesReply, 3);
    check_raft("rpc-raft-timeout-now.bin", raft::Message::Kind::TimeoutNow, 4);
}

TEST_CASE("golden rpc: hello of a member without history") {
    const auto read = read_rpc("rpc-hello-2026-12-06.bin",
                               rpc::Hello{kFirst, {kSecond, kThird}, raft::MemberHistory::None});
    check_first(read.member);
    CHECK(read.controllers.size() == 2);
    CHECK(read.history == raft::MemberHistory::None);
}

TEST_CASE("golden rpc: each flag of a raft message by itself") {
    // A message with all of them set would not show two that have changed places.
    const auto flag = [](const std::string& file, bool raft::Message::*set) {
        CAPTURE(file);
        raft::Message message;
        message.kind = raft::Message::Kind::AppendEntriesReply;
        message.*set = true;
        const auto read = read_rpc(file, message);
        CHECK(read.pre_vote == (set == &raft::Message::pre_vote));
        CHECK(read.granted == (set == &raft::Message::granted));
        CHECK(read.leadership_transfer == (set == &raft::Message::leadership_transfer));
        CHECK(read.leaving == (set == &raft::Message::leaving));
        CHECK(read.has_quorum == (set == &raft::Message::has_quorum));
    };
    flag("rpc-raft-flag-1.bin", &raft::Message::pre_vote);
    flag("rpc-raft-flag-2.bin", &raft::Message::granted);
    flag("rpc-raft-flag-3.bin", &raft::Message::leadership_transfer);
    flag("rpc-raft-flag-4.bin", &raft::Message::leaving);
    flag("rpc-raft-flag-5.bin", &raft::Message::has_quorum);
}

TEST_CASE("golden rpc: register request") {
    const rpc::RegisterRequest expected{
        kReady, {{"tenant-a", 1.25, 2.5, 101}, {"tenant-b", 3.75, 4.125, 102}}, 103, 104, 105};
    const auto read = read_rpc("rpc-announce.bin", expected);
    check_ready(read.registration);
    REQUIRE(read.demands.size() == 2);
    CHECK(read.demands[0].tenant == "tenant-a");
    CHECK(read.demands[0].rate_per_s == 1.25);
    CHECK(read.demands[0].leased_rate_per_s == 2.5);
    CHECK(read.demands[0].lease_remaining_ms == 101);
    CHECK(read.demands[1].tenant == "tenant-b");
    CHECK(read.demands[1].rate_per_s == 3.75);
    CHECK(read.demands[1].leased_rate_per_s == 4.125);
    CHECK(read.demands[1].lease_remaining_ms == 102);
    CHECK(read.applied_response == 103);
    CHECK(read.config_version == 104);
    CHECK(read.sent_at == 105);
    CHECK(read.known_proxies == 0);  // programs before did not say it
}

TEST_CASE("golden rpc: register request with the number of known proxies") {
    const rpc::RegisterRequest expected{kReady, {{"tenant-a", 1.25, 2.5, 101}}, 103, 104, 105, 106};
    const auto read = read_rpc("rpc-register-request-2026-12-04.bin", expected);
    check_ready(read.registration);
    CHECK(read.demands.size() == 1);
    CHECK(read.applied_response == 103);
    CHECK(read.config_version == 104);
    CHECK(read.sent_at == 105);
    CHECK(read.known_proxies == 106);
}

TEST_CASE("golden rpc: register response with quota leases") {
    const rpc::RegisterResponse expected{
        111, {{"tenant-a", 5.5, 6.25, 112}, {"tenant-b", 7.75, 8.5, 113}}, true, 114, 115};
    const auto read = read_rpc("rpc-grants.bin", expected);
    CHECK(read.response_number == 111);
    REQUIRE(read.quota_leases.size() == 2);
    CHECK(read.quota_leases[0].tenant == "tenant-a");
    CHECK(read.quota_leases[0].rate_per_s == 5.5);
    CHECK(read.quota_leases[0].burst == 6.25);
    CHECK(read.quota_leases[0].lease_ms == 112);
    CHECK(read.quota_leases[1].tenant == "tenant-b");
    CHECK(read.quota_leases[1].rate_per_s == 7.75);
    CHECK(read.quota_leases[1].burst == 8.5);
    CHECK(read.quota_leases[1].lease_ms == 113);
    CHECK(read.from_leader);
    CHECK(read.live_proxies == 114);
    CHECK(read.request_sent_at == 115);
}

TEST_CASE("golden rpc: watch request") {
    const auto read = read_rpc("rpc-poll.bin", rpc::WatchRequest{121, 122, 123, true});
    CHECK(read.epoch == 121);
    CHECK(read.seq == 122);
    CHECK(read.config_version == 123);
    CHECK(read.wants_config);
}

TEST_CASE("golden rpc: watch response, with the endpoint states") {
    const auto read = read_rpc("rpc-news.bin", watch_response());
    CHECK(read.registry.epoch == 61);
    CHECK(read.registry.seq == 62);
    CHECK(read.registry.is_snapshot);
    REQUIRE(read.registry.registrations.size() == 2);
    check_ready(read.registry.registrations[0]);
    check_draining(read.registry.registrations[1]);
    CHECK(read.registry.removed_nodes == std::vector<std::string>{"node-3", "node-4"});
    CHECK(read.config_version == 63);
    CHECK(read.config == std::string("config\0bytes\xfe", 13));
    CHECK(read.has_quorum_contact);
    REQUIRE(read.controllers.size() == 2);
    check_second(read.controllers[0]);
    check_fourth(read.controllers[1]);
    CHECK(static_cast<int>(registry::EndpointState::Absent) == 0);
    CHECK(static_cast<int>(registry::EndpointState::Ready) == 1);
    CHECK(static_cast<int>(registry::EndpointState::Draining) == 2);
}

TEST_CASE("golden rpc: each flag of a watch response by itself, and the endpoint state Absent") {
    rpc::WatchResponse snapshot, in_touch;
    snapshot.registry.is_snapshot = true;
    snapshot.registry.registrations = {kReady};
    snapshot.registry.registrations.front().state = registry::EndpointState::Absent;
    in_touch.has_quorum_contact = true;
    const auto first = read_rpc("rpc-news-flag-1.bin", snapshot);
    CHECK(first.registry.is_snapshot);
    CHECK_FALSE(first.has_quorum_contact);
    REQUIRE(first.registry.registrations.size() == 1);
    CHECK(first.registry.registrations[0].state == registry::EndpointState::Absent);
    const auto second = read_rpc("rpc-news-flag-2.bin", in_touch);
    CHECK_FALSE(second.registry.is_snapshot);
    CHECK(second.has_quorum_contact);
}

TEST_CASE("golden rpc: a frame as it goes over a connection") {
    const rpc::Message message{watch_response()};
    const std::string bytes = golden::kept(path_of("rpc-frame.bin"), *rpc::Channel::frame(message));
    CHECK(*rpc::Channel::frame(message) == bytes);
    framing::FrameReader reader(rpc::kMaxMessageBytes);
    reader.feed(bytes);
    const auto inside = reader.next();
    REQUIRE(inside);
    CHECK(*inside == golden::kept(path_of("rpc-news.bin")));
    CHECK(reader.empty());
    const auto read = rpc::decode(*inside);
    REQUIRE(read);
    CHECK(*rpc::Channel::frame(*read) == bytes);
}

TEST_CASE("golden register: config record") {
    const std::string bytes = golden::kept(path_of("register-value.bin"), rpc::encode(config_record()));
    CHECK(rpc::encode(config_record()) == bytes);
    const auto read = rpc::decode_config_record(bytes);
    REQUIRE(read);
    check_config_record(*read);
    CHECK(rpc::encode(*read) == bytes);
}

TEST_CASE("golden register: config record of the old form, with document and history uncompressed") {
    // This form is no longer written, so these two have no generator (golden/README.md).
    const auto shortest = rpc::decode_config_record(golden::kept(path_of("register-value-2026-12-01.bin")));
    REQUIRE(shortest);
    CHECK(shortest->version == 9);
    CHECK(shortest->document == "{}");
    REQUIRE(shortest->accepted_changes.size() == 2);
    CHECK(shortest->accepted_changes[0].version == 5);
    CHECK(shortest->accepted_changes[0].digest == 55);
    CHECK(shortest->accepted_changes[1].version == 9);
    CHECK(shortest->accepted_changes[1].digest == 99);
    CHECK(shortest->forgotten_up_to == 4);
    const auto read = rpc::decode_config_record(golden::kept(path_of("register-value-before.bin")));
    REQUIRE(read);
    check_config_record(*read);
    // It is encoded in the present form.
    CHECK(rpc::encode(*read) == golden::kept(path_of("register-value.bin")));
}

TEST_CASE("golden register: the persistent state in one record") {
    const std::string bytes = golden::kept(path_of("register-disk.bin"), rpc::encode(joint_state()));
    CHECK(rpc::encode(joint_state()) == bytes);
    const auto read = rpc::decode_persistent_state(bytes);
    REQUIRE(read);
    check_joint_state(*read);
    CHECK(rpc::encode(*read) == bytes);
}

TEST_CASE("golden register: the persistent records, their keys and their bytes") {
    const auto now = rpc::to_records(joint_state());
    const durable_store::Records kept{
        {"state", golden::kept(path_of("register-record-state.bin"), now.at("state"))},
        {"value.82.86", golden::kept(path_of("register-record-value.82.86.bin"), now.at("value.82.86"))},
        {"value.81.85", golden::kept(path_of("register-record-value.81.85.bin"), now.at("value.81.85"))}};
    CHECK(now == kept);
    const auto read = rpc::from_records(kept);
    REQUIRE(read);
    check_joint_state(*read);
    CHECK(rpc::to_records(*read) == kept);
}

TEST_CASE("golden store: a data directory with a joint configuration is read, and saved again unchanged") {
    if (golden::writes()) {
        // Earlier saves with another term and vote, so that the file has records that were overwritten and
        // freed.
        auto before = joint_state();
        before.last_entry = before.committed_entry;
        before.term = 81;
        before.voted_for = 13;
        auto voted = before;
        voted.term = 82;
        voted.voted_for = 12;
        write_store("store",
                    {rpc::to_records(before), rpc::to_records(voted), rpc::to_records(joint_state())});
    }
    golden::Folder copy(path_of("store"));
    {
        auto store = open(copy.at);
        const auto found = store->load();
        CHECK_FALSE(found.damaged);
        REQUIRE(found.records.size() == 3);
        CHECK(found.records.at("state") == golden::kept(path_of("register-record-state.bin")));
        CHECK(found.records.at("value.82.86") == golden::kept(path_of("register-record-value.82.86.bin")));
        CHECK(found.records.at("value.81.85") == golden::kept(path_of("register-record-value.81.85.bin")));
        const auto state = rpc::from_records(found.records);
        REQUIRE(state);
        check_joint_state(*state);
        // What the next vote saves is read as well.
        auto later = *state;
        later.term = 83;
        later.voted_for = 13;
        save(*store, rpc::to_records(later));
    }
    const auto again = rpc::from_records(open(copy.at)->load().records);
    REQUIRE(again);
    CHECK(again->term == 83);
    CHECK(again->voted_for == 13);
    check_value(again->last_entry.value);
}

TEST_CASE("golden store: a Raft node that starts from it keeps term, vote, entries and both sets of voters") {
    const raft::PersistentState state = read_store("store");
    raft::RaftNode raft(kFirst, state, {}, 1);
    check_joint_state(raft.persistent_state());
    CHECK(raft.role() == raft::RaftNode::Role::Follower);
    CHECK(raft.is_voter());
    const auto grants_vote_to = [&](const raft::Member& from) {
        raft::Message ask;
        ask.kind = raft::Message::Kind::RequestVote;
        ask.from = from;
        ask.to = 11;
        ask.term = 82;
        ask.last_position = {82, 90};
        raft.receive(Time{1s}, ask);
        const auto out = raft.take_messages();
        REQUIRE(out.size() == 1);
        CHECK(out[0].kind == raft::Message::Kind::RequestVoteReply);
        CHECK(out[0].to == from.id);
        CHECK(out[0].term == 82);
        return out[0].granted;
    };
    // It has voted for kSecond in this term and grants no other request.
    CHECK_FALSE(grants_vote_to(kThird));
    CHECK(grants_vote_to(kSecond));
    CHECK_FALSE(raft.take_persist_request());
    // Its election starts from the stored entry and asks the voters of both sets.
    std::vector<raft::Message> out;
    for (Time now{1s}; out.empty() && now < Time{5s}; now += 10ms) {
        raft.tick(now);
        out = raft.take_messages();
    }
    std::vector<raft::MemberId> to;
    for (const auto& message : out) {
        CHECK(message.kind == raft::Message::Kind::RequestVote);
        CHECK(message.pre_vote);
        CHECK(message.term == 83);
        CHECK(message.last_position.term == 82);
        CHECK(message.last_position.index == 86);
        to.push_back(message.to);
    }
    std::sort(to.begin(), to.end());
    CHECK(to == std::vector<raft::MemberId>{12, 13, 14});
    check_joint_state(raft.persistent_state());
}

TEST_CASE("golden store: a single voter starts from it, becomes leader and commits its last entry") {
    if (golden::writes()) write_store("store-alone", {rpc::to_records(single_voter_state())});
    const raft::PersistentState state = read_store("store-alone");
    check_single_voter_state(state);
    raft::RaftNode raft(kSecond, state, {}, 2);
    check_single_voter_state(raft.persistent_state());
    Time now{1s};
    for (; !raft.has_leader_lease(now) && now < Time{5s}; now += 10ms) {
        raft.tick(now);
        while (raft.take_persist_request()) raft.on_persisted(now);
    }
    CHECK(raft.has_leader_lease(now));
    CHECK(raft.persistent_state().term == 93);
    CHECK(raft.persistent_state().committed_entry.position.term == 93);
    CHECK(raft.persistent_state().committed_entry.position.index == 97);
    check_value(raft.persistent_state().committed_entry.value);
}

TEST_CASE("golden store: a data directory of the old form, with the state in a single record") {
    if (golden::writes()) write_store("store-before", {{{"word", rpc::encode(joint_state())}}});
    golden::Folder copy(path_of("store-before"));
    {
        auto store = open(copy.at);
        const auto found = store->load();
        CHECK_FALSE(found.damaged);
        CHECK(found.records == durable_store::Records{{"word", golden::kept(path_of("register-disk.bin"))}});
        const auto state = rpc::from_records(found.records);
        REQUIRE(state);
        check_joint_state(*state);
        save(*store, rpc::to_records(*state));
    }
    const auto again = open(copy.at)->load();
    CHECK(again.records == rpc::to_records(joint_state()));
}

TEST_CASE("golden store: the database file keeps its name, by which a later release finds it") {
    for (const std::string name : {"store", "store-alone", "store-before"}) {
        CAPTURE(name);
        golden::Folder copy(path_of(name));
        CHECK(std::filesystem::exists(copy.at + "/word.mdb"));
        static_cast<void>(open(copy.at)->load());
        std::size_t files = 0;
        for ([[maybe_unused]] const auto& file : std::filesystem::directory_iterator(copy.at)) ++files;
        CHECK(files == 1);
    }
}
