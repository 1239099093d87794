// The shared state of several processes of the program, with faults in them and between them. Conditions are
// awaited within a bound; what was answered to a writer is held against what all hold in the end.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <sstream>
#include <string>

#include "core/words.h"
#include "emulator/fleet_rig.h"

namespace martenford::emulator {
namespace {

std::size_t from_environment(const char* name, std::size_t default_value) {
    const char* value = std::getenv(name);
    return value ? std::strtoul(value, nullptr, 10) : default_value;
}

constexpr Duration kTimeout = 30s;  // for what must come; nothing is asserted on how soon

std::string field(const std::string& text, const std::string& name) {
    std::istringstream words(text);
    for (std::string word; words >> word;) {
        if (word.starts_with(name + "=")) return percent_decode(word.substr(name.size() + 1)).value_or("");
    }
    return {};
}

class StateCluster {
  public:
    static std::filesystem::path directory_of(std::uint64_t seed) {
        return std::filesystem::temp_directory_path() / fmt::format("martenford-state-{}-{}", getpid(), seed);
    }
    const std::filesystem::path& directory() const { return directory_; }
    explicit StateCluster(std::size_t members, std::uint64_t seed = 1, const std::string& fields = {})
        : directory_(directory_of(seed)),
          rig(loop, {MARTENFORD, members, 2, seed, "[state]\n" + fields, created(directory_), false, 512}) {
        rig.start_all();
        EXPECT_TRUE(all_ready());
    }
    ~StateCluster() {
        EXPECT_EQ(rig.crashed(), std::nullopt) << "a process ended by itself";
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }
    std::string call(std::size_t member, const std::string& line) {
        return rig.call(member, "state " + line).value_or("");
    }
    /// Its ticket; empty: it was refused.
    std::string put(std::size_t member, const std::string& table, const std::string& key,
                    const std::string& value, const std::string& options = "expires=600000") {
        return field(call(member, fmt::format("put {} {} {} {}", table, key, percent_encode(value), options)),
                     "ticket");
    }
    std::string remove(std::size_t member, const std::string& table, const std::string& key) {
        return field(call(member, fmt::format("delete {} {}", table, key)), "ticket");
    }
    /// Whether it has a copy. A member that keeps its copy on disk has none, and refuses reads and writes,
    /// until its helper has loaded it; the others may hold it alive before that.
    bool is_ready(std::size_t member) { return !field(call(member, "self"), "digest").empty(); }
    bool ready(std::size_t member) {
        return rig.await([&] { return is_ready(member); }, kTimeout);
    }
    /// Until all that are up hold each other alive and have a copy.
    bool all_ready() {
        const auto up = rig.all();
        return rig.await([&] { return rig.all_agree(); }, kTimeout) &&
               std::all_of(up.begin(), up.end(), [&](std::size_t i) { return !rig.is_up(i) || ready(i); });
    }
    /// What stands; "-" where nothing does; kUnknown where the member does not answer, or has no copy yet.
    static constexpr const char* kUnknown = "(unknown)";
    std::string get(std::size_t member, const std::string& table, const std::string& key) {
        const auto reply = rig.call(member, "state get " + table);
        if (!reply || !field(*reply, "refused").empty()) return kUnknown;
        std::istringstream lines(*reply);
        for (std::string line; std::getline(lines, line);) {
            if (field(line, "key") == key && field(line, "standing") == "1") return field(line, "value");
        }
        return "-";
    }
    /// The dots (writer and count) of what stands; empty `key`: of all keys.
    std::set<std::string> dots(std::size_t member, const std::string& table, const std::string& key = {}) {
        std::set<std::string> result;
        std::istringstream lines(call(member, "get " + table));
        for (std::string line; std::getline(lines, line);) {
            if (field(line, "standing") == "1" && (key.empty() || field(line, "key") == key))
                result.insert(field(line, "writer") + "." + field(line, "count"));
        }
        return result;
    }
    bool all_have(const std::string& table, const std::string& key, const std::string& value) {
        return wait_for_value(rig.all(), table, key, value);
    }
    /// Those of `who` that are up.
    bool wait_for_value(const std::set<std::size_t>& who, const std::string& table, const std::string& key,
                        const std::string& value) {
        return rig.await(
            [&] {
                for (const std::size_t i : who) {
                    if (rig.is_up(i) && get(i, table, key) != value) return false;
                }
                return true;
            },
            kTimeout);
    }
    bool all_equal() {
        return rig.await(
            [&] {
                std::set<std::string> digests;
                for (const std::size_t i : rig.all()) {
                    if (rig.is_up(i)) digests.insert(field(call(i, "self"), "digest"));
                }
                return digests.size() == 1 && !digests.begin()->empty();
            },
            kTimeout);
    }
    std::string outcome(std::size_t member, const std::string& ticket) {
        std::string reply;
        rig.await(
            [&] {
                return field(reply = call(member, "outcome " + ticket), "waits").empty() && !reply.empty();
            },
            kTimeout);
        return reply;
    }
    void cut(const std::set<std::size_t>& group, bool one_way = false) {
        const auto cut = [](LinkFaults& f) { f.cut = true; };
        rig.net().each_pair(group, rig.others(group), cut);
        if (!one_way) rig.net().each_pair(rig.others(group), group, cut);
    }
    /// Until each of these holds so many alive.
    bool wait_for_alive_count(const std::set<std::size_t>& who, std::size_t alive) {
        return rig.await(
            [&] {
                return std::all_of(who.begin(), who.end(),
                                   [&](std::size_t i) { return rig.holds(i, "alive") == alive; });
            },
            kTimeout);
    }

