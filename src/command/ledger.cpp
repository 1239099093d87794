// martenford-ledger: the journal's writer, and what people ask of the journal. `martenford ledger ...` starts
// it.
#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>
#include <zstd.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <ctime>
#include <fstream>
#include <iostream>
#include <limits>
#include <memory>
#include <set>
#include <string>

#include "core/wall_clock.h"
#include "ledger/archive.h"
#include "ledger/book.h"
#include "ledger/reconcile.h"
#include "ledger/story.pb.h"
#include "ledger/writer.h"
#include "replica/snapshot_writer.h"

namespace martenford::ledger {
namespace {

constexpr int kFound = 0, kFailed = 1, kBadUse = 2,
              kWrong = 4;  // exit codes; kWrong: verify or reconcile found something
constexpr std::int64_t kAlways = std::numeric_limits<std::int64_t>::max();

/// RFC 3339 in UTC, to the millisecond.
std::string show_time(std::int64_t ms) {
    if (ms == 0) return "-";
    const std::time_t seconds = ms / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    return fmt::format("{}.{:03}Z", text, ms % 1000);
}

/// "2026-12-01T10:00:00Z", "2026-12-01", Unix seconds, or "-5m" and the like before now.
std::int64_t read_time(const std::string& text) {
    std::tm parts{};
    for (const char* form : {"%Y-%m-%dT%H:%M:%SZ", "%Y-%m-%d"}) {
        parts = {};
        const char* end = strptime(text.c_str(), form, &parts);
        if (end && !*end) return static_cast<std::int64_t>(timegm(&parts)) * 1000;
    }
    try {
        std::size_t used = 0;
        const std::int64_t number = std::stoll(text, &used);
        const std::string unit = text.substr(used);
        if (unit.empty() && number > 0) return number * 1000;
        if (number < 0) {
            for (const auto& [name, ms] :
                 {std::pair{"s", 1000}, {"m", 60'000}, {"h", 3'600'000}, {"d", 86'400'000}}) {
                if (unit == name) return wall_ms() + number * ms;
            }
        }
    } catch (const std::exception&) {
    }
    throw CLI::ValidationError(
        text, "is no time: 2026-12-01T10:00:00Z, 2026-12-01, Unix seconds, or -5m, -2h, -3d");
}

/// Where stories go: to read, or for another program.
class Output {
  public:
    virtual ~Output() = default;
    virtual void put(const story::Story& story) = 0;
    virtual void end() {}
};

class Readable : public Output {
  public:
    void put(const story::Story& s) override {
        fmt::print("{}  {}{}  taken {}  at {}{}\n", s.id(), s.klass(),
                   s.key().empty() ? "" : "  key " + s.key(), show_time(s.taken_ms()), s.sidecar(),
                   s.under_way() ? "  (under way)" : "");
        for (const auto& a : s.attempts()) {
            fmt::print("  attempt {} to {} at {}: intent {}, written {}, {} {}\n", a.number(),
                       a.uid().empty() ? "?" : a.uid(), a.address().empty() ? "?" : a.address(),
                       show_time(a.intent_ms()), show_time(a.written_ms()), a.ending(),
                       show_time(a.ended_ms()));
        }
        fmt::print("  answer: {} {}\n  {}: {}\n", s.answer(), show_time(s.answered_ms()), s.effect(),
                   s.reason());
    }
};

class Json : public Output {
  public:
    void put(const story::Story& story) override {
        std::string text;
        google::protobuf::util::JsonPrintOptions options;
        options.preserve_proto_field_names = true;
        if (!google::protobuf::util::MessageToJsonString(story, &text, options).ok())
            throw std::runtime_error(story.id() + ": can't be shown as JSON");
        line(text + "\n");
    }

  protected:
    virtual void line(const std::string& text) { std::cout << text; }
};

class PackedJson : public Json {
  public:
    PackedJson() : stream_(ZSTD_createCStream(), &ZSTD_freeCStream), room_(ZSTD_CStreamOutSize(), '\0') {
        ZSTD_CCtx_setParameter(stream_.get(), ZSTD_c_checksumFlag, 1);
    }
    void end() override { run({nullptr, 0, 0}, ZSTD_e_end); }

  protected:
    void line(const std::string& text) override { run({text.data(), text.size(), 0}, ZSTD_e_continue); }

  private:
    void run(ZSTD_inBuffer in, ZSTD_EndDirective how) {
        for (;;) {
            ZSTD_outBuffer out{room_.data(), room_.size(), 0};
            const std::size_t left = ZSTD_compressStream2(stream_.get(), &out, &in, how);
            if (ZSTD_isError(left)) throw std::runtime_error(ZSTD_getErrorName(left));
            std::cout.write(room_.data(), static_cast<std::streamsize>(out.pos));
            if (how == ZSTD_e_end ? left == 0 : in.pos == in.size) return;
        }
    }
    std::unique_ptr<ZSTD_CStream, decltype(&ZSTD_freeCStream)> stream_;
    std::string room_;
};

/// RFC 4180, a line an attempt.
class Csv : public Output {
  public:
    Csv() {
        std::cout << "id,class,key,sidecar,taken,answer,answered,effect,attempt,uid,address,intent,written,"
                     "ending,ended\r\n";
    }
    void put(const story::Story& s) override {
        for (const auto& a : s.attempts()) {
            fields({s.id(), s.klass(), s.key(), s.sidecar(), show_time(s.taken_ms()), s.answer(),
                    show_time(s.answered_ms()), s.effect(), std::to_string(a.number()), a.uid(), a.address(),
                    show_time(a.intent_ms()), show_time(a.written_ms()), a.ending(),
                    show_time(a.ended_ms())});
        }
    }

  private:
    static void fields(std::initializer_list<std::string> all) {
        bool first = true;
        for (const std::string& each : all) {
            if (!std::exchange(first, false)) std::cout << ',';
            if (each.find_first_of(",\"\r\n") == std::string::npos) {
                std::cout << each;
                continue;
            }
            std::cout << '"';
            for (const char c : each) std::cout << (c == '"' ? "\"\"" : std::string(1, c));
            std::cout << '"';
        }
        std::cout << "\r\n";
    }
};

std::unique_ptr<Output> output_of(const std::string& form) {
    if (form == "json" || form == "jsonl") return std::make_unique<Json>();
    if (form == "jsonl.zst") return std::make_unique<PackedJson>();
    if (form == "csv") return std::make_unique<Csv>();
    return std::make_unique<Readable>();
}

/// What the file and the archives have, each request once: one that a crash left in both is shown from the
/// file.
class Shown {
  public:
    explicit Shown(Output& output) : output_(output) {}
    bool operator()(const story::Story& story) {
        if (!seen_.insert({story.boot(), story.serial()}).second) return true;
        output_.put(story);
        return true;
    }
    std::size_t count() const { return seen_.size(); }

  private:
    Output& output_;
    std::set<std::pair<std::uint64_t, std::uint64_t>> seen_;
};

struct Question {
    std::string directory, name, from, to, form = "text", file;
    bool key = false, under_way = false;
    std::int64_t from_ms() const { return from.empty() ? 0 : read_time(from); }
    std::int64_t to_ms() const { return to.empty() ? kAlways : read_time(to); }
};

void tell_troubles(const Archives& archives) {
    for (const std::string& trouble : archives.troubles()) fmt::print(stderr, "{}\n", trouble);
}

/// What was looked for and not found may have gone out all the same while the journal kept nothing.
void tell_gaps(Book& book, std::int64_t from_ms, std::int64_t to_ms) {
    for (const auto& gap : book.gaps(from_ms, to_ms)) {
        fmt::print(stderr, "gap: {} requests went out unjournaled from {} to {}: {}\n", gap.requests,
                   show_time(gap.from_ms), show_time(gap.to_ms), gap.reason);
    }
}

int find(const Question& q) {
    Book book(q.directory, false);
    Archives archives(q.directory);
    const auto output = output_of(q.form);
    Shown shown(*output);
    const auto from_book = [&](const Entry& entry) { return shown(story_of(entry)); };
    const auto from_archive = [&](const story::Story& story) { return shown(story); };
    if (q.name.empty()) {
        book.by_time(q.from_ms(), q.to_ms(), from_book);
        archives.by_time(q.from_ms(), q.to_ms(), from_archive);
    } else {
        q.key ? book.by_key(q.name, from_book) : book.by_id(q.name, from_book);
        archives.by_name(q.name, q.key, from_archive);
    }
    output->end();
    tell_troubles(archives);
    if (shown.count() == 0) {
        fmt::print(stderr, "nothing is known of it\n");
        tell_gaps(book, q.from_ms(), q.to_ms());
    }
    return shown.count() > 0 ? kFound : kFailed;
}

int open_ones(const Question& q) {
    Book book(q.directory, false);
    const auto output = output_of(q.form);
    book.open_ones(q.under_way, [&](const Entry& entry) {
        output->put(story_of(entry));
        return true;
    });
    output->end();
    tell_gaps(book, 0, kAlways);
    return kFound;
}

int export_all(const Question& q) {
    Book book(q.directory, false);
    Archives archives(q.directory);
    const auto output = output_of(q.form);
    Shown shown(*output);
    archives.by_time(q.from_ms(), q.to_ms(), [&](const story::Story& story) { return shown(story); });
    book.by_time(q.from_ms(), q.to_ms(), [&](const Entry& entry) { return shown(story_of(entry)); });
    output->end();
    tell_troubles(archives);
    return kFound;
}

int verify(const Question& q) {
    Book book(q.directory, false);
    auto found = book.verify();
    for (auto& each : Archives(q.directory).verify()) found.push_back(std::move(each));
    for (const std::string& each : found) fmt::print("{}\n", each);
    fmt::print("{}\n", found.empty() ? "nothing is wrong" : fmt::format("{} findings", found.size()));
    return found.empty() ? kFound : kWrong;
}

int reconcile_with(const Question& q) {
    std::ifstream file(q.file);
    if (!file) throw std::runtime_error(q.file + ": can't be read");
    Book book(q.directory, false);
    const auto r = reconcile(book, file, q.from_ms(), q.to_ms(), [](const char* what, const std::string& id) {
        fmt::print("{}: {}\n", id, what);
    });
    fmt::print(
        "agree {} (ran {}, never ran {}), possibly ran {} (did {}, did not {}), under way {}, unknown {}, "
        "contradictions {} (ran and unrecorded {}, recorded though never ran {}, twice {})\n",
        r.agree_ran + r.agree_never, r.agree_ran, r.agree_never, r.possibly_ran + r.possibly_not,
        r.possibly_ran, r.possibly_not, r.under_way, r.unknown, r.contradictions(), r.ran_unrecorded,
        r.never_but_ran, r.twice);
    return r.contradictions() == 0 ? kFound : kWrong;
}

int prune(const Question& q, int keep_days, int keep_archive_days) {
    Book book(q.directory, true);
    Archives archives(q.directory);
    constexpr std::int64_t kDay = 86'400'000;
    std::size_t moved = 0;
    while (const std::size_t step = archives.move_settled(book, wall_ms() - keep_days * kDay, 1))
        moved += step;
    const std::size_t removed = archives.prune(wall_ms() - keep_archive_days * kDay);
    fmt::print("{} requests moved to archives, {} archives removed\n", moved, removed);
    return kFound;
}

int stats(const Question& q) {
    Book book(q.directory, false);
    const auto s = book.stats();
    const auto a = Archives(q.directory).totals();
    fmt::print(
        "schema {}\nrequests {}\nattempts {}\npossibly ran {}\nunder way {}\ngaps {}\nbytes {}\nfrom {}\nto "
        "{}\n"
        "archives {}\narchived requests {}\narchived bytes {} of {}\n",
        book.version(), s.requests, s.attempts, s.possibly, s.under_way, s.gaps, s.bytes,
        show_time(s.first_ms), show_time(s.last_ms), a.archives, a.requests, a.bytes, a.raw_bytes);
    for (const BootInfo& boot : book.boots()) {
        fmt::print("start {} of {} at {}{}\n", boot.number, boot.name, show_time(boot.started_ms),
                   boot.concluded_ms ? ", concluded " + show_time(boot.concluded_ms) : "");
    }
    return kFound;
}

int run(int argc, char** argv) {
    CLI::App app{"The journal of requests that must not run twice: what was sent where, and what came back."};
    app.name("martenford ledger");
    app.require_subcommand(1);
    Question q;
    WriterOptions writer;
    std::int64_t delay_us = 1000, keep_ms = 0, keep_archives_ms = 0;
    int keep_days = 30, keep_archive_days = 400;
    int result = kFound;

    const auto command = [&](const char* name, const char* help) {
        auto* sub = app.add_subcommand(name, help);
        sub->add_option("--directory", q.directory, "of the journal")->required()->type_name("DIR");
        return sub;
    };
    const auto with_times = [&](CLI::App* sub) {
        sub->add_option("--from", q.from, "taken at or after this")->type_name("TIME");
        sub->add_option("--to", q.to, "and before this")->type_name("TIME");
    };
    const auto with_form = [&](CLI::App* sub, std::set<std::string> forms) {
        sub->add_option("--form", q.form, "of the output")->check(CLI::IsMember(std::move(forms)));
    };
    auto* find_command = command("find", "a request by id or key, or all of a time");
    find_command->add_option("name", q.name, "the request's id");
    find_command->add_flag("--key", q.key, "the name is an idempotency key");
    with_times(find_command);
    with_form(find_command, {"text", "json"});
    find_command->callback([&] {
        if (q.name.empty() && q.from.empty()) throw CLI::RequiredError("a name or --from");
        result = find(q);
    });
    auto* open_command = command("open", "what possibly ran, and nobody knows");
    open_command->add_flag("--under-way", q.under_way, "also what a running sidecar has open now");
    with_form(open_command, {"text", "json", "csv"});
    open_command->callback([&] { result = open_ones(q); });
    command("verify", "what is wrong with the file and the archives")->callback([&] { result = verify(q); });
    auto* export_command = command("export", "all of it, or of a time");
    with_times(export_command);
    with_form(export_command, {"csv", "jsonl", "jsonl.zst"});
    export_command->callback([&] {
        if (q.form == "text") q.form = "jsonl";
        result = export_all(q);
    });
    auto* reconcile_command = command("reconcile", "held against the ledger tier's own record");
    reconcile_command->add_option("file", q.file, "CSV with a column 'id', a line an effect")->required();
    with_times(reconcile_command);
    reconcile_command->callback([&] { result = reconcile_with(q); });
    auto* prune_command =
        command("prune", "moves old settled requests to archives, and removes old archives");
    prune_command->add_option("--keep-days", keep_days, "in the file")->check(CLI::Range(0, 36'500));
    prune_command->add_option("--keep-archive-days", keep_archive_days, "archives")
        ->check(CLI::Range(0, 36'500));
    prune_command->callback([&] { result = prune(q, keep_days, keep_archive_days); });
    command("stats", "how much it holds, and which starts")->callback([&] { result = stats(q); });
    replica::SnapshotWriterOptions shelf;
    auto* shelf_command = command("shelf", "started by the sidecar itself, for the shared state");
    shelf_command->group("");
    shelf_command->callback([&] {
        shelf.directory = q.directory;
        result = replica::run_snapshot_writer(shelf);
    });
    auto* writer_command = command("writer", "started by the sidecar itself");
    writer_command->group("");
    writer_command->add_option("--descriptor", writer.descriptor);
    writer_command->add_flag("--heir", writer.heir);
    writer_command->add_option("--batch-records", writer.batch.most_records);
    writer_command->add_option("--batch-delay-us", delay_us);
    writer_command->add_option("--most-bytes", writer.most_bytes);
    writer_command->add_option("--keep-ms", keep_ms);
    writer_command->add_option("--keep-archives-ms", keep_archives_ms);
    writer_command->callback([&] {
        writer.directory = q.directory;
        writer.batch.delay = std::chrono::microseconds(delay_us);
        writer.keep = std::chrono::milliseconds(keep_ms);
        writer.keep_archives = std::chrono::milliseconds(keep_archives_ms);
        result = run_writer(writer);
    });
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? kFound : kBadUse;
    }
    return result;
}

}  // namespace
}  // namespace martenford::ledger

int main(int argc, char** argv) {
    std::ios::sync_with_stdio(false);
    try {
        return martenford::ledger::run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "martenford ledger: " << error.what() << "\n";
        return 1;
    }
}
