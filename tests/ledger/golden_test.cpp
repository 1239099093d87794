// The journal's frames and its file against bytes that an earlier commit wrote: tests/golden/README.md.
#include "golden.h"

#include <gtest/gtest.h>

#include <limits>
#include <map>
#include <vector>

#include "ledger/archive.h"
#include "ledger/frame.h"
#include "ledger/journal_database.h"
#include "ledger/story.pb.h"

namespace {

using namespace martenford::ledger;

std::string path_of(const std::string& name) {
    return std::string(GOLDEN_DIR) + "/ledger/" + name;
}

std::string message_in(const std::string& frame) {
    FrameReader reader;
    reader.feed(frame);
    const auto message = reader.next();
    if (!message) throw FrameError("not whole");
    std::string inside(*message);
    EXPECT_TRUE(reader.empty());
    return inside;
}

/// The fixture's message, after it was seen that both `now` and what was read are written as it is.
ToWriter read_to(const std::string& file, const ToWriter& now) {
    const std::string bytes = golden::kept(path_of(file), frame_of(now));
    EXPECT_EQ(frame_of(now), bytes) << file;
    const ToWriter read = read_to_writer(message_in(bytes));
    EXPECT_EQ(frame_of(read), bytes) << file;
    return read;
}
FromWriter read_from(const std::string& file, const FromWriter& now) {
    const std::string bytes = golden::kept(path_of(file), frame_of(now));
    EXPECT_EQ(frame_of(now), bytes) << file;
    const FromWriter read = read_from_writer(message_in(bytes));
    EXPECT_EQ(frame_of(read), bytes) << file;
    return read;
}

template <class What>
What read_record(const std::string& file, const What& what) {
    const ToWriter read = read_to(file, Record{101, 102, 1'700'000'000'103, 104, true, what});
    const Record& record = std::get<Record>(read);
    EXPECT_EQ(record.sequence, 101u);
    EXPECT_EQ(record.serial, 102u);
    EXPECT_EQ(record.wall_ms, 1'700'000'000'103);
    EXPECT_EQ(record.mono_ns, 104);
    EXPECT_TRUE(record.urgent);
    return std::get<What>(record.payload);
}

Record record(std::uint64_t sequence, std::uint64_t serial, decltype(Record::payload) what) {
    const auto at = static_cast<std::int64_t>(sequence);
    return Record{sequence, serial, 1'700'000'000'000 + at * 1000, at * 1'000'000, false, std::move(what)};
}
Intent intent(std::uint64_t serial, std::uint32_t attempt = 0) {
    const std::string number = std::to_string(serial);
    return {
        attempt,         "request-" + number,       "debit", "key-" + number, std::string("digest\0\xff", 8),
        "uid-" + number, "10.3.0." + number + ":80"};
}

const Hello kBefore{kLinkVersion, 0xfedcba9876543210, "sidecar-a", 1'700'000'000'000};
const Hello kNow{kLinkVersion, 0x123456789abcdef, "sidecar-b", 1'700'000'900'000};

/// What the client was told, by how the attempt ended.
constexpr FinalAnswer kAnswers[kEndingCount] = {
    FinalAnswer::None,       FinalAnswer::Served,     FinalAnswer::Failed,  FinalAnswer::Failed,
    FinalAnswer::ClientLeft, FinalAnswer::ClientLeft, FinalAnswer::Refused, FinalAnswer::Refused,
    FinalAnswer::Refused,    FinalAnswer::Refused};

/// The words that stand in archives and exports, by their numbers.
const std::vector<std::string> kEndingWords{"open",      "served", "error",          "timeout", "reset",
                                            "cancelled", "full",   "connect-failed", "moot",    "withheld"};
const std::vector<std::string> kAnswerWords{"none", "refused", "failed", "served", "left"};
const std::vector<std::string> kEffectWords{"never ran", "possibly ran", "ran"};

/// Of a boot that has ended: a request for each ending of an attempt, and for each answer.
std::vector<Record> records_before() {
    std::vector<Record> records;
    std::uint64_t sequence = 0;
    for (int ending = 0; ending < kEndingCount; ++ending) {
        const auto serial = static_cast<std::uint64_t>(ending) + 1;
        records.push_back(record(++sequence, serial, intent(serial)));
        if (ending == 0) continue;
        records.push_back(record(++sequence, serial, Written{0}));
        records.push_back(record(++sequence, serial, Ended{0, static_cast<Ending>(ending)}));
        records.push_back(record(++sequence, serial, Answered{kAnswers[ending]}));
    }
    // Sent twice: turned away, then served.
    records.push_back(record(++sequence, 11, intent(11)));
    records.push_back(record(++sequence, 11, Ended{0, Ending::Full}));
    records.push_back(record(++sequence, 11, intent(11, 1)));
    records.push_back(record(++sequence, 11, Written{1}));
    records.push_back(record(++sequence, 11, Ended{1, Ending::Served}));
    records.push_back(record(++sequence, 11, Answered{FinalAnswer::Served}));
    records.push_back(record(++sequence, 0, Gap{1'700'000'001'000, 7, "the disk was full"}));
    return records;
}
/// Of a boot that may still run: one under way, one served.
std::vector<Record> records_now() {
    return {record(901, 1, intent(1)), record(902, 2, intent(2)), record(903, 2, Written{0}),
            record(904, 2, Ended{0, Ending::Served}), record(905, 2, Answered{FinalAnswer::Served})};
}

TEST(GoldenLedgerFrames, Hello) {
    const auto read = std::get<Hello>(read_to("hello.bin", Hello{201, 202, "sidecar-a", 203}));
    EXPECT_EQ(read.version, 201u);
    EXPECT_EQ(read.boot, 202u);
    EXPECT_EQ(read.name, "sidecar-a");
    EXPECT_EQ(read.started_ms, 203);
}

TEST(GoldenLedgerFrames, Intent) {
    const auto read = read_record(
        "record-intent.bin",
        Intent{3, "request-1", "debit", "key-1", std::string("digest\0\xff", 8), "uid-1", "10.3.0.1:80"});
    EXPECT_EQ(read.attempt, 3u);
    EXPECT_EQ(read.id, "request-1");
    EXPECT_EQ(read.klass, "debit");
    EXPECT_EQ(read.key, "key-1");
    EXPECT_EQ(read.digest, std::string("digest\0\xff", 8));
    EXPECT_EQ(read.uid, "uid-1");
    EXPECT_EQ(read.address, "10.3.0.1:80");
}

TEST(GoldenLedgerFrames, Written) {
    EXPECT_EQ(read_record("record-written.bin", Written{4}).attempt, 4u);
}

TEST(GoldenLedgerFrames, EndedEveryWayWithItsNumber) {
    for (int number = 1; number < kEndingCount; ++number) {
        const auto ending = static_cast<Ending>(number);
        const auto read = read_record("record-ended-" + std::to_string(number) + ".bin", Ended{5, ending});
        EXPECT_EQ(read.attempt, 5u);
        EXPECT_EQ(static_cast<int>(read.ending), number);
    }
    EXPECT_EQ(static_cast<int>(Ending::Open), 0);
    EXPECT_EQ(static_cast<int>(Ending::Served), 1);
    EXPECT_EQ(static_cast<int>(Ending::Error), 2);
    EXPECT_EQ(static_cast<int>(Ending::Timeout), 3);
    EXPECT_EQ(static_cast<int>(Ending::Reset), 4);
    EXPECT_EQ(static_cast<int>(Ending::Cancelled), 5);
    EXPECT_EQ(static_cast<int>(Ending::Full), 6);
    EXPECT_EQ(static_cast<int>(Ending::ConnectFailed), 7);
    EXPECT_EQ(static_cast<int>(Ending::NotSent), 8);
    EXPECT_EQ(static_cast<int>(Ending::Withheld), 9);
}

TEST(GoldenLedgerFrames, AnsweredEveryWayWithItsNumber) {
    for (int number = 1; number < kFinalAnswerCount; ++number) {
        const auto read = read_record("record-answered-" + std::to_string(number) + ".bin",
                                      Answered{static_cast<FinalAnswer>(number)});
        EXPECT_EQ(static_cast<int>(read.answer), number);
    }
    EXPECT_EQ(static_cast<int>(FinalAnswer::None), 0);
    EXPECT_EQ(static_cast<int>(FinalAnswer::Refused), 1);
    EXPECT_EQ(static_cast<int>(FinalAnswer::Failed), 2);
    EXPECT_EQ(static_cast<int>(FinalAnswer::Served), 3);
    EXPECT_EQ(static_cast<int>(FinalAnswer::ClientLeft), 4);
}

TEST(GoldenLedgerFrames, Gap) {
    const auto read = read_record("record-gap.bin", Gap{1'700'000'000'301, 302, "the disk was full"});
    EXPECT_EQ(read.from_ms, 1'700'000'000'301);
    EXPECT_EQ(read.requests, 302u);
    EXPECT_EQ(read.reason, "the disk was full");
}

TEST(GoldenLedgerFrames, WhatTheWriterSays) {
    EXPECT_EQ(std::get<Ready>(read_from("ready.bin", Ready{401})).version, 401u);
    EXPECT_EQ(std::get<Ack>(read_from("ack.bin", Ack{402})).up_to, 402u);
    EXPECT_EQ(std::get<Trouble>(read_from("trouble.bin", Trouble{"no room"})).what, "no room");
}

/// Of requests in the file, by boot and serial.
std::map<std::pair<std::int64_t, std::uint64_t>, Entry> entries_in(JournalDatabase& database) {
    std::map<std::pair<std::int64_t, std::uint64_t>, Entry> found;
    database.by_time(0, std::numeric_limits<std::int64_t>::max(), [&](const Entry& entry) {
        found.emplace(std::pair{entry.boot, entry.serial}, entry);
        return true;
    });
    return found;
}

TEST(GoldenLedgerFile, EveryRequestIsReadAsItWasWritten) {
    if (golden::writes()) {
        golden::Folder made;
        {
            JournalDatabase database(made.at, true);
            const auto before = database.register_boot(kBefore);
            database.write(before, records_before());
            const auto now = database.register_boot(kNow);
            while (!database.conclude_earlier_boots(now, 1'700'000'901'000, 100)) {
            }
            database.write(now, records_now());
        }
        golden::put_directory(made.at, path_of("journal"));
    }
    golden::Folder copy(path_of("journal"));
    JournalDatabase database(copy.at, true);
    EXPECT_EQ(database.version(), 2);
    EXPECT_EQ(database.verify(), std::vector<std::string>{});

    const auto boots = database.boots();
    ASSERT_EQ(boots.size(), 2u);
    const bool first_first = boots[0].number == 1;
    const BootInfo& before = boots[first_first ? 0 : 1];
    const BootInfo& now = boots[first_first ? 1 : 0];
    EXPECT_EQ(before.number, 1);
    EXPECT_EQ(before.id, 0xfedcba9876543210u);
    EXPECT_EQ(before.name, "sidecar-a");
    EXPECT_EQ(before.started_ms, 1'700'000'000'000);
    EXPECT_EQ(before.concluded_ms, 1'700'000'901'000);
    EXPECT_EQ(now.number, 2);
    EXPECT_EQ(now.id, 0x123456789abcdefu);
    EXPECT_EQ(now.name, "sidecar-b");
    EXPECT_EQ(now.started_ms, 1'700'000'900'000);
    EXPECT_EQ(now.concluded_ms, 0);

    const auto found = entries_in(database);
    ASSERT_EQ(found.size(), 13u);
    // What the records say; the sums of it are the file's own.
    std::map<std::pair<std::int64_t, std::uint64_t>, RequestHistory> histories;
    for (const Record& each : records_before()) {
        if (each.serial != 0) histories[{1, each.serial}].merge(each);
    }
    for (const Record& each : records_now()) histories[{2, each.serial}].merge(each);
    for (const auto& [name, entry] : found) {
        SCOPED_TRACE(std::to_string(name.first) + "." + std::to_string(name.second));
        ASSERT_TRUE(histories.contains(name));
        EXPECT_EQ(entry.history, histories.at(name));
        EXPECT_EQ(entry.sidecar, name.first == 1 ? "sidecar-a" : "sidecar-b");
    }
    // And by figures that stand here alone.
    for (int ending = 0; ending < kEndingCount; ++ending) {
        const auto serial = static_cast<std::uint64_t>(ending) + 1;
        const std::string number = std::to_string(serial);
        SCOPED_TRACE(number);
        const Entry& entry = found.at({1, serial});
        const RequestHistory& history = entry.history;
        const std::int64_t taken = ending == 0 ? 1 : 4 * ending - 2;  // the sequence of its intent
        EXPECT_EQ(history.id(), "request-" + number);
        EXPECT_EQ(history.klass(), "debit");
        EXPECT_EQ(history.key(), "key-" + number);
        EXPECT_EQ(history.digest(), std::string("digest\0\xff", 8));
        EXPECT_EQ(history.taken_ms(), 1'700'000'000'000 + taken * 1000);
        EXPECT_EQ(history.taken_mono_ns(), taken * 1'000'000);
        EXPECT_EQ(history.answer(), kAnswers[ending]);
        ASSERT_EQ(history.attempts().size(), 1u);
        const AttemptHistory& attempt = history.attempts().at(0);
        EXPECT_EQ(attempt.uid, "uid-" + number);
        EXPECT_EQ(attempt.address, "10.3.0." + number + ":80");
        EXPECT_EQ(attempt.intent_ms, 1'700'000'000'000 + taken * 1000);
        EXPECT_EQ(static_cast<int>(attempt.ending), ending);
        ASSERT_TRUE(entry.concluded.has_value());
        EXPECT_EQ(*entry.concluded, history.effect());
        if (ending == 0) continue;
        EXPECT_EQ(attempt.written_ms, 1'700'000'000'000 + (taken + 1) * 1000);
        EXPECT_EQ(attempt.ended_ms, 1'700'000'000'000 + (taken + 2) * 1000);
    }
    EXPECT_EQ(*found.at({1, 1}).concluded, Effect::MayHaveRun);  // open when its boot ended
    EXPECT_EQ(*found.at({1, 2}).concluded, Effect::Ran);         // served
    EXPECT_EQ(*found.at({1, 5}).concluded, Effect::MayHaveRun);  // reset
    EXPECT_EQ(*found.at({1, 7}).concluded, Effect::NeverRan);    // turned away
    const RequestHistory& twice = found.at({1, 11}).history;
    ASSERT_EQ(twice.attempts().size(), 2u);
    EXPECT_EQ(twice.attempts().at(0).ending, Ending::Full);
    EXPECT_EQ(twice.attempts().at(1).ending, Ending::Served);
    EXPECT_EQ(twice.answer(), FinalAnswer::Served);
    EXPECT_FALSE(found.at({2, 1}).concluded.has_value());  // under way
    EXPECT_EQ(found.at({2, 2}).history.effect(), Effect::Ran);

    const auto gaps = database.gaps(0, std::numeric_limits<std::int64_t>::max());
    ASSERT_EQ(gaps.size(), 1u);
    EXPECT_EQ(gaps[0].boot, 1);
    EXPECT_EQ(gaps[0].from_ms, 1'700'000'001'000);
    EXPECT_EQ(gaps[0].to_ms, 1'700'000'044'000);
    EXPECT_EQ(gaps[0].requests, 7u);
    EXPECT_EQ(gaps[0].reason, "the disk was full");
}

TEST(GoldenLedgerFile, ItIsFoundByIdAndKeyAndGoesOn) {
    golden::Folder copy(path_of("journal"));
    JournalDatabase database(copy.at, true);
    std::vector<std::uint64_t> serials;
    const auto each = [&](const Entry& entry) {
        serials.push_back(entry.serial);
        return true;
    };
    database.by_id("request-11", each);
    database.by_key("key-3", each);
    EXPECT_EQ(serials, (std::vector<std::uint64_t>{11, 3}));
    // The same boot is known again; what it had open goes on, and what was written changes nothing.
    const auto boot = database.register_boot(kNow);
    EXPECT_EQ(boot, 2);
    database.write(boot, records_now());
    EXPECT_EQ(entries_in(database).size(), 13u);
    database.write(boot,
                   {record(906, 1, Ended{0, Ending::Served}), record(907, 1, Answered{FinalAnswer::Served})});
    EXPECT_TRUE(entries_in(database).at({2, 1}).history.is_complete());
    EXPECT_EQ(database.verify(), std::vector<std::string>{});
}

TEST(GoldenLedgerArchive, TheWordsInItStay) {
    ASSERT_EQ(kEndingWords.size(), static_cast<std::size_t>(kEndingCount));
    ASSERT_EQ(kAnswerWords.size(), static_cast<std::size_t>(kFinalAnswerCount));
    for (std::size_t at = 0; at < kEndingWords.size(); ++at)
        EXPECT_EQ(name_of(static_cast<Ending>(at)), kEndingWords[at]);
    for (std::size_t at = 0; at < kAnswerWords.size(); ++at)
        EXPECT_EQ(name_of(static_cast<FinalAnswer>(at)), kAnswerWords[at]);
    for (std::size_t at = 0; at < kEffectWords.size(); ++at)
        EXPECT_EQ(name_of(static_cast<Effect>(at)), kEffectWords[at]);
}

TEST(GoldenLedgerArchive, ItsFilesAreMadeAlikeFromTheSameJournal) {
    golden::Folder made(path_of("journal"));
    {
        JournalDatabase database(made.at, true);
        EXPECT_EQ(Archives(made.at).move_settled(database, 1'700'000'900'000, 1), 6u);
    }
    std::filesystem::remove(made.at + "/ledger.db");
    if (golden::writes()) golden::put_directory(made.at, path_of("archives"));
    std::map<std::string, std::string> kept, now;
    for (const auto& file : std::filesystem::directory_iterator(path_of("archives")))
        kept[file.path().filename()] = golden::kept(file.path());
    for (const auto& file : std::filesystem::directory_iterator(made.at))
        now[file.path().filename()] = golden::kept(file.path());
    EXPECT_EQ(kept.size(), 3u);  // the manifest, an archive, its filter
    EXPECT_EQ(now, kept);
}

TEST(GoldenLedgerArchive, EveryRequestIsReadAsItWasWritten) {
    golden::Folder copy(path_of("archives"));
    Archives archives(copy.at);
    EXPECT_EQ(archives.verify(), std::vector<std::string>{});
    const auto totals = archives.totals();
    EXPECT_EQ(totals.archives, 1u);
    EXPECT_EQ(totals.requests, 6u);
    std::vector<story::Story> found;
    archives.by_time(0, std::numeric_limits<std::int64_t>::max(), [&](const story::Story& each) {
        found.push_back(each);
        return true;
    });
    ASSERT_EQ(found.size(), 6u);  // what may have run stays in the journal
    const std::vector<std::uint64_t> moved{2, 7, 8, 9, 10, 11};
    for (std::size_t i = 0; i < found.size(); ++i) {
        const story::Story& story = found[i];
        const std::size_t at = moved[i] - 1;  // the number of its ending
        const std::string number = std::to_string(at + 1);
        SCOPED_TRACE(number);
        const std::int64_t taken = 4 * static_cast<std::int64_t>(at) - 2;
        EXPECT_EQ(story.sidecar(), "sidecar-a");
        EXPECT_EQ(story.boot(), 1u);
        EXPECT_EQ(story.serial(), at + 1);
        EXPECT_EQ(story.id(), "request-" + number);
        EXPECT_EQ(story.klass(), "debit");
        EXPECT_EQ(story.key(), "key-" + number);
        EXPECT_EQ(story.digest(), std::string("digest\0\xff", 8));
        EXPECT_EQ(story.taken_ms(), 1'700'000'000'000 + taken * 1000);
        EXPECT_EQ(story.taken_mono_ns(), taken * 1'000'000);
        EXPECT_FALSE(story.reason().empty());
        EXPECT_FALSE(story.under_way());
        if (at >= kEndingWords.size()) continue;  // the one that was sent twice
        EXPECT_EQ(story.answer(), kAnswerWords.at(static_cast<std::size_t>(kAnswers[at])));
        EXPECT_EQ(story.answered_ms(), 1'700'000'000'000 + (taken + 3) * 1000);
        EXPECT_EQ(story.effect(), at == 1 ? "ran" : "never ran");
        ASSERT_EQ(story.attempts_size(), 1);
        EXPECT_EQ(story.attempts(0).number(), 0u);
        EXPECT_EQ(story.attempts(0).uid(), "uid-" + number);
        EXPECT_EQ(story.attempts(0).address(), "10.3.0." + number + ":80");
        EXPECT_EQ(story.attempts(0).intent_ms(), 1'700'000'000'000 + taken * 1000);
        EXPECT_EQ(story.attempts(0).ending(), kEndingWords[at]);
        EXPECT_EQ(story.attempts(0).written_ms(), 1'700'000'000'000 + (taken + 1) * 1000);
        EXPECT_EQ(story.attempts(0).ended_ms(), 1'700'000'000'000 + (taken + 2) * 1000);
    }
    ASSERT_EQ(found[5].attempts_size(), 2);
    EXPECT_EQ(found[5].attempts(1).number(), 1u);
    EXPECT_EQ(found[5].attempts(1).ending(), "served");
    std::vector<std::uint64_t> serials;
    archives.by_id_or_key("key-9", true, [&](const story::Story& each) {
        serials.push_back(each.serial());
        return true;
    });
    EXPECT_EQ(serials, std::vector<std::uint64_t>{9});
    EXPECT_EQ(archives.errors(), std::vector<std::string>{});
}

}  // namespace
