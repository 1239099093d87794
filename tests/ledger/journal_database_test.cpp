// The journal's file against a disk that fails at every step in turn, and what is asked of it.
#include "ledger/journal_database.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <sstream>

#include "ledger/archive.h"
#include "ledger/reconcile.h"
#include "ledger/story.pb.h"
#include "standins/faulty_disk.h"

namespace {

using namespace martenford::ledger;
using martenford::standins::FaultyDisk;
namespace store = martenford::store;

Record record(std::uint64_t sequence, std::uint64_t serial, decltype(Record::payload) what) {
    const auto at = static_cast<std::int64_t>(sequence) * 1000;
    return Record{sequence, serial, at, at * 1'000'000, false, std::move(what)};
}
Intent intent(std::uint64_t serial, std::uint32_t attempt = 0) {
    return Intent{attempt,      "r" + std::to_string(serial),
                  "debit",      "k" + std::to_string(serial % 3),
                  "digest",     "s-1",
                  "10.0.0.1:80"};
}

store::Options on(const FaultyDisk& disk) {
    store::Options options;
    options.vfs = disk.name();
    options.shared = false;
    return options;
}

/// A day in batches: requests that are served, turned away and repeated, lost, refused; with large ids, so
/// that the file grows by many pages and its log is checkpointed.
std::vector<std::vector<Record>> scripted_workload() {
    std::vector<std::vector<Record>> batches;
    std::uint64_t sequence = 0;
    std::mt19937_64 random(5);
    for (std::uint64_t serial = 1; serial <= 24; serial += 3) {
        std::vector<Record> first, second;
        for (std::uint64_t s = serial; s < serial + 3; ++s) {
            first.push_back(record(++sequence, s, intent(s)));
            if (s % 2) second.push_back(record(++sequence, s, Written{0}));
            if (s % 5 == 0) {
                second.push_back(record(++sequence, s, Ended{0, Ending::Full}));
                second.push_back(record(++sequence, s, intent(s, 1)));
            } else if (s % 7 != 0) {  // one in seven never ends
                second.push_back(record(++sequence, s, Ended{0, s % 4 ? Ending::Served : Ending::Reset}));
                second.push_back(
                    record(++sequence, s, Answered{s % 4 ? FinalAnswer::Served : FinalAnswer::Failed}));
            }
        }
        batches.push_back(std::move(first));
        batches.push_back(std::move(second));
    }
    return batches;
}

using Histories = std::map<std::uint64_t, RequestHistory>;
void merge(Histories& histories, const std::vector<Record>& records) {
    for (const Record& each : records) histories[each.serial].merge(each);
}
Histories histories_in(JournalDatabase& database) {
    Histories found;
    database.by_time(0, std::numeric_limits<std::int64_t>::max(), [&](const Entry& entry) {
        found.emplace(entry.serial, entry.history);
        return true;
    });
    return found;
}

constexpr Hello kHello{kLinkVersion, 99, {}, 1};

/// Plays the day as the writer does: a batch that fails is kept again, on a file that is opened anew where a
/// sync failed. Gives what was acknowledged, and what was on its way.
struct Outcome {
    Histories acknowledged, in_flight;
};
Outcome run_workload(FaultyDisk& disk) {
    Outcome outcome;
    std::unique_ptr<JournalDatabase> database;
    std::int64_t boot = 0;
    for (const auto& batch : scripted_workload()) {
        outcome.in_flight = outcome.acknowledged;
        merge(outcome.in_flight, batch);
        for (int tries = 0;; ++tries) {
            try {
                if (!database) {
                    auto fresh = std::make_unique<JournalDatabase>("", true, on(disk));
                    boot = fresh->register_boot(kHello);
                    database = std::move(fresh);
                }
                database->write(boot, batch);
                break;
            } catch (const store::StoreError& error) {
                if (disk.powered_off()) return outcome;
                if (tries > 3) throw;
                if (error.kind != store::ErrorKind::Full) database.reset();
            }
        }
        outcome.acknowledged = outcome.in_flight;
    }
    return outcome;
}

std::uint64_t count_operations() {
    FaultyDisk disk("counting");
    run_workload(disk);
    return disk.operations();
}

class FaultAtEveryStep : public testing::TestWithParam<std::pair<FaultyDisk::Fault, const char*>> {};

TEST_P(FaultAtEveryStep, WhatWasAcknowledgedIsThereAndBatchesAreWholeOrNotThere) {
    const std::uint64_t all = count_operations();
    ASSERT_GT(all, 100u);
    for (std::uint64_t at = 0; at < all; ++at) {
        SCOPED_TRACE(std::string(GetParam().second) + " at operation " + std::to_string(at));
        FaultyDisk disk("faulty");
        disk.fail_at(at, GetParam().first);
        const Outcome outcome = run_workload(disk);
        ASSERT_TRUE(disk.fault_hit());
        disk.power_off();  // at the end too: what was acknowledged must not need the kernel's memory
        disk.power_on(at * 7 + 1);
        JournalDatabase database("", true, on(disk));
        ASSERT_EQ(database.verify(), std::vector<std::string>{});
        const Histories found = histories_in(database);
        ASSERT_TRUE(found == outcome.acknowledged || found == outcome.in_flight)
            << found.size() << " requests are there, " << outcome.acknowledged.size() << " were acknowledged";
        // A later start concludes once, and a second one changes nothing.
        const auto next = database.register_boot({kLinkVersion, 100, "n0", 2});
        while (!database.conclude_earlier_boots(next, 5, 4)) {
        }
        std::size_t concluded = 0;
        database.by_time(0, 1'000'000, [&](const Entry& entry) {
            EXPECT_TRUE(entry.concluded);
            EXPECT_EQ(*entry.concluded, entry.history.effect());
            ++concluded;
            return true;
        });
        ASSERT_EQ(concluded, found.size());
        ASSERT_TRUE(database.conclude_earlier_boots(next, 6, 4));
    }
}

INSTANTIATE_TEST_SUITE_P(Faults, FaultAtEveryStep,
                         testing::Values(std::pair(FaultyDisk::Fault::Power, "power"),
                                         std::pair(FaultyDisk::Fault::Sync, "sync"),
                                         std::pair(FaultyDisk::Fault::Full, "full"),
                                         std::pair(FaultyDisk::Fault::Torn, "torn")),
                         [](const auto& info) { return info.param.second; });

class JournalOnDisk : public testing::Test {
  protected:
    JournalOnDisk() {
        char path[] = "/tmp/martenford-book-XXXXXX";
        EXPECT_NE(mkdtemp(path), nullptr);
        directory = path;
    }
    ~JournalOnDisk() override {
        std::error_code ignored;
        std::filesystem::remove_all(directory, ignored);
    }
    std::string directory;
};

TEST_F(JournalOnDisk, AFileOfALaterVersionIsRefusedAndAnOlderOneIsRead) {
    {
        store::Database db(directory + "/ledger.db", {});
        db.execute("PRAGMA user_version=99");
    }
    for (const bool writing : {true, false}) {
        try {
            JournalDatabase database(directory, writing);
            FAIL();
        } catch (const store::StoreError& error) {
            EXPECT_EQ(error.kind, store::ErrorKind::Newer) << error.what();
        }
    }
    std::filesystem::remove(directory + "/ledger.db");
    {
        JournalDatabase database(directory, true);
        database.write(database.register_boot(kHello), {record(1, 1, intent(1))});
        database.database().execute("DROP INDEX request_doubt; PRAGMA user_version=1");
    }
    JournalDatabase older(directory, false);
    EXPECT_EQ(older.version(), 1);
    EXPECT_EQ(histories_in(older).size(), 1u);
    JournalDatabase newer(directory, true);
    EXPECT_EQ(newer.version(), 2);
    EXPECT_EQ(histories_in(newer).size(), 1u);
}

TEST_F(JournalOnDisk, ABoundOnTheFileIsAFullDisk) {
    store::Options options;
    options.max_bytes = 256 * 1024;
    JournalDatabase database(directory, true, options);
    const auto boot = database.register_boot(kHello);
    std::uint64_t committed_batches = 0;
    try {
        for (;; ++committed_batches) {
            std::vector<Record> batch;
            for (std::uint64_t i = 1; i <= 50; ++i) {
                batch.push_back(record(committed_batches * 50 + i, committed_batches * 50 + i,
                                       intent(committed_batches * 50 + i)));
            }
            database.write(boot, batch);
            ASSERT_LT(committed_batches, 1000u);
        }
    } catch (const store::StoreError& error) {
        EXPECT_EQ(error.kind, store::ErrorKind::Full) << error.what();
    }
    EXPECT_EQ(database.stats().requests,
              committed_batches * 50);  // the batch that failed is not there in part
    EXPECT_GT(committed_batches, 0u);
}

TEST_F(JournalOnDisk, ArchivesHoldWhatTheFileHeldAndABrokenOneIsIsolated) {
    JournalDatabase database(directory, true);
    const auto boot = database.register_boot(kHello);
    std::vector<Record> records;
    std::uint64_t sequence = 0;
    for (std::uint64_t s = 1; s <= 300; ++s) {
        records.push_back(record(++sequence, s, intent(s)));
        if (s % 10 == 0) continue;  // possibly ran
        records.push_back(record(++sequence, s, Ended{0, Ending::Served}));
        records.push_back(record(++sequence, s, Answered{FinalAnswer::Served}));
    }
    database.write(boot, records);
    const auto next = database.register_boot({kLinkVersion, 100, "n0", 2});
    while (!database.conclude_earlier_boots(next, 1, 1000)) {
    }
    const auto cut = records[records.size() / 2].wall_ms;
    Archives archives(directory);
    const std::size_t first = archives.move_settled(database, cut, 1);
    const std::size_t second = archives.move_settled(database, std::numeric_limits<std::int64_t>::max(), 1);
    EXPECT_EQ(first + second, 270u);
    EXPECT_EQ(archives.move_settled(database, std::numeric_limits<std::int64_t>::max(), 1), 0u);
    EXPECT_EQ(database.stats().requests, 30u);  // what possibly ran is never moved
    EXPECT_EQ(database.stats().attempts, 30u);
    EXPECT_EQ(archives.totals().archives, 2u);
    EXPECT_EQ(archives.verify(), std::vector<std::string>{});
    const auto count = [&](const std::string& name, bool key) {
        int found = 0;
        archives.by_id_or_key(name, key, [&](const story::Story& story) {
            EXPECT_EQ(story.effect(), "ran");
            return ++found > 0;
        });
        return found;
    };
    EXPECT_EQ(count("r1", false), 1);
    EXPECT_EQ(count("r299", false), 1);
    EXPECT_EQ(count("r10", false), 0);
    EXPECT_EQ(count("k1", true), 90);
    const auto read_before = archives.archives_read();
    EXPECT_EQ(count("a name that is in none", false), 0);
    EXPECT_EQ(archives.archives_read(), read_before);  // the filters knew
    // Bit rot in the first: its requests are passed over, the second's are found.
    std::string corrupted;
    for (const auto& file : std::filesystem::directory_iterator(directory)) {
        const std::string name = file.path().filename();
        if (name.ends_with(".zst") && (corrupted.empty() || name < corrupted)) corrupted = name;
    }
    std::fstream(directory + "/" + corrupted, std::ios::in | std::ios::out).seekp(40).put('x');
    EXPECT_EQ(count("r299", false), 1);
    EXPECT_EQ(count("r1", false), 0);
    ASSERT_EQ(archives.verify().size(), 1u);
    EXPECT_NE(archives.verify()[0].find(corrupted), std::string::npos);
    EXPECT_EQ(archives.prune(std::numeric_limits<std::int64_t>::max()), 2u);
    EXPECT_EQ(archives.totals().archives, 0u);
}

TEST_F(JournalOnDisk, ReconcilingTellsAgreementsDoubtsAndContradictionsApart) {
    JournalDatabase database(directory, true);
    const auto boot = database.register_boot(kHello);
    std::uint64_t sequence = 0;
    const auto request = [&](std::uint64_t serial, Ending ending, FinalAnswer answer) {
        std::vector<Record> records{record(++sequence, serial, intent(serial))};
        if (ending != Ending::Open) records.push_back(record(++sequence, serial, Ended{0, ending}));
        if (answer != FinalAnswer::None) records.push_back(record(++sequence, serial, Answered{answer}));
        database.write(boot, records);
    };
    request(1, Ending::Served, FinalAnswer::Served);    // agrees
    request(2, Ending::Full, FinalAnswer::Refused);     // agrees: not in the record
    request(3, Ending::Reset, FinalAnswer::Failed);     // possibly ran: it did
    request(4, Ending::Timeout, FinalAnswer::Failed);   // possibly ran: it did not
    request(5, Ending::Served, FinalAnswer::Served);    // ran, and is not recorded
    request(6, Ending::NotSent, FinalAnswer::Refused);  // never ran, and is recorded
    request(7, Ending::Served, FinalAnswer::Served);    // twice
    request(8, Ending::Open, FinalAnswer::None);        // under way
    std::istringstream file(
        "uid,id\r\ns-1,r1\r\ns-1,\"r3\"\r\ns-1,r6\r\ns-1,r7\ns-2,r7\r\n\"a,\"\"b\",stranger\r\n");
    std::map<std::string, std::string> findings;
    JournalDatabase reader(directory, false);
    const auto r = reconcile(reader, file, 0, std::numeric_limits<std::int64_t>::max(),
                             [&](const char* what, const std::string& id) { findings[id] += what; });
    EXPECT_EQ(r.lines, 6u);
    EXPECT_EQ(r.agree_ran, 2u);
    EXPECT_EQ(r.agree_never_ran, 1u);
    EXPECT_EQ(r.possibly_ran, 1u);
    EXPECT_EQ(r.possibly_did_not_run, 1u);
    EXPECT_EQ(r.ran_unrecorded, 1u);
    EXPECT_EQ(r.never_but_ran, 1u);
    EXPECT_EQ(r.duplicates, 1u);
    EXPECT_EQ(r.under_way, 1u);
    EXPECT_EQ(r.not_in_journal, 1u);
    EXPECT_EQ(findings.size(), 6u);
    EXPECT_NE(findings["r6"].find("never ran"), std::string::npos);
    for (const char* broken : {"", "uid\nx\n", "id,uid\nr1\n", "id\n\"r1\n"}) {
        std::istringstream bad(broken);
        EXPECT_THROW(reconcile(reader, bad, 0, 1, [](const char*, const std::string&) {}),
                     std::runtime_error);
    }
}

}  // namespace
