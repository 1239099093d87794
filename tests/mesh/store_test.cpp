// The durable store with its records, the codecs of rpc, the route table and the settings file.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

#include "bootstrap/settings.h"
#include "durable_store/durable_store.h"
#include "mesh/rig/temporary_directory.h"
#include "mesh_config/mesh_config.h"
#include "rpc/messages.h"

using namespace martenford;
using rig::TemporaryDirectory;

namespace {

constexpr std::size_t kPageBytes = 4096;  // LMDB's, which takes the system's

std::unique_ptr<durable_store::DurableStore> open(const std::string& directory,
                                                  std::size_t map_size_bytes = 1 << 20) {
    auto opened = durable_store::DurableStore::open(directory, map_size_bytes);
    REQUIRE(std::holds_alternative<std::unique_ptr<durable_store::DurableStore>>(opened));
    return std::get<std::unique_ptr<durable_store::DurableStore>>(std::move(opened));
}

bool save(durable_store::DurableStore& store, const durable_store::Records& records) {
    return std::holds_alternative<std::monostate>(store.save(records));
}

}  // namespace

TEST_CASE("durable store: saved records are there after a restart; a save to a full disk changes nothing") {
    TemporaryDirectory directory;
    {
        auto store = open(directory.path, 256 * 1024);
        CHECK(store->load().records.empty());
        CHECK(save(*store, {{"a", "one"}, {"removed", "x"}}));
        const auto full = store->save({{"a", "other"}, {"b", std::string(400 * 1024, 'x')}});
        REQUIRE(std::holds_alternative<durable_store::StorageError>(full));
        const auto& error = std::get<durable_store::StorageError>(full);
        CHECK(error.code == durable_store::StorageError::Code::DiskFull);
        CHECK(error.operation == "save");
        CHECK(error.message.starts_with("save: "));
        CHECK(save(*store, {{"a", "one"}, {"b", "two"}}));
    }
    CHECK(open(directory.path)->load().records == durable_store::Records{{"a", "one"}, {"b", "two"}});
}

TEST_CASE("durable store: a record that fails its checksum is reported as damaged") {
    TemporaryDirectory directory;
    const std::string record(5000, 'w');
    { CHECK(save(*open(directory.path), {{"a", "intact"}, {"b", record}})); }
    std::fstream file(directory.database_file(), std::ios::in | std::ios::out | std::ios::binary);
    std::string bytes((std::istreambuf_iterator<char>(file)), {});
    const auto offset = bytes.find(std::string(100, 'w'));
    REQUIRE(offset != bytes.npos);
    file.clear();
    file.seekp(static_cast<std::streamoff>(offset));
    file.put('x');
    file.close();
    const auto found = open(directory.path)->load();
    CHECK(found.damaged);
    CHECK(found.records.empty());
}

