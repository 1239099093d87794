// The disk's record, the configuration's checks, and messages that are not what they seem.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "bootstrap/settings.h"
#include "durable_store/durable_store.h"
#include "mesh_config/mesh_config.h"
#include "rpc/messages.h"

using namespace martenford;

namespace {

struct Folder {
    Folder() {
        char path[] = "/tmp/mesh-test-XXXXXX";
        at = ::mkdtemp(path);
    }
    ~Folder() { std::filesystem::remove_all(at); }
    std::string at;
};

std::unique_ptr<durable_store::DurableStore> open(const std::string& at, std::size_t most = 1 << 20) {
    auto opened = durable_store::DurableStore::open(at, most);
    REQUIRE(std::holds_alternative<std::unique_ptr<durable_store::DurableStore>>(opened));
    return std::get<std::unique_ptr<durable_store::DurableStore>>(std::move(opened));
}

bool saved(durable_store::DurableStore& store, const durable_store::Records& records) {
    return std::holds_alternative<std::monostate>(store.save(records));
}

}  // namespace

TEST_CASE("strongbox: what was saved is there after a restart; a full one keeps the record before") {
    Folder folder;
    {
        auto store = open(folder.at, 256 * 1024);
        CHECK(store->load().records.empty());
        CHECK(saved(*store, {{"a", "one"}, {"gone", "x"}}));
        const auto full = store->save({{"a", "other"}, {"b", std::string(400 * 1024, 'x')}});
        REQUIRE(std::holds_alternative<durable_store::StorageError>(full));
        CHECK(std::get<durable_store::StorageError>(full).disk_full);
        CHECK(saved(*store, {{"a", "one"}, {"b", "two"}}));
    }
    CHECK(open(folder.at)->load().records == durable_store::Records{{"a", "one"}, {"b", "two"}});
}

TEST_CASE("strongbox: a record whose bytes changed is told as damaged, not read") {
    Folder folder;
    const std::string record(5000, 'w');
    { CHECK(saved(*open(folder.at), {{"a", "whole"}, {"b", record}})); }
    std::fstream file(folder.at + "/word.mdb", std::ios::in | std::ios::out | std::ios::binary);
    std::string bytes((std::istreambuf_iterator<char>(file)), {});
    const auto at = bytes.find(std::string(100, 'w'));
    REQUIRE(at != bytes.npos);
    file.clear();
    file.seekp(static_cast<std::streamoff>(at));
    file.put('x');
    file.close();
    const auto found = open(folder.at)->load();
    CHECK(found.damaged);
    CHECK(found.records.empty());
}

