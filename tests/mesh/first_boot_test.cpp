// The first start of all, torn: a controller that ended before it had saved its first state.
#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <variant>
#include <vector>

#include "controller/first_boot_record.h"
#include "controller/register_storage.h"
#include "mesh/rig/temporary_directory.h"

using namespace martenford;
using namespace martenford::controller;

namespace {

const std::vector<std::string> kSeeds{"10.0.0.1:7640", "10.0.0.2:7640", "10.0.0.3:7640"};
const std::vector<std::string> kLaterSeeds{"10.0.0.1:7640", "10.0.0.8:7640", "10.0.0.9:7640"};

class DataDirectory {
  public:
    [[nodiscard]] const std::string& path() const { return directory_.path; }
    /// A start of the first seed's controller.
    [[nodiscard]] raft::PersistentState open(const std::vector<std::string>& seeds, bool first_boot) const {
        return open_all(seeds, first_boot).state;
    }
    [[nodiscard]] OpenedRegister open_all(const std::vector<std::string>& seeds, bool first_boot) const {
        auto opened = open_register(path(), {kSeeds[0], seeds, first_boot});
        REQUIRE(std::holds_alternative<OpenedRegister>(opened));
        return std::get<OpenedRegister>(std::move(opened));
    }
    void write(const std::string& name, const std::string& content) const {
        std::ofstream(path() + "/" + name, std::ios::binary) << content;
    }
    [[nodiscard]] bool has(const std::string& name) const {
        return std::filesystem::exists(path() + "/" + name);
    }

  private:
    rig::TemporaryDirectory directory_;
};

void write_record(const DataDirectory& directory) {
    REQUIRE_FALSE(write_first_boot_record(directory.path(), {kSeeds}));
}

std::vector<std::string> voter_addresses(const raft::PersistentState& state) {
    std::vector<std::string> addresses;
    for (const raft::Member& voter : state.last_entry.voters) addresses.push_back(voter.address);
    return addresses;
}

}  // namespace

// Guards against a system that never accepts its first configuration: two of three controllers ended in the
// first milliseconds of the first start, and their voters were gone for good.
TEST_CASE("first boot: a start that ended before its state was saved is taken up by the next") {
    const raft::PersistentState undisturbed = DataDirectory().open(kSeeds, true);
    const DataDirectory directory;
    write_record(directory);
    const raft::PersistentState state = directory.open(kLaterSeeds, false);
    CHECK(state.self_id == undisturbed.self_id);
    CHECK(voter_addresses(state) == kSeeds);
    CHECK_FALSE(read_first_boot_record(directory.path()));
    CHECK(directory.open(kLaterSeeds, false).self_id == undisturbed.self_id);
}

TEST_CASE("first boot: an empty disk without a record is that of a new member") {
    const DataDirectory directory;
    CHECK(directory.open(kSeeds, false).last_entry.voters.empty());
}

// Guards against a system that can't be started once its first start has failed on all seeds.
TEST_CASE(
    "first boot: a new member that has never heard of a voter takes part in a first boot that is repeated") {
    const raft::PersistentState undisturbed = DataDirectory().open(kSeeds, true);
    const DataDirectory directory;
    CHECK(directory.open(kSeeds, false).last_entry.voters.empty());
    CHECK(directory.open(kSeeds, true).self_id == undisturbed.self_id);
    CHECK(directory.open(kSeeds, true).self_id == undisturbed.self_id);
}

TEST_CASE("first boot: a new member that has voted, or knows voters, takes part in no first boot") {
    for (const bool has_voted : {true, false}) {
        CAPTURE(has_voted);
        const DataDirectory directory;
        OpenedRegister opened = directory.open_all(kSeeds, false);
        if (has_voted) opened.state.term = 1;
        if (!has_voted) opened.state.last_entry.voters = {{7, kSeeds[1]}};
        REQUIRE_FALSE(opened.storage.save(opened.state));
        CHECK(directory.open(kSeeds, true).self_id == opened.state.self_id);
    }
}

TEST_CASE("first boot: a record beside a saved state counts for nothing") {
    const DataDirectory directory;
    const raft::PersistentState new_member = directory.open(kSeeds, false);
    write_record(directory);
    const raft::PersistentState state = directory.open(kSeeds, false);
    CHECK(state.self_id == new_member.self_id);
    CHECK(state.last_entry.voters.empty());
    CHECK_FALSE(read_first_boot_record(directory.path()));
}

TEST_CASE("first boot: a record that is not whole counts for nothing") {
    const DataDirectory directory;
    write_record(directory);
    const std::string path = directory.path() + "/" + kFirstBootFileName;
    const auto size = std::filesystem::file_size(path);
    for (std::uintmax_t length = 0; length + 1 < size; ++length) {
        std::filesystem::resize_file(path, length);
        CHECK_FALSE(read_first_boot_record(directory.path()));
        write_record(directory);
    }
}

// Guards against a first voter that is lost since its disk filled up while it made its store.
TEST_CASE("first boot: a store that was begun and not completed is made anew") {
    const raft::PersistentState undisturbed = DataDirectory().open(kSeeds, true);
    for (const std::size_t length : {0, 1, 4096, 8192}) {
        CAPTURE(length);
        const DataDirectory directory;
        write_record(directory);
        directory.write("word.mdb", std::string(length, 'x'));
        CHECK(directory.open(kSeeds, false).self_id == undisturbed.self_id);
    }
}

// Guards against a vote that is given twice: a store that was set aside may have held one.
TEST_CASE("first boot: after a damaged store the settings' first boot counts for nothing") {
    const DataDirectory directory;
    const raft::PersistentState voter = directory.open(kSeeds, true);
    directory.write("word.mdb", std::string(8192, 'x'));
    const raft::PersistentState after_damage = directory.open(kSeeds, true);
    CHECK(after_damage.self_id != voter.self_id);
    CHECK(after_damage.last_entry.voters.empty());
    CHECK(directory.has("word.mdb.damaged.1"));
    std::filesystem::remove(directory.path() + "/word.mdb");
    CHECK(directory.open(kSeeds, true).last_entry.voters.empty());
}

TEST_CASE("first boot: damaged stores are kept, three at most") {
    const DataDirectory directory;
    for (int i = 0; i < 5; ++i) {
        directory.write("word.mdb", "damage " + std::to_string(i));
        CHECK(directory.open(kSeeds, false).last_entry.voters.empty());
    }
    std::ifstream last(directory.path() + "/word.mdb.damaged.3");
    std::string text;
    std::getline(last, text);
    CHECK(text == "damage 4");
    CHECK_FALSE(directory.has("word.mdb.damaged.4"));
}

TEST_CASE("first boot: only a store that began on an empty disk says so, also after restarts") {
    for (const bool first_boot : {true, false}) {
        const DataDirectory directory;
        CHECK(directory.open_all(kSeeds, first_boot).storage.began_empty());
        CHECK(directory.open_all(kSeeds, first_boot).storage.began_empty());
        OpenedRegister opened = directory.open_all(kSeeds, false);
        opened.state.term = 7;
        REQUIRE_FALSE(opened.storage.save(opened.state));
        const OpenedRegister saved = directory.open_all(kSeeds, false);
        CHECK(saved.storage.began_empty());
        CHECK(saved.state.term == 7);
        directory.write("word.mdb", "damage");
        CHECK_FALSE(directory.open_all(kSeeds, first_boot).storage.began_empty());
        CHECK_FALSE(directory.open_all(kSeeds, first_boot).storage.began_empty());
    }
}