TEST_CASE(
    "durable store: a file truncated at any length is damaged or read in full, and the process does not "
    "crash") {
    TemporaryDirectory directory;
    const durable_store::Records records{{"state", "s"}, {"value", std::string(30'000, 'v')}};
    {
        auto store = open(directory.path);
        CHECK(save(*store, {{"state", "before"}}));
        CHECK(save(*store, records));
    }
    const auto size = std::filesystem::file_size(directory.database_file());
    std::size_t damaged = 0;
    for (std::size_t end = 2 * kPageBytes; end < size; end += 1024) {
        TemporaryDirectory truncated;
        std::filesystem::copy(directory.database_file(), truncated.database_file());
        std::filesystem::resize_file(truncated.database_file(), end);
        const auto found = open(truncated.path)->load();
        CHECK((found.damaged || found.records == records));
        damaged += found.damaged;
    }
    CHECK(damaged > 20);
}

namespace {

std::string read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

/// A store with branch pages, overflow pages and free pages, after some hundred saves.
std::string store_of_many_saves(durable_store::Records& records, int saves = 300) {
    TemporaryDirectory directory;
    std::mt19937_64 random(7);
    {
        auto store = open(directory.path, 8 << 20);
        for (int i = 0; i < saves; ++i) {
            const std::string name = "record " + std::to_string(random() % 60);
            if (random() % 4 == 0) {
                records.erase(name);
            } else {
                records[name] = std::string(random() % (i % 10 == 0 ? 60'000 : 700), 'a' + i % 26);
            }
            REQUIRE(save(*store, records));
        }
    }
    return read_file(directory.database_file());
}

/// Loads the store with this file. Afterwards the store can be saved to unless it is damaged.
durable_store::LoadResult load_image(const std::string& image) {
    const TemporaryDirectory directory;
    std::ofstream(directory.database_file(), std::ios::binary) << image;
    const auto store = open(directory.path, 8 << 20);
    auto loaded = store->load();
    if (!loaded.damaged) CHECK(save(*store, {{"a", std::string(20'000, 'x')}, {"b", "y"}}));
    return loaded;
}

}  // namespace

TEST_CASE("durable store: the check of the file passes after every save") {
    TemporaryDirectory directory;
    durable_store::Records records;
    std::mt19937_64 random(3);
    for (int i = 0; i < 150; ++i) {
        auto store = open(directory.path, 8 << 20);
        REQUIRE_FALSE(store->load().damaged);
        REQUIRE(store->load().records == records);
        for (int saves = 0; saves < 4; ++saves) {
            const std::string name = "record " + std::to_string(random() % 80);
            if (random() % 3 == 0) {
                records.erase(name);
            } else {
                records[name] = std::string(random() % (saves == 0 ? 90'000 : 900), 'r');
            }
            REQUIRE(save(*store, records));
        }
    }
}

// Guards against a process that ends since LMDB trusts a damaged page, and against an older state that is
// taken for the newest: a voter that forgot its vote could vote twice in one term.
TEST_CASE("durable store: each flipped bit of the meta pages is found, or changes nothing") {
    durable_store::Records records;
    const std::string image = store_of_many_saves(records);
    constexpr std::size_t kMetaEnd = 16 + 136;
    std::size_t found = 0;
    for (const std::size_t page : {std::size_t{0}, kPageBytes}) {
        for (std::size_t bit = 0; bit < 8 * kMetaEnd; ++bit) {
            std::string flipped = image;
            flipped[page + bit / 8] = static_cast<char>(flipped[page + bit / 8] ^ 1 << bit % 8);
            const auto loaded = load_image(flipped);
            found += loaded.damaged;
            if (!loaded.damaged) CHECK(loaded.records == records);
        }
    }
    CHECK(found > 500);
}

namespace {

enum class Flip { Raises, Lowers };

/// Flips each bit of both meta pages' transaction numbers that raises, or lowers, the number.
void check_flipped_transaction_numbers(Flip flip) {
    constexpr std::size_t kTransactionAt = 16 + 128;  // in a meta page
    for (int saves = 300; saves < 308; ++saves) {
        durable_store::Records records;
        const std::string image = store_of_many_saves(records, saves);
        for (const std::size_t page : {std::size_t{0}, kPageBytes}) {
            for (std::size_t bit = 0; bit < 64; ++bit) {
                CAPTURE(saves);
                CAPTURE(bit);
                std::string flipped = image;
                char& byte = flipped[page + kTransactionAt + bit / 8];
                const bool is_set = (byte >> bit % 8 & 1) != 0;
                if (is_set != (flip == Flip::Lowers)) continue;
                byte = static_cast<char>(byte ^ 1 << bit % 8);
                const auto loaded = load_image(flipped);
                CHECK((loaded.damaged || loaded.records == records));
            }
        }
    }
}

}  // namespace

// Guards against a vote that is given twice: one flipped bit of the older number can make the state before
// the last save the newest, and both are sound.
TEST_CASE("durable store: a transaction number that is raised by a flipped bit brings no older state back") {
    check_flipped_transaction_numbers(Flip::Raises);
}

// Known to fail (KNOWN-RED.txt): the newest number, lowered by two, is that of a state that was replaced.
TEST_CASE("durable store: a transaction number that is lowered by a flipped bit brings no older state back" *
          doctest::skip()) {
    check_flipped_transaction_numbers(Flip::Lowers);
}

TEST_CASE("durable store: flipped bits, zeroed and swapped pages anywhere are found, or change nothing") {
    durable_store::Records records;
    const std::string image = store_of_many_saves(records);
    std::mt19937_64 random(11);
    const auto below = [&random](std::size_t end) { return static_cast<std::size_t>(random() % end); };
    const std::size_t pages = image.size() / kPageBytes;
    std::size_t found = 0;
    for (int i = 0; i < 3000; ++i) {
        std::string damaged = image;
        char* const page = damaged.data() + below(pages) * kPageBytes;
        if (i % 3 == 0) {
            std::fill_n(page, kPageBytes, '\0');
        } else if (i % 3 == 1) {
            char* const other = damaged.data() + below(pages) * kPageBytes;
            std::swap_ranges(page, page + kPageBytes, other);
        } else {
            // Headers, offsets and nodes: the first and last bytes of a page.
            for (std::size_t n = 1 + below(4); n > 0; --n) {
                char& byte = page[below(2) == 0 ? below(64) : kPageBytes - 1 - below(64)];
                byte = static_cast<char>(byte ^ 1 << below(8));
            }
        }
        const auto loaded = load_image(damaged);
        found += loaded.damaged;
        if (!loaded.damaged) CHECK(loaded.records == records);
    }
    CHECK(found > 300);
}

TEST_CASE(
    "durable store: after a save that lost any one of its data pages, the records of the save before are "
    "read") {
    // Images of the file that mix its state after the first save and after the second: one page of the second
    // is missing or torn.
    TemporaryDirectory first, second;
    const durable_store::Records first_records{{"r", std::string(9000, 'a')}};
    const durable_store::Records second_records{{"r", std::string(9000, 'b')}};
    { CHECK(save(*open(first.path), first_records)); }
    std::filesystem::copy(first.database_file(), second.database_file());
    { CHECK(save(*open(second.path), second_records)); }
    const auto read = [](const std::string& path) {
        std::ifstream file(path, std::ios::binary);
        return std::string((std::istreambuf_iterator<char>(file)), {});
    };
    const std::string before = read(first.database_file()), after = read(second.database_file());
    const std::size_t pages = after.size() / kPageBytes;
    std::size_t kept_first = 0, kept_second = 0;
    for (std::size_t page = 0; page < pages; ++page) {
        for (const std::size_t torn : {std::size_t{0}, std::size_t{512}, std::size_t{2048}}) {
            // Any data page may be lost before the save's sync; the meta page that refers to them (pages 0
            // and 1) is written after it.
            if (page < 2) continue;
            std::string image = after;
            image.replace(0, 2 * kPageBytes, before, 0, 2 * kPageBytes);
            const std::string old_page = page * kPageBytes < before.size()
                                             ? before.substr(page * kPageBytes, kPageBytes)
                                             : std::string(kPageBytes, '\0');
            image.replace(page * kPageBytes + torn, kPageBytes - torn, old_page, torn, kPageBytes - torn);
            TemporaryDirectory directory;
            std::ofstream(directory.database_file(), std::ios::binary) << image;
            const auto found = open(directory.path)->load();
            CHECK_FALSE(found.damaged);
            kept_first += found.records == first_records;
            kept_second += found.records == second_records;
        }
    }
    CHECK(kept_first > 0);
    CHECK(kept_second == 0);
}

TEST_CASE("messages: a message is decoded as it was encoded; truncated or changed bytes do no harm") {
    rpc::WatchResponse response;
    response.registry = {
        1,
        2,
        true,
        {{"n", 3, 4, "1.2.3.4:5", "s", "z", "i", registry::EndpointState::Draining, 6, 7, true}},
        {"removed-node"}};
    response.config_version = 9;
    response.config = std::string(3000, 'c');
    response.controllers = {{1, "a"}, {2, "b"}};
    const std::string bytes = rpc::encode(rpc::Message{response});
    const auto read = rpc::decode(bytes);
    REQUIRE(read);
    const auto& decoded = std::get<rpc::WatchResponse>(*read);
    CHECK(decoded.registry.registrations.front().instance_id == "i");
    CHECK(decoded.registry.removed_nodes == response.registry.removed_nodes);
    CHECK(decoded.config == response.config);
    for (std::size_t cut = 0; cut < bytes.size(); cut += 8)
        static_cast<void>(rpc::decode(bytes.substr(0, cut)));
    for (std::size_t i = 0; i < 400; ++i) {
        std::string changed = bytes;
        changed[i * 7 % changed.size()] ^= static_cast<char>(1 << (i % 8));
        static_cast<void>(rpc::decode(changed));
    }
    raft::PersistentState state{5, 6, 7, {{8, 9}, {{1, "x"}}, "value"}, {{7, 8}, {}, "older"}};
    const auto restored = rpc::decode_persistent_state(rpc::encode(state));
    REQUIRE(restored);
    CHECK(restored->last_entry.value == "value");
    CHECK(restored->committed_entry.position == raft::LogPosition{7, 8});
}

TEST_CASE("persistent records: read as they were written; records of different saves are rejected") {
    raft::PersistentState state{
        5, 6, 7, {{8, 9}, {{1, "x"}}, std::string(60'000, 'n')}, {{7, 8}, {}, "older"}};
    const auto records = rpc::to_records(state);
    const auto restored = rpc::from_records(records);
    REQUIRE(restored);
    CHECK(restored->last_entry.value == state.last_entry.value);
    CHECK(restored->last_entry.voters == state.last_entry.voters);
    CHECK(restored->committed_entry.value == "older");
    CHECK(restored->voted_for == 7);
    // A vote changes the "state" record alone, which is small.
    state.voted_for = 8;
    for (const auto& [name, record] : rpc::to_records(state)) {
        CHECK((record == records.at(name)) == (name != "state"));
        if (name == "state") CHECK(record.size() < 300);
    }
    for (const auto& [name, record] : records) {
        auto mismatched = records;
        mismatched.erase(name);
        CHECK_FALSE(rpc::from_records(mismatched));
        if (name == "state") continue;
        mismatched[name] = record + "x";  // as another save might have written it
        CHECK_FALSE(rpc::from_records(mismatched));
    }
    // The single record of releases before 2026-12-02.
    const auto single = rpc::from_records({{"word", rpc::encode(state)}});
    REQUIRE(single);
    CHECK(single->last_entry.value == state.last_entry.value);
    CHECK_FALSE(rpc::from_records({}));
}

TEST_CASE(
    "config record: compressed, and read as it was written; the old uncompressed form is read, too long a "
    "document is rejected") {
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
    // Version 9, the document "{}", versions 5 and 9 taken: as the release of 2026-12-01 wrote it.
    const unsigned char old_form[] = {
        0x00, 0x00, 0x00, 0x00, 0x0a, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x01, 0x00, 0x02,
        0x00, 0x09, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x05, 0x00, 0x00, 0x00, 0x12, 0x00,
        0x00, 0x00, 0x05, 0x00, 0x00, 0x00, 0x27, 0x00, 0x00, 0x00, 0x7b, 0x7d, 0x00, 0x00, 0x00,
        0x00, 0x00, 0x00, 0x08, 0x00, 0x00, 0x00, 0x02, 0x00, 0x00, 0x00, 0x05, 0x00, 0x00, 0x00,
        0x00, 0x00, 0x00, 0x00, 0x37, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x09, 0x00, 0x00,
        0x00, 0x00, 0x00, 0x00, 0x00, 0x63, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};
    const auto uncompressed =
        rpc::decode_config_record({reinterpret_cast<const char*>(old_form), sizeof old_form});
    REQUIRE(uncompressed);
    CHECK(uncompressed->version == 9);
    CHECK(uncompressed->document == "{}");
    CHECK(uncompressed->accepted_changes.front().digest == 55);
    CHECK(uncompressed->forgotten_up_to == 4);
}

TEST_CASE("route table: the longest prefix of the host matches; a weighted split is stable for an id") {
    const auto json = mesh_config::Json::parse(
        R"({"version":"1","base_version":"0","listeners":[{"host":"H.example","rule_set":[
        {"name":"short","route_kind":"idempotent","matcher":{"path_prefix":"/a/"},"route_action":{"weighted_split":[{"service":"x","weight":90},{"service":"y","weight":10}],"timeout_ms":1}},
        {"name":"long","route_kind":"download","matcher":{"path_prefix":"/a/b/"},"route_action":{"service":"x","timeout_ms":1}}]}],
        "clusters":[{"name":"x"},{"name":"y"}]})");
    const auto config = mesh_config::read_config(json);
    REQUIRE(std::holds_alternative<mesh_config::Config>(config));
    const mesh_config::RouteTable table(1, std::get<mesh_config::Config>(config));
    CHECK(table.route("h.example:80", "/a/c?x=/a/b/")->name == "short");
    CHECK(table.route("h.example", "/a/b/c")->name == "long");
    CHECK(table.route("h.example", "/a") == nullptr);
    CHECK(table.route("other", "/a/b/") == nullptr);
    const auto* route = table.route("h.example", "/a/");
    int to_y = 0;
    for (int i = 0; i < 1000; ++i) {
        const std::string id = "id" + std::to_string(i);
        CHECK(route->service_for(id) == route->service_for(id));
        to_y += route->service_for(id) == "y";
    }
    CHECK(to_y > 60);
    CHECK(to_y < 150);
}

TEST_CASE("settings: an error names file, line and field; unknown fields are ignored") {
    TemporaryDirectory directory;
    const std::string path = directory.path + "/boot.toml";
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