TEST_CASE("strongbox: a file that lost its end is told as damaged, wherever it ends; the process lives") {
    Folder folder;
    const durable_store::Records records{{"state", "s"}, {"value", std::string(30'000, 'v')}};
    {
        auto store = open(folder.at);
        CHECK(saved(*store, {{"state", "before"}}));
        CHECK(saved(*store, records));
    }
    const auto size = std::filesystem::file_size(folder.at + "/word.mdb");
    std::size_t damaged = 0;
    for (std::size_t end = 2 * 4096; end < size; end += 1024) {
        Folder cut;
        std::filesystem::copy(folder.at + "/word.mdb", cut.at + "/word.mdb");
        std::filesystem::resize_file(cut.at + "/word.mdb", end);
        const auto found = open(cut.at)->load();
        CHECK((found.damaged || found.records == records));
        damaged += found.damaged;
    }
    CHECK(damaged > 20);
}

TEST_CASE("strongbox: cut at any later write, the last record that was saved is there") {
    // The file as it was after the first save, and as it is after the second: pages of the second are missing
    // or torn.
    Folder first, second;
    const durable_store::Records as{{"r", std::string(9000, 'a')}}, bs{{"r", std::string(9000, 'b')}};
    { CHECK(saved(*open(first.at), as)); }
    std::filesystem::copy(first.at + "/word.mdb", second.at + "/word.mdb");
    { CHECK(saved(*open(second.at), bs)); }
    const auto read = [](const std::string& path) {
        std::ifstream file(path, std::ios::binary);
        return std::string((std::istreambuf_iterator<char>(file)), {});
    };
    const std::string before = read(first.at + "/word.mdb"), after = read(second.at + "/word.mdb");
    const std::size_t pages = after.size() / 4096;
    std::size_t kept_first = 0, kept_second = 0;
    for (std::size_t page = 0; page < pages; ++page) {
        for (const std::size_t torn : {std::size_t{0}, std::size_t{512}, std::size_t{2048}}) {
            // Before its last sync any of the data pages may be lost; the page that makes them count comes
            // after that.
            if (page < 2) continue;
            std::string mixed = after;
            mixed.replace(0, 8192, before, 0, 8192);
            const std::string old =
                page * 4096 < before.size() ? before.substr(page * 4096, 4096) : std::string(4096, '\0');
            mixed.replace(page * 4096 + torn, 4096 - torn, old, torn, 4096 - torn);
            Folder folder;
            std::ofstream(folder.at + "/word.mdb", std::ios::binary) << mixed;
            const auto found = open(folder.at)->load();
            CHECK_FALSE(found.damaged);
            kept_first += found.records == as;
            kept_second += found.records == bs;
        }
    }
    CHECK(kept_first > 0);
    CHECK(kept_second == 0);
}

TEST_CASE("messages: what was encoded is read, and broken bytes are none, wherever they break") {
    rpc::WatchResponse news;
    news.registry = {1,
                     2,
                     true,
                     {{"n", 3, 4, "1.2.3.4:5", "s", "z", "i", registry::EndpointState::Draining, 6, 7, true}},
                     {"gone"}};
    news.config_version = 9;
    news.config = std::string(3000, 'c');
    news.controllers = {{1, "a"}, {2, "b"}};
    const std::string bytes = rpc::encode(rpc::Message{news});
    const auto read = rpc::decode(bytes);
    REQUIRE(read);
    const auto& back = std::get<rpc::WatchResponse>(*read);
    CHECK(back.registry.registrations.front().instance_id == "i");
    CHECK(back.registry.removed_nodes == news.registry.removed_nodes);
    CHECK(back.config == news.config);
    for (std::size_t cut = 0; cut < bytes.size(); cut += 8)
        static_cast<void>(rpc::decode(bytes.substr(0, cut)));
    for (std::size_t i = 0; i < 400; ++i) {
        std::string other = bytes;
        other[i * 7 % other.size()] ^= static_cast<char>(1 << (i % 8));
        static_cast<void>(rpc::decode(other));
    }
    raft::PersistentState disk{5, 6, 7, {{8, 9}, {{1, "x"}}, "value"}, {{7, 8}, {}, "older"}};
    const auto kept = rpc::decode_persistent_state(rpc::encode(disk));
    REQUIRE(kept);
    CHECK(kept->last_entry.value == "value");
    CHECK(kept->committed_entry.position == raft::LogPosition{7, 8});
}

TEST_CASE("the disk's records: read as they were written; what doesn't belong together is nothing") {
    raft::PersistentState disk{
        5, 6, 7, {{8, 9}, {{1, "x"}}, std::string(60'000, 'n')}, {{7, 8}, {}, "older"}};
    const auto records = rpc::to_records(disk);
    const auto kept = rpc::from_records(records);
    REQUIRE(kept);
    CHECK(kept->last_entry.value == disk.last_entry.value);
    CHECK(kept->last_entry.voters == disk.last_entry.voters);
    CHECK(kept->committed_entry.value == "older");
    CHECK(kept->voted_for == 7);
    // A vote changes the state alone, and that is small.
    disk.voted_for = 8;
    for (const auto& [name, record] : rpc::to_records(disk)) {
        CHECK((record == records.at(name)) == (name != "state"));
        if (name == "state") CHECK(record.size() < 300);
    }
    for (const auto& [name, record] : records) {
        auto others = records;
        others.erase(name);
        CHECK_FALSE(rpc::from_records(others));
        if (name == "state") continue;
        others[name] = record + "x";  // whole in itself, of another write
        CHECK_FALSE(rpc::from_records(others));
    }
    // What a program before left, all in one.
    const auto before = rpc::from_records({{"word", rpc::encode(disk)}});
    REQUIRE(before);
    CHECK(before->last_entry.value == disk.last_entry.value);
    CHECK_FALSE(rpc::from_records({}));
}

TEST_CASE(
    "the record: read as it was written, packed; a record of a program before is read, one too large is "
    "not") {
    rpc::ConfigRecord record{7, std::string(200'000, 'd'), {{3, 33}, {7, 77}}, 2};
    const std::string bytes = rpc::encode(record);
    CHECK(bytes.size() < 1000);
    const auto read = rpc::decode_config_record(bytes);
    REQUIRE(read);
    CHECK(read->version == 7);
    CHECK(read->document == record.document);
    CHECK(read->accepted_changes.back().digest == 77);
    CHECK(read->forgotten_up_to == 2);
    for (std::size_t cut = 8; cut < bytes.size(); cut += 8)
        CHECK_FALSE(rpc::decode_config_record(bytes.substr(0, cut)));
    record.document.assign(rpc::kMaxDocumentBytes + 1, 'd');
    CHECK_FALSE(rpc::decode_config_record(rpc::encode(record)));
    // Version 9, the document "{}", versions 5 and 9 taken: as the program of 1 December 2026 wrote it.
    const unsigned char before[] = {
        0x00, 0x00, 0x00, 0x00, 0x0a, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x01, 0x00, 0x02,
        0x00, 0x09, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x05, 0x00, 0x00, 0x00, 0x12, 0x00,
        0x00, 0x00, 0x05, 0x00, 0x00, 0x00, 0x27, 0x00, 0x00, 0x00, 0x7b, 0x7d, 0x00, 0x00, 0x00,
        0x00, 0x00, 0x00, 0x08, 0x00, 0x00, 0x00, 0x02, 0x00, 0x00, 0x00, 0x05, 0x00, 0x00, 0x00,
        0x00, 0x00, 0x00, 0x00, 0x37, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x09, 0x00, 0x00,
        0x00, 0x00, 0x00, 0x00, 0x00, 0x63, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};
    const auto old = rpc::decode_config_record({reinterpret_cast<const char*>(before), sizeof before});
    REQUIRE(old);
    CHECK(old->version == 9);
    CHECK(old->document == "{}");
    CHECK(old->accepted_changes.front().digest == 55);
    CHECK(old->forgotten_up_to == 4);
}

TEST_CASE("routes: the longest prefix, by host, and splits that stay with an id") {
    const auto json = mesh_config::Json::parse(
        R"({"version":"1","base_version":"0","listeners":[{"host":"H.example","rule_set":[
        {"name":"short","route_kind":"idempotent","matcher":{"path_prefix":"/a/"},"route_action":{"weighted_split":[{"service":"x","weight":90},{"service":"y","weight":10}],"timeout_ms":1}},
        {"name":"long","route_kind":"download","matcher":{"path_prefix":"/a/b/"},"route_action":{"service":"x","timeout_ms":1}}]}],
        "clusters":[{"name":"x"},{"name":"y"}]})");
    const auto config = mesh_config::read_config(json);
    REQUIRE(std::holds_alternative<mesh_config::Config>(config));
    const mesh_config::RouteTable held(1, std::get<mesh_config::Config>(config));
    CHECK(held.route("h.example:80", "/a/c?x=/a/b/")->name == "short");
    CHECK(held.route("h.example", "/a/b/c")->name == "long");
    CHECK(held.route("h.example", "/a") == nullptr);
    CHECK(held.route("other", "/a/b/") == nullptr);
    const auto* route = held.route("h.example", "/a/");
    int second = 0;
    for (int i = 0; i < 1000; ++i) {
        const std::string id = "id" + std::to_string(i);
        CHECK(route->service_for(id) == route->service_for(id));
        second += route->service_for(id) == "y";
    }
    CHECK(second > 60);
    CHECK(second < 150);
}

TEST_CASE("settings: one line with file, line and field; what is unknown is passed over") {
    Folder folder;
    const std::string path = folder.at + "/boot.toml";
    const auto load = [&](const std::string& text) {
        std::ofstream(path) << text;
        return bootstrap::load(path);
    };
    const std::string good =
        "node_name = \"n\"\nip_address = \"127.0.0.1\"\ninternal_ports = [7000, 7015]\nnew_field = 1\n"
        "seed_nodes = [\"127.0.0.1:8000\"]\nbounds = [\"drain_ms=3000\", \"who=knows\"]\n";
    const auto read = load(good);
    REQUIRE(std::holds_alternative<bootstrap::Settings>(read));
    CHECK(std::get<bootstrap::Settings>(read).bounds.drain == 3s);
    const auto wrong = [&](const std::string& text, const std::string& line) {
        const auto loaded = load(text);
        REQUIRE(std::holds_alternative<bootstrap::SettingsError>(loaded));
        CHECK(std::get<bootstrap::SettingsError>(loaded).message == path + line);
    };
    wrong(good + "beat_interval_ms = \"x\"\n", ":7: beat_interval_ms: a whole number is wanted");
    wrong(good + "app_address = \"nowhere\"\n", ":7: app_address: ip:port is wanted, not 'nowhere'");
    wrong(
        "node_name = \"n\"\nip_address = \"127.0.0.1\"\ninternal_ports = [7000, 7015]\nbounds = "
        "[\"drain_ms=x\"]\n",
        ":4: bounds[0]: a number is wanted for drain_ms");
}
