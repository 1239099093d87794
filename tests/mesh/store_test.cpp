// The disk's record, the configuration's checks, and messages that are not what they seem.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "boot/settings.h"
#include "charter/charter.h"
#include "passage/messages.h"
#include "strongbox/strongbox.h"

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

std::unique_ptr<strongbox::Strongbox> open(const std::string& at, std::size_t most = 1 << 20) {
    auto opened = strongbox::Strongbox::open(at, most);
    REQUIRE(std::holds_alternative<std::unique_ptr<strongbox::Strongbox>>(opened));
    return std::get<std::unique_ptr<strongbox::Strongbox>>(std::move(opened));
}

bool saved(strongbox::Strongbox& box, const std::string& record) {
    return std::holds_alternative<std::monostate>(box.save(record));
}

}  // namespace

TEST_CASE("strongbox: what was saved is there after a restart; a full one keeps the record before") {
    Folder folder;
    {
        auto box = open(folder.at, 256 * 1024);
        CHECK(box->load().record.empty());
        CHECK(saved(*box, "one"));
        const auto full = box->save(std::string(400 * 1024, 'x'));
        REQUIRE(std::holds_alternative<strongbox::Trouble>(full));
        CHECK(std::get<strongbox::Trouble>(full).full);
        CHECK(saved(*box, "two"));
    }
    CHECK(open(folder.at)->load().record == "two");
}

TEST_CASE("strongbox: a record whose bytes changed is told as damaged, not read") {
    Folder folder;
    const std::string word(5000, 'w');
    { CHECK(saved(*open(folder.at), word)); }
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
    CHECK(found.record.empty());
}

TEST_CASE("strongbox: cut at any later write, the last record that was saved is there") {
    // The file as it was after the first save, and as it is after the second: pages of the second are missing
    // or torn.
    Folder first, second;
    { CHECK(saved(*open(first.at), std::string(9000, 'a'))); }
    std::filesystem::copy(first.at + "/word.mdb", second.at + "/word.mdb");
    { CHECK(saved(*open(second.at), std::string(9000, 'b'))); }
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
            kept_first += found.record == std::string(9000, 'a');
            kept_second += found.record == std::string(9000, 'b');
        }
    }
    CHECK(kept_first > 0);
    CHECK(kept_second == 0);
}

TEST_CASE("messages: what was encoded is read, and broken bytes are none, wherever they break") {
    passage::News news;
    news.rolls = {
        1, 2, true, {{"n", 3, 4, "1.2.3.4:5", "s", "z", "i", rolls::State::Draining, 6, 7, true}}, {"gone"}};
    news.version = 9;
    news.config = std::string(3000, 'c');
    news.guildhalls = {{1, "a"}, {2, "b"}};
    const std::string bytes = passage::encode(passage::Message{news});
    const auto read = passage::decode(bytes);
    REQUIRE(read);
    const auto& back = std::get<passage::News>(*read);
    CHECK(back.rolls.places.front().instance == "i");
    CHECK(back.rolls.gone == news.rolls.gone);
    CHECK(back.config == news.config);
    for (std::size_t cut = 0; cut < bytes.size(); cut += 8) passage::decode(bytes.substr(0, cut));
    for (std::size_t i = 0; i < 400; ++i) {
        std::string other = bytes;
        other[i * 7 % other.size()] ^= static_cast<char>(1 << (i % 8));
        passage::decode(other);
    }
    moot::Disk disk{5, 6, 7, {{8, 9}, {{1, "x"}}, "value"}, {{7, 8}, {}, "older"}};
    const auto kept = passage::decode_disk(passage::encode(disk));
    REQUIRE(kept);
    CHECK(kept->newest.value == "value");
    CHECK(kept->committed.stamp == moot::Stamp{7, 8});
}

TEST_CASE("routes: the longest prefix, by host, and splits that stay with an id") {
    const auto json = charter::Json::parse(
        R"({"version":"1","base_version":"0","listeners":[{"host":"H.example","rule_set":[
        {"name":"short","route_kind":"idempotent","matcher":{"path_prefix":"/a/"},"route_action":{"weighted_split":[{"service":"x","weight":90},{"service":"y","weight":10}],"timeout_ms":1}},
        {"name":"long","route_kind":"download","matcher":{"path_prefix":"/a/b/"},"route_action":{"service":"x","timeout_ms":1}}]}],
        "clusters":[{"name":"x"},{"name":"y"}]})");
    const auto config = charter::read_config(json);
    REQUIRE(std::holds_alternative<charter::Config>(config));
    const charter::Charter held(1, std::get<charter::Config>(config));
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
        return boot::load(path);
    };
    const std::string good =
        "node_name = \"n\"\nip_address = \"127.0.0.1\"\ninternal_ports = [7000, 7015]\nnew_field = 1\n"
        "seed_nodes = [\"127.0.0.1:8000\"]\nbounds = [\"drain_ms=3000\", \"who=knows\"]\n";
    const auto read = load(good);
    REQUIRE(std::holds_alternative<boot::Settings>(read));
    CHECK(std::get<boot::Settings>(read).bounds.drain == 3s);
    const auto wrong = [&](const std::string& text, const std::string& line) {
        const auto loaded = load(text);
        REQUIRE(std::holds_alternative<boot::Trouble>(loaded));
        CHECK(std::get<boot::Trouble>(loaded).text == path + line);
    };
    wrong(good + "beat_interval_ms = \"x\"\n", ":7: beat_interval_ms: a whole number is wanted");
    wrong(good + "app_address = \"nowhere\"\n", ":7: app_address: ip:port is wanted, not 'nowhere'");
    wrong(
        "node_name = \"n\"\nip_address = \"127.0.0.1\"\ninternal_ports = [7000, 7015]\nbounds = "
        "[\"drain_ms=x\"]\n",
        ":4: bounds[0]: a number is wanted for drain_ms");
}