  private:
    static std::string created(const std::filesystem::path& path) {
        std::filesystem::create_directories(path);
        return path.string();
    }
    std::filesystem::path directory_;  // outlives the processes' files

  public:
    EventLoop loop;
    FleetRig rig;
};

TEST(StateProcesses, WritesAndDeletionsReachAllMembers) {
    StateCluster state(6);
    state.put(1, "overrides", "10.0.0.1:80", "exclude", "expires=600000 reason=a%20fan%20fails");
    EXPECT_TRUE(state.all_have("overrides", "10.0.0.1:80", "exclude"));
    EXPECT_EQ(field(state.call(5, "get overrides"), "reason"), "a fan fails");
    state.remove(4, "overrides", "10.0.0.1:80");
    EXPECT_TRUE(state.all_have("overrides", "10.0.0.1:80", "-"));
    EXPECT_TRUE(state.all_equal());
}

TEST(StateProcesses, KilledMemberCatchesUpAndPausedMemberResurrectsNothing) {
    StateCluster state(5);
    state.put(0, "settings", "a", "x=1");
    state.put(0, "overrides", "e", "exclude");
    ASSERT_TRUE(state.all_have("overrides", "e", "exclude"));
    state.rig.kill(4);
    state.rig.stop(3);
    state.remove(0, "overrides", "e");
    state.put(1, "settings", "a", "x=2");
    state.rig.run_for(1s);
    state.rig.start(4);
    state.rig.wake(3);
    EXPECT_TRUE(state.all_have("overrides", "e", "-"));
    EXPECT_TRUE(state.all_have("settings", "a", "x=2"));
    EXPECT_TRUE(state.rig.await([&] { return field(state.call(4, "self"), "caught_up") == "1"; }, kTimeout));
    EXPECT_TRUE(state.all_equal());
}

TEST(StateProcesses, ConflictOfAPartitionIsListedUntilItIsResolved) {
    StateCluster state(6);
    const std::set<std::size_t> left{0, 1, 2}, right{3, 4, 5};
    state.cut(left);
    ASSERT_TRUE(state.wait_for_alive_count(state.rig.all(), 3));
    ASSERT_FALSE(state.put(0, "overrides", "e", "exclude").empty());
    ASSERT_FALSE(state.put(5, "overrides", "e", "include").empty());
    ASSERT_FALSE(state.put(2, "settings", "s", "left").empty());
    ASSERT_FALSE(state.put(3, "settings", "s", "right").empty());
    // The answer to a put says that it is written at that member; the others get it by pushes and
    // comparisons.
    EXPECT_TRUE(state.wait_for_value(left, "overrides", "e", "exclude"));
    EXPECT_TRUE(state.wait_for_value(right, "overrides", "e", "include"));
    EXPECT_TRUE(state.wait_for_value(left, "settings", "s", "left"));
    EXPECT_TRUE(state.wait_for_value(right, "settings", "s", "right"));
    state.rig.net().heal();
    EXPECT_TRUE(state.all_have("overrides", "e", "exclude"));  // the safer
    EXPECT_TRUE(state.all_equal());
    for (const std::size_t i : {1u, 4u}) {
        const std::string conflicts = state.call(i, "conflicts");
        EXPECT_NE(conflicts.find("value=left"), conflicts.npos);
        EXPECT_NE(conflicts.find("value=right"), conflicts.npos);
    }
    state.put(1, "overrides", "e", "include");
    EXPECT_TRUE(state.all_have("overrides", "e", "include"));
}

TEST(StateProcesses, ThreePartitionsConvergeWhenHealedInAnyOrder) {
    StateCluster state(6);
    const std::set<std::size_t> parts[] = {{0, 1}, {2, 3}, {4, 5}};
    for (const auto& part : parts) state.cut(part);
    ASSERT_TRUE(state.wait_for_alive_count(state.rig.all(), 2));
    state.put(0, "overrides", "e", "weight=50");
    state.put(2, "overrides", "e", "weight=10");
    state.put(4, "overrides", "e", "include");
    const auto join = [&](std::size_t a, std::size_t b) {
        const auto restore_link = [](LinkFaults& f) { f.cut = false; };
        state.rig.net().each_pair(parts[a], parts[b], restore_link);
        state.rig.net().each_pair(parts[b], parts[a], restore_link);
    };
    join(2, 1);
    state.rig.run_for(2s);
    join(0, 2);
    join(0, 1);
    EXPECT_TRUE(state.all_have("overrides", "e", "weight=10"));
    EXPECT_TRUE(state.all_equal());
}

TEST(StateProcesses, OutcomeOfAWriteIsCorrectInAMajorityAndInAMinority) {
    StateCluster state(7);
    const std::string all = state.outcome(0, state.put(0, "settings", "a", "1", "majority within=5000"));
    EXPECT_EQ(field(all, "reached"), "1");
    EXPECT_GE(std::stoul(field(all, "got")), 3u);
    state.cut({0, 1});
    const std::string few = state.outcome(0, state.put(0, "settings", "a", "2", "others=3 within=1500"));
    EXPECT_EQ(field(few, "reached"), "0");
    EXPECT_LE(std::stoul(field(few, "got")), 1u);
    state.rig.net().heal();
    EXPECT_TRUE(state.all_have("settings", "a", "2"));
}

TEST(StateProcesses, MajorityWriteSurvivesItsWriter) {
    StateCluster state(5);
    const std::string ticket = state.put(2, "settings", "a", "kept", "majority within=5000");
    ASSERT_EQ(field(state.outcome(2, ticket), "reached"), "1");
    state.rig.kill(2);
    EXPECT_TRUE(state.all_have("settings", "a", "kept"));
}

TEST(StateProcesses, MemberThatOnlySendsDoesNotStopTheOthersFromConverging) {
    StateCluster state(5);
    state.rig.net().each_pair(state.rig.others({3}), {3}, [](LinkFaults& f) { f.cut = true; });
    state.put(3, "settings", "mine", "1");
    state.put(0, "settings", "theirs", "1");
    EXPECT_TRUE(state.rig.await(
        [&] {
            for (const std::size_t i : state.rig.others({3})) {
                if (state.get(i, "settings", "theirs") != "1") return false;
            }
            return true;
        },
        kTimeout));
    state.rig.net().heal();
    EXPECT_TRUE(state.all_have("settings", "mine", "1"));
    EXPECT_TRUE(state.all_have("settings", "theirs", "1"));
}

TEST(StateProcesses, LossDuplicationReorderingAndCorruptionOnlyDelayConvergence) {
    StateCluster state(6);
    state.rig.net().each_pair(state.rig.all(), state.rig.all(), [](LinkFaults& f) {
        f.drop = 0.2;
        f.duplicate = 0.1;
        f.reorder = 0.1;
        f.corrupt = 0.02;
        f.jitter = 30ms;
    });
    for (std::size_t i = 0; i < 24; ++i) {
        const std::string key = fmt::format("k{}", i % 8);
        if (i % 5 == 4) {
            state.remove(i % 6, "overrides", key);
        } else {
            state.put(i % 6, "overrides", key, i % 2 ? "exclude" : "weight=20");
        }
    }
    state.put(5, "overrides", "last", "exclude");
    EXPECT_TRUE(state.all_have("overrides", "last", "exclude"));
    state.rig.net().heal();
    EXPECT_TRUE(state.all_equal());
}

TEST(StateProcesses, GreatestFenceOfAPartitionWins) {
    StateCluster state(4);
    state.put(0, "fences", "ledger", "epoch=3 n0", "");
    ASSERT_TRUE(state.all_have("fences", "ledger", "epoch=3 n0"));
    EXPECT_NE(state.call(1, "put fences ledger epoch=3%20n1").find("refused="), std::string::npos);
    EXPECT_NE(state.call(1, "delete fences ledger").find("refused="), std::string::npos);
    state.cut({0, 1});
    ASSERT_TRUE(state.wait_for_alive_count(state.rig.all(), 2));
    state.put(0, "fences", "ledger", "epoch=5 n0", "");
    state.put(3, "fences", "ledger", "epoch=4 n3", "");
    state.rig.net().heal();
    EXPECT_TRUE(state.all_have("fences", "ledger", "epoch=5 n0"));
    EXPECT_EQ(state.call(2, "conflicts"), "");
}

TEST(StateProcesses, OverridesExpireAndRequireAnExpiry) {
    StateCluster state(3);
    EXPECT_NE(state.call(0, "put overrides e exclude").find("refused="), std::string::npos);
    state.put(0, "overrides", "e", "exclude", "expires=10000");
    ASSERT_TRUE(state.all_have("overrides", "e", "exclude"));
    EXPECT_TRUE(state.all_have("overrides", "e", "-"));
}

/// With a copy on disk each.
class PersistentStateCluster : public StateCluster {
  public:
    explicit PersistentStateCluster(std::size_t members, std::uint64_t seed = 1,
                                    const std::string& fields = {})
        : StateCluster(
              members, seed,
              fmt::format("directory = \"{}/kept-{{name}}\"\n", directory_of(seed).string()) + fields) {}
    std::filesystem::path file(std::size_t member, const std::string& name = "state.db") const {
        return directory() / fmt::format("kept-n{}", member) / name;
    }
    void kill_all() {
        for (const std::size_t i : rig.all()) rig.kill(i);
    }
    /// Until the killed process's helper has kept what it was sent, and ended.
    bool wait_until_persisted(std::size_t member) {
        return rig.await([&] { return !std::filesystem::exists(file(member, "state.db-wal")); }, kTimeout);
    }
    bool restart_all() {
        rig.start_all();
        return all_ready();
    }
};

TEST(StateProcesses, AcknowledgedWritesSurviveKillingAllMembers) {
    PersistentStateCluster state(4);
    ASSERT_EQ(field(state.outcome(1, state.put(1, "settings", "a", "1")), "reached"), "1");
    ASSERT_EQ(field(state.outcome(1, state.put(1, "settings", "b", "1", "majority within=5000")), "reached"),
              "1");
    ASSERT_TRUE(state.all_have("settings", "a", "1"));
    ASSERT_EQ(field(state.outcome(2, state.remove(2, "settings", "a")), "reached"), "1");
    ASSERT_EQ(field(state.outcome(3, state.put(3, "settings", "last", "1")), "reached"), "1");
    state.kill_all();  // the last write may have been told to nobody
    ASSERT_TRUE(state.restart_all());
    EXPECT_TRUE(state.all_have("settings", "last", "1"));
    EXPECT_TRUE(state.all_have("settings", "b", "1"));
    EXPECT_TRUE(state.all_have("settings", "a", "-"));
    EXPECT_EQ(field(state.call(3, "self"), "from_disk"), "1");
}

TEST(StateProcesses, MemberRestoredFromABackupCatchesUpAndReusesNoDot) {
    PersistentStateCluster state(4);
    ASSERT_EQ(field(state.outcome(0, state.put(0, "settings", "a", "old")), "reached"), "1");
    state.rig.kill(0);
    ASSERT_TRUE(state.wait_until_persisted(0));
    const auto backup = state.directory() / "backup";
    std::filesystem::copy(state.file(0).parent_path(), backup);
    state.rig.start(0);
    ASSERT_TRUE(state.all_ready());
    for (int i = 0; i < 5; ++i)
        ASSERT_EQ(field(state.outcome(0, state.put(0, "settings", fmt::format("k{}", i), "1")), "reached"),
                  "1");
    for (int i = 0; i < 5; ++i) ASSERT_TRUE(state.all_have("settings", fmt::format("k{}", i), "1"));
    const std::set<std::string> used = state.dots(2, "settings");
    ASSERT_EQ(used.size(), 6u);  // of "a" and of the five
    ASSERT_FALSE(state.remove(2, "settings", "a").empty());
    state.rig.kill(0);
    ASSERT_TRUE(state.wait_until_persisted(0));
    std::filesystem::remove_all(state.file(0).parent_path());
    std::filesystem::copy(backup, state.file(0).parent_path());
    // Cut off until it has written, so that it writes with the state of the backup and not after it has
    // caught up: a count that went on from the backup would give k0 the dot that it had before.
    state.cut({0});
    state.rig.start(0);
    ASSERT_TRUE(state.ready(0));
    EXPECT_EQ(field(state.call(0, "self"), "from_disk"), "1");
    EXPECT_EQ(state.get(0, "settings", "a"), "old");
    EXPECT_EQ(state.get(0, "settings", "k0"), "-");
    ASSERT_FALSE(state.put(0, "settings", "k0", "new").empty());
    EXPECT_EQ(state.get(0, "settings", "k0"), "new");
    const std::set<std::string> fresh = state.dots(0, "settings", "k0");
    ASSERT_EQ(fresh.size(), 1u);
    EXPECT_FALSE(used.contains(*fresh.begin())) << *fresh.begin();
    state.rig.net().heal();
    EXPECT_TRUE(state.all_have("settings", "a", "-"));
    EXPECT_TRUE(state.all_have("settings", "k0", "new"));
    EXPECT_TRUE(state.all_equal());
    ASSERT_FALSE(state.put(0, "settings", "k1", "newer").empty());  // after it has caught up
    EXPECT_TRUE(state.all_have("settings", "k1", "newer"));
    EXPECT_TRUE(state.all_have("settings", "k2", "1"));
    EXPECT_TRUE(state.all_have("settings", "k3", "1"));
    EXPECT_TRUE(state.all_equal());
}

TEST(StateProcesses, MemberRefusesReadsAndWritesUntilItsHelperHasLoaded) {
    // A helper that starts when this test lets it.
    const auto directory = StateCluster::directory_of(1);
    const std::string go = directory / "go", helper = directory / "late-helper";
    std::filesystem::create_directories(directory);
    std::ofstream(go).close();
    std::ofstream(helper) << "#!/bin/sh\nuntil [ -e '" << go
                          << "' ]; do [ -e \"$0\" ] || exit 1; sleep 0.05; done\nexec '"
                          << std::filesystem::path(MARTENFORD).replace_filename("martenford-ledger").string()
                          << "' \"$@\"\n";
    std::filesystem::permissions(helper, std::filesystem::perms::owner_all);
    PersistentStateCluster state(3, 1, fmt::format("helper = \"{}\"\n", helper));
    ASSERT_EQ(field(state.outcome(0, state.put(0, "settings", "a", "1")), "reached"), "1");
    ASSERT_TRUE(state.all_have("settings", "a", "1"));
    EXPECT_EQ(state.get(0, "settings", "b"), "-");
    state.rig.kill(0);
    ASSERT_TRUE(state.wait_until_persisted(0));
    EXPECT_EQ(state.get(0, "settings", "b"), StateCluster::kUnknown);  // it is down
    std::filesystem::remove(go);
    state.rig.start(0);
    ASSERT_TRUE(state.rig.await([&] { return state.rig.all_agree(); }, kTimeout));
    EXPECT_FALSE(state.is_ready(0));
    EXPECT_NE(state.call(0, "put settings b 1").find("refused="), std::string::npos);
    EXPECT_EQ(state.get(0, "settings", "b"), StateCluster::kUnknown);
    EXPECT_EQ(state.get(1, "settings", "b"), "-");  // nothing of it was written
    std::ofstream(go).close();
    ASSERT_TRUE(state.ready(0));
    EXPECT_EQ(field(state.call(0, "self"), "from_disk"), "1");
    ASSERT_EQ(field(state.outcome(0, state.put(0, "settings", "b", "1")), "reached"), "1");
    EXPECT_TRUE(state.all_have("settings", "b", "1"));
}

TEST(StateProcesses, UnusableSnapshotIsQuarantinedAndReported) {
    PersistentStateCluster state(3);
    ASSERT_EQ(field(state.outcome(0, state.put(0, "settings", "a", "1", "others=2 within=5000")), "reached"),
              "1");
    state.rig.kill(1);
    ASSERT_TRUE(state.wait_until_persisted(1));
    std::FILE* file = std::fopen(state.file(1).c_str(), "w");
    ASSERT_NE(file, nullptr);
    std::fputs("this is no database, and long enough to be taken for the head of one", file);
    std::fclose(file);
    state.rig.start(1);
    EXPECT_TRUE(state.all_have("settings", "a", "1"));
    EXPECT_TRUE(std::filesystem::exists(state.file(1, "state.db.aside-1")));
    const auto& log = state.rig.log(1);
    EXPECT_TRUE(std::any_of(log.begin(), log.end(), [](const std::string& line) {
        return line.find("state.db.aside-1") != line.npos;
    }));
    ASSERT_EQ(field(state.outcome(1, state.put(1, "settings", "b", "1")), "reached"), "1");
}

TEST(StateProcesses, WithoutAHelperWritesReplicateButAreNeverReportedDurable) {
    StateCluster state(3, 1, "directory = \"/proc/no-such-place/{name}\"\n");
    std::string ticket;
    ASSERT_TRUE(
        state.rig.await([&] { return !(ticket = state.put(0, "settings", "a", "1")).empty(); }, kTimeout));
    EXPECT_TRUE(state.all_have("settings", "a", "1"));
    EXPECT_EQ(field(state.call(0, "outcome " + ticket), "waits"), "1");
    EXPECT_EQ(field(state.call(0, "self"), "kept"), "no");
}

TEST(StateProcesses, CommandsShowEntriesAndDifferences) {
    StateCluster state(4);
    const auto run = [&](const std::string& words, std::size_t member, std::string& out) {
        // The loop must go on: it relays what the member has to say to others.
        const std::string path =
            std::filesystem::temp_directory_path() / fmt::format("martenford-out-{}", getpid());
        const std::string command = fmt::format("({} state {} --console {}; echo \"exit $?\") > {} 2>&1 &",
                                                MARTENFORD, words, text_of(state.rig.console(member)), path);
        EXPECT_EQ(std::system(command.c_str()), 0);
        state.rig.await(
            [&] {
                std::FILE* file = std::fopen(path.c_str(), "r");
                if (!file) return false;
                char text[8192];
                out.assign(text, std::fread(text, 1, sizeof text, file));
                std::fclose(file);
                return out.find("exit ") != out.npos;
            },
            kTimeout);
        std::filesystem::remove(path);
        return out.substr(out.find("exit ") + 5, 1);
    };
    std::string out;
    EXPECT_EQ(run("put overrides e exclude --expires 600 --reach majority --reason 'a fan'", 0, out), "0")
        << out;
    EXPECT_EQ(run("get overrides e --json", 3, out), "0") << out;
    EXPECT_NE(out.find("\"value\":\"exclude\""), out.npos) << out;
    EXPECT_NE(out.find("\"reason\":\"a fan\""), out.npos) << out;
    ASSERT_TRUE(state.all_equal());
    EXPECT_EQ(run("diff " + text_of(state.rig.console(2)), 0, out), "0") << out;
    state.cut({0});
    ASSERT_TRUE(state.wait_for_alive_count({0}, 1));
    EXPECT_EQ(run("put settings s x --reach 2 --within 1", 0, out), "3") << out;
    EXPECT_EQ(run("diff " + text_of(state.rig.console(2)), 0, out), "1") << out;
    EXPECT_NE(out.find("settings s"), out.npos) << out;
    EXPECT_EQ(run("put nothing k v", 1, out), "1") << out;
    EXPECT_NE(out.find("no table is named"), out.npos) << out;
}

/// Writes, deletions and faults from one seed. Keys of one writer each: what its last answered write said
/// stands in the end. Keys of all: the copies are alike.
class StateSchedules : public testing::TestWithParam<std::uint64_t> {};
TEST_P(StateSchedules, ConvergeWithAllAcknowledgedWrites) {
    const std::size_t members = from_environment("MARTENFORD_MEMBERS", 6);
    StateCluster state(members, GetParam());
    std::mt19937_64 random(GetParam());
    const auto random_member = [&] { return static_cast<std::size_t>(random() % members); };
    std::map<std::string, std::string> acknowledged;  // of a majority's keys, which no crash can take
    for (int step = 0; step < 24; ++step) {
        const std::size_t who = random_member(), other = random_member();
        switch (random() % 9) {
            case 0:
            case 1:
                if (state.rig.is_up(who))
                    state.put(who, "overrides", fmt::format("k{}", random() % 4),
                              random() % 2 ? "exclude" : "weight=5");
                break;
            case 2:
                if (state.rig.is_up(who)) state.remove(who, "overrides", fmt::format("k{}", random() % 4));
                break;
            case 3:
            case 4: {
                // A key each time: one written anew by a later process of a name has no order with it.
                const std::string key = fmt::format("m{}", step);
                const std::string ticket =
                    state.rig.is_up(who) ? state.put(who, "settings", key, "x", "majority within=3000") : "";
                if (!ticket.empty() && field(state.outcome(who, ticket), "reached") == "1")
                    acknowledged[key] = "x";
                break;
            }
            case 5:
                state.rig.wake(who);
                state.rig.kill(who);
                break;
            case 6:
                state.rig.start(who);
                break;
            case 7:
                if (who != other) state.rig.net().faults(who, other).cut = true;
                break;
            case 8:
                state.rig.net().each_pair({who}, state.rig.all(), [&](LinkFaults& f) {
                    f.drop = static_cast<double>(random() % 20) / 100.0;
                    f.duplicate = 0.05;
                    f.jitter = 20ms;
                });
                break;
        }
        state.rig.run_for(std::chrono::milliseconds(random() % 400));
    }
    state.rig.net().heal();
    for (std::size_t i = 0; i < members; ++i) state.rig.start(i);
    ASSERT_TRUE(state.rig.await([&] { return state.rig.all_agree(); }, kTimeout)) << "seed " << GetParam();
    ASSERT_TRUE(state.all_equal()) << "seed " << GetParam();
    for (const auto& [key, value] : acknowledged)
        EXPECT_EQ(state.get(0, "settings", key), value) << "seed " << GetParam();
}
INSTANTIATE_TEST_SUITE_P(Seeds, StateSchedules,
                         testing::Range<std::uint64_t>(1, 1 + from_environment("MARTENFORD_SCHEDULES", 3)));

}  // namespace
}  // namespace martenford::emulator
