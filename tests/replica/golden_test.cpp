// The messages of the shared state and its file against bytes that an earlier commit wrote:
// tests/golden/README.md.
#include "golden.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <thread>
#include <vector>

#include "framing/frame.h"
#include "replica/message.h"
#include "replica/shelf.pb.h"
#include "replica/snapshot_writer.h"
#include "replica/tables.h"

namespace martenford::replica {
namespace {

std::string path_of(const std::string& name) {
    return std::string(GOLDEN_DIR) + "/replica/" + name;
}

// ---- the values. No field has its default.

/// With siblings, one of which carries a field that no build knows.
NamedEntry contested() {
    NamedEntry out;
    out.name = {"settings", "limits"};
    out.entry.rule = ConflictRule::Greatest;
    out.entry.versions = {
        {{11, 12}, 13, 14, 15, true, std::string("value\0a", 7), "sidecar-a", "reason a", "\x78\x07"},
        {{21, 22}, 23, 24, 25, true, std::string("value\0b\xff", 8), "sidecar-b", "reason b", ""}};
    out.entry.context = {{{11, 12}, 13}, {{21, 26}, 27}, {{31, 32}, 33}};
    return out;
}
NamedEntry plain() {
    std::string error;
    const auto value = read_value("overrides", "weight=40", error);
    NamedEntry out;
    out.name = {"overrides", "10.4.0.1:80"};
    out.entry.rule = ConflictRule::Safer;
    out.entry.versions = {{{41, 42}, 43, 44, value->rank, false, value->bytes, "sidecar-c", "reason c", ""}};
    out.entry.context = {{{41, 42}, 43}};
    return out;
}
NamedEntry verdict() {
    NamedEntry out;
    out.name = {"verdicts", "10.4.0.2:80 sidecar-d"};
    out.entry.rule = ConflictRule::Latest;
    out.entry.versions = {{{51, 52},
                           53,
                           54,
                           55,
                           false,
                           bytes_of(Verdict{Verdict::Kind::Unreachable, 56, 57}),
                           "sidecar-d",
                           "reason d",
                           ""}};
    out.entry.context = {{{51, 52}, 53}};
    return out;
}
NamedEntry drain() {
    NamedEntry out;
    out.name = {"drains", "10.4.0.3:80"};
    out.entry.rule = ConflictRule::Present;
    out.entry.versions = {
        {{61, 62}, 63, 64, 65, false, bytes_of(Drain{66, 67, "source"}), "sidecar-e", "reason e", ""}};
    out.entry.context = {{{61, 62}, 63}};
    return out;
}

Message message_of(Message::Kind kind) {
    Message out;
    out.kind = kind;
    out.sent_at = 101;
    out.horizon = 102;
    out.seq = 103;
    out.entries = {contested(), plain()};
    out.ranges = {
        {4, 0xabcd000000000000, 104, 105, true, {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}},
        {5, 0xfedcb00000000000, 106, 107, true, {}}};
    out.summaries = {{108, 109, 110}, {111, 112, 113}};
    out.requested = {114, 0xfedcba9876543210};
    out.from_position = 115;
    out.next_position = 116;
    out.is_last = out.busy = true;
    return out;
}

// ---- what is read back

void expect_version(const Version& read, std::uint64_t first, bool deleted, const std::string& value,
                    const std::string& letter, const std::string& extra) {
    EXPECT_EQ(read.dot.writer, first);
    EXPECT_EQ(read.dot.count, first + 1);
    EXPECT_EQ(read.timestamp, first + 2);
    EXPECT_EQ(read.expires, first + 3);
    EXPECT_EQ(read.deleted, deleted);
    EXPECT_EQ(read.value, value);
    EXPECT_EQ(read.written_by, "sidecar-" + letter);
    EXPECT_EQ(read.reason, "reason " + letter);
    EXPECT_EQ(read.unknown_fields, extra);
}
void expect_known(const ContextItem& read, std::uint64_t writer, std::uint64_t count,
                  std::uint64_t timestamp) {
    EXPECT_EQ(read.dot.writer, writer);
    EXPECT_EQ(read.dot.count, count);
    EXPECT_EQ(read.timestamp, timestamp);
}
void expect_contested(const NamedEntry& read) {
    EXPECT_EQ(read.name.table, "settings");
    EXPECT_EQ(read.name.key, "limits");
    EXPECT_EQ(static_cast<int>(read.entry.rule), 2);
    ASSERT_EQ(read.entry.versions.size(), 2u);
    expect_version(read.entry.versions[0], 11, true, std::string("value\0a", 7), "a", "\x78\x07");
    EXPECT_EQ(read.entry.versions[0].rank, 15u);
    expect_version(read.entry.versions[1], 21, true, std::string("value\0b\xff", 8), "b", "");
    EXPECT_EQ(read.entry.versions[1].rank, 25u);
    ASSERT_EQ(read.entry.context.size(), 3u);
    expect_known(read.entry.context[0], 11, 12, 13);
    expect_known(read.entry.context[1], 21, 26, 27);
    expect_known(read.entry.context[2], 31, 32, 33);
}
void expect_plain(const NamedEntry& read) {
    EXPECT_EQ(read.name.table, "overrides");
    EXPECT_EQ(read.name.key, "10.4.0.1:80");
    EXPECT_EQ(static_cast<int>(read.entry.rule), 1);
    ASSERT_EQ(read.entry.versions.size(), 1u);
    const Version& version = read.entry.versions[0];
    // The value by its bytes: what (1) is a weight (1), percent (2) is 40.
    expect_version(version, 41, false, "\x08\x01\x10\x28", "c", "");
    EXPECT_EQ(version.rank, plain().entry.versions[0].rank);
    EXPECT_EQ(text_of("overrides", version.value), "weight=40");
    ASSERT_EQ(read.entry.context.size(), 1u);
    expect_known(read.entry.context[0], 41, 42, 43);
}
void expect_verdict(const NamedEntry& read) {
    EXPECT_EQ(read.name.table, "verdicts");
    EXPECT_EQ(read.name.key, "10.4.0.2:80 sidecar-d");
    EXPECT_EQ(static_cast<int>(read.entry.rule), 0);
    ASSERT_EQ(read.entry.versions.size(), 1u);
    const Version& version = read.entry.versions[0];
    expect_version(version, 51, false, "\x08\x01\x10\x38\x18\x39", "d", "");
    EXPECT_EQ(version.rank, 55u);
    const auto value = read_verdict(version.value);
    ASSERT_TRUE(value.has_value());
    EXPECT_EQ(value->kind, Verdict::Kind::Unreachable);
    EXPECT_EQ(value->failed, 56u);
    EXPECT_EQ(value->calls, 57u);
    ASSERT_EQ(read.entry.context.size(), 1u);
    expect_known(read.entry.context[0], 51, 52, 53);
}
void expect_drain(const NamedEntry& read) {
    EXPECT_EQ(read.name.table, "drains");
    EXPECT_EQ(read.name.key, "10.4.0.3:80");
    EXPECT_EQ(static_cast<int>(read.entry.rule), 3);
    ASSERT_EQ(read.entry.versions.size(), 1u);
    const Version& version = read.entry.versions[0];
    expect_version(version, 61, false, "\x08\x42\x10\x43\x1a\x06source", "e", "");
    EXPECT_EQ(version.rank, 65u);
    const auto value = read_drain(version.value);
    ASSERT_TRUE(value.has_value());
    EXPECT_EQ(value->revision, 66u);
    EXPECT_EQ(value->boot_ms, 67);
    EXPECT_EQ(value->source, "source");
    ASSERT_EQ(read.entry.context.size(), 1u);
    expect_known(read.entry.context[0], 61, 62, 63);
}

TEST(GoldenStateMessages, EveryKind) {
    const char* names[] = {"push", "give", "got", "ranges", "want", "fetch", "page"};
    ASSERT_EQ(std::size(names), kKindCount);
    for (std::uint32_t kind = 0; kind < kKindCount; ++kind) {
        SCOPED_TRACE(names[kind]);
        const Message now = message_of(static_cast<Message::Kind>(kind));
        const std::string bytes =
            golden::kept(path_of(std::string("message-") + names[kind] + ".bin"), bytes_of(now));
        EXPECT_EQ(bytes_of(now), bytes);
        const Message read = read_message(bytes);
        EXPECT_EQ(bytes_of(read), bytes);
        EXPECT_EQ(static_cast<std::uint32_t>(read.kind), kind);
        EXPECT_EQ(read.sent_at, 101u);
        EXPECT_EQ(read.horizon, 102u);
        EXPECT_EQ(read.seq, 103u);
        ASSERT_EQ(read.entries.size(), 2u);
        expect_contested(read.entries[0]);
        expect_plain(read.entries[1]);
        ASSERT_EQ(read.ranges.size(), 2u);
        EXPECT_EQ(read.ranges[0].level, 4u);
        EXPECT_EQ(read.ranges[0].prefix, 0xabcd000000000000u);
        EXPECT_EQ(read.ranges[0].sum, 104u);
        EXPECT_EQ(read.ranges[0].count, 105u);
        EXPECT_TRUE(read.ranges[0].has_summaries);
        ASSERT_EQ(read.ranges[0].child_sums.size(), 16u);
        for (std::size_t part = 0; part < 16; ++part) EXPECT_EQ(read.ranges[0].child_sums[part], part + 1);
        EXPECT_EQ(read.ranges[1].level, 5u);
        EXPECT_EQ(read.ranges[1].prefix, 0xfedcb00000000000u);
        EXPECT_EQ(read.ranges[1].sum, 106u);
        EXPECT_EQ(read.ranges[1].count, 107u);
        EXPECT_TRUE(read.ranges[1].has_summaries);
        EXPECT_TRUE(read.ranges[1].child_sums.empty());
        ASSERT_EQ(read.summaries.size(), 2u);
        EXPECT_EQ(read.summaries[0].position, 108u);
        EXPECT_EQ(read.summaries[0].hash, 109u);
        EXPECT_EQ(read.summaries[0].timestamp, 110u);
        EXPECT_EQ(read.summaries[1].position, 111u);
        EXPECT_EQ(read.summaries[1].hash, 112u);
        EXPECT_EQ(read.summaries[1].timestamp, 113u);
        EXPECT_EQ(read.requested, (std::vector<std::uint64_t>{114, 0xfedcba9876543210}));
        EXPECT_EQ(read.from_position, 115u);
        EXPECT_EQ(read.next_position, 116u);
        EXPECT_TRUE(read.is_last);
        EXPECT_TRUE(read.busy);
    }
}

TEST(GoldenStateMessages, EndAndBusyFlags) {
    Message end, busy;
    end.kind = busy.kind = Message::Kind::Page;
    end.is_last = true;
    busy.busy = true;
    const std::string ends = golden::kept(path_of("message-flag-end.bin"), bytes_of(end));
    const std::string is_busy = golden::kept(path_of("message-flag-busy.bin"), bytes_of(busy));
    EXPECT_EQ(bytes_of(end), ends);
    EXPECT_EQ(bytes_of(busy), is_busy);
    EXPECT_TRUE(read_message(ends).is_last);
    EXPECT_FALSE(read_message(ends).busy);
    EXPECT_FALSE(read_message(is_busy).is_last);
    EXPECT_TRUE(read_message(is_busy).busy);
}

NamedEntry read_entry(const std::string& file, const NamedEntry& now) {
    const std::string bytes = golden::kept(path_of(file), bytes_of(now));
    EXPECT_EQ(bytes_of(now), bytes);
    const NamedEntry read = read_named_entry(bytes);
    EXPECT_EQ(bytes_of(read), bytes);
    return read;
}

TEST(GoldenStateEntries, EveryRuleAndTable) {
    expect_contested(read_entry("entry-contested.bin", contested()));
    expect_plain(read_entry("entry-override.bin", plain()));
    expect_verdict(read_entry("entry-verdict.bin", verdict()));
    expect_drain(read_entry("entry-drain.bin", drain()));
}

TEST(GoldenStateEntries, ValuesAsOperatorsWriteThem) {
    const auto read = [](const char* file, const char* table, const char* words, std::uint64_t rank) {
        SCOPED_TRACE(file);
        std::string error;
        const auto now = read_value(table, words, error);
        ASSERT_TRUE(now.has_value()) << error;
        const std::string bytes = golden::kept(path_of(file), now->bytes);
        EXPECT_EQ(now->bytes, bytes);
        EXPECT_EQ(now->rank, rank);
        EXPECT_EQ(text_of(table, bytes), words);
    };
    read("value-exclude.bin", "overrides", "exclude", 101);
    read("value-weight.bin", "overrides", "weight=40", 60);
    read("value-setting.bin", "settings", "a=1", 0);
    read("value-fence.bin", "fences", "epoch=7 holder-a", 7);
}

TEST(GoldenStateEntries, TableNamesAndRules) {
    const std::vector<std::pair<std::string, int>> kept{
        {"overrides", 1}, {"verdicts", 0}, {"drains", 0}, {"settings", 0}, {"fences", 2}};
    ASSERT_EQ(kTables.size(), kept.size());
    for (const auto& [name, rule] : kept) {
        const Table* table = find_table(name);
        ASSERT_NE(table, nullptr) << name;
        EXPECT_EQ(static_cast<int>(table->rule), rule) << name;
    }
}

TEST(GoldenStateEntries, HashesAndPositions) {
    // Two copies of different builds compare these.
    const std::string now = std::to_string(hash_of(contested().entry)) + " " +
                            std::to_string(position_of(contested().name)) + "\n" +
                            std::to_string(hash_of(plain().entry)) + " " +
                            std::to_string(position_of(plain().name)) + "\n";
    EXPECT_EQ(golden::kept(path_of("hashes-and-places.txt"), now), now);
}

// ---- the file, through the helper that keeps it

/// Sends it all and ends; gives what the helper said, by message.
std::vector<shelf::FromShelf> run_helper(const std::string& directory, const std::string& frames) {
    int ends[2];
    if (::socketpair(AF_UNIX, SOCK_STREAM, 0, ends) != 0) throw std::runtime_error("no socket");
    SnapshotWriterOptions options;
    options.directory = directory;
    options.descriptor = ends[1];
    int result = -1;
    std::thread helper([&] { result = run_snapshot_writer(options); });
    EXPECT_EQ(::send(ends[0], frames.data(), frames.size(), 0), static_cast<ssize_t>(frames.size()));
    ::shutdown(ends[0], SHUT_WR);
    helper.join();
    ::close(ends[1]);
    EXPECT_EQ(result, kSnapshotWriterDone);
    framing::FrameReader reader;
    char bytes[4096];
    std::vector<shelf::FromShelf> said;
    for (ssize_t size = 0; (size = ::recv(ends[0], bytes, sizeof bytes, 0)) > 0;) {
        reader.feed({bytes, static_cast<std::size_t>(size)});
        while (const auto message = reader.next())
            said.push_back(framing::decode_message<shelf::FromShelf>(*message));
    }
    ::close(ends[0]);
    return said;
}

shelf::ToShelf opening() {
    shelf::ToShelf out;
    out.mutable_open()->set_fleet("fleet-a");
    out.mutable_open()->set_oldest_ms(1);
    return out;
}
shelf::ToShelf keeping() {
    shelf::ToShelf out;
    shelf::Keep& request = *out.mutable_keep();
    request.set_seq(201);
    request.set_horizon(202);
    for (const NamedEntry& entry : {contested(), plain(), verdict(), drain()})
        request.add_entries(bytes_of(entry));
    shelf::Gone& gone = *request.add_gone();
    gone.set_table("drains");
    gone.set_key("10.4.0.9:80");
    request.set_anew(true);
    return out;
}

TEST(GoldenStateFile, MessagesToTheHelper) {
    const std::string open = golden::kept(path_of("helper-open.bin"), framing::encode_message(opening()));
    EXPECT_EQ(framing::encode_message(opening()), open);
    const std::string keep = golden::kept(path_of("helper-keep.bin"), framing::encode_message(keeping()));
    EXPECT_EQ(framing::encode_message(keeping()), keep);
    // The helper of today takes these very bytes, and says what it is to.
    golden::Folder folder;
    const auto said = run_helper(folder.at, open + keep);
    ASSERT_EQ(said.size(), 2u);
    ASSERT_TRUE(said[0].has_loaded());
    EXPECT_TRUE(said[0].loaded().end());
    EXPECT_EQ(said[0].loaded().entries_size(), 0);
    ASSERT_TRUE(said[1].has_kept());
    EXPECT_EQ(said[1].kept().seq(), 201u);
}

TEST(GoldenStateFile, MessagesFromTheHelper) {
    const auto read = [](const std::string& file, const shelf::FromShelf& now) {
        const std::string bytes = golden::kept(path_of(file), framing::encode_message(now));
        EXPECT_EQ(framing::encode_message(now), bytes);
        framing::FrameReader reader;
        reader.feed(bytes);
        const auto inside = reader.next();
        if (!inside) throw std::runtime_error("not whole");
        auto message = framing::decode_message<shelf::FromShelf>(*inside);
        EXPECT_EQ(framing::encode_message(message), bytes);
        return message;
    };
    shelf::FromShelf out;
    out.mutable_loaded()->add_entries(bytes_of(plain()));
    out.mutable_loaded()->set_horizon(301);
    out.mutable_loaded()->set_end(true);
    out.mutable_loaded()->set_aside("set aside");
    out.mutable_loaded()->set_bad(302);
    const auto loaded = read("helper-loaded.bin", out).loaded();
    ASSERT_EQ(loaded.entries_size(), 1);
    expect_plain(read_named_entry(loaded.entries(0)));
    EXPECT_EQ(loaded.horizon(), 301u);
    EXPECT_TRUE(loaded.end());
    EXPECT_EQ(loaded.aside(), "set aside");
    EXPECT_EQ(loaded.bad(), 302u);
    out.mutable_kept()->set_seq(303);
    EXPECT_EQ(read("helper-kept.bin", out).kept().seq(), 303u);
    out.mutable_trouble()->set_what("no room");
    EXPECT_EQ(read("helper-trouble.bin", out).trouble().what(), "no room");
}

TEST(GoldenStateFile, EntriesReadBackUnchanged) {
    if (golden::writes()) {
        golden::Folder made;
        run_helper(made.at, framing::encode_message(opening()) + framing::encode_message(keeping()));
        golden::put_directory(made.at, path_of("state"));
    }
    golden::Folder copy(path_of("state"));
    // Read twice: what the first start does to the file, the second finds.
    for (int start = 0; start < 2; ++start) {
        const auto said = run_helper(copy.at, framing::encode_message(opening()));
        ASSERT_EQ(said.size(), 1u);
        ASSERT_TRUE(said[0].has_loaded());
        const auto& loaded = said[0].loaded();
        EXPECT_TRUE(loaded.end());
        EXPECT_EQ(loaded.aside(), "");
        EXPECT_EQ(loaded.bad(), 0u);
        EXPECT_EQ(loaded.horizon(), 202u);
        ASSERT_EQ(loaded.entries_size(), 4);
        std::vector<std::string> entries(loaded.entries().begin(), loaded.entries().end());
        for (const char* file :
             {"entry-contested.bin", "entry-override.bin", "entry-verdict.bin", "entry-drain.bin"})
            EXPECT_EQ(std::count(entries.begin(), entries.end(), golden::kept(path_of(file))), 1) << file;
        for (const std::string& bytes : entries) {
            const NamedEntry read = read_named_entry(bytes);
            if (read.name.table == "settings") expect_contested(read);
            if (read.name.table == "overrides") expect_plain(read);
            if (read.name.table == "verdicts") expect_verdict(read);
            if (read.name.table == "drains") expect_drain(read);
        }
    }
}

}  // namespace
}  // namespace martenford::replica
