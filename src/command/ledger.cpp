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
#include "ledger/journal_database.h"
#include "ledger/reconcile.h"
#include "ledger/story.pb.h"
#include "ledger/writer.h"
#include "replica/snapshot_writer.h"

namespace martenford::ledger {
namespace {

constexpr int kExitOk = 0, kExitFailure = 1, kExitUsage = 2,
              kExitFindings = 4;  // exit codes; kExitFindings: verify or reconcile found something
constexpr std::int64_t kEndOfTime = std::numeric_limits<std::int64_t>::max();

/// RFC 3339 in UTC, to the millisecond.
std::string format_time(std::int64_t ms) {
    if (ms == 0) return "-";
    const std::time_t seconds = ms / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    return fmt::format("{}.{:03}Z", text, ms % 1000);
}

/// "2026-12-01T10:00:00Z", "2026-12-01", Unix seconds, or "-5m" and the like before now.
std::int64_t parse_time(const std::string& text) {
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
    virtual void write(const story::Story& story) = 0;
    virtual void end() {}
};

class TextOutput : public Output {
  public:
    void write(const story::Story& s) override {
        fmt::print("{}  {}{}  taken {}  at {}{}\n", s.id(), s.klass(),
                   s.key().empty() ? "" : "  key " + s.key(), format_time(s.taken_ms()), s.sidecar(),
                   s.under_way() ? "  (under way)" : "");
        for (const auto& a : s.attempts()) {
            fmt::print("  attempt {} to {} at {}: intent {}, written {}, {} {}\n", a.number(),
                       a.uid().empty() ? "?" : a.uid(), a.address().empty() ? "?" : a.address(),
                       format_time(a.intent_ms()), format_time(a.written_ms()), a.ending(),
                       format_time(a.ended_ms()));
        }
        fmt::print("  answer: {} {}\n  {}: {}\n", s.answer(), format_time(s.answered_ms()), s.effect(),
                   s.reason());
    }
};

class JsonOutput : public Output {
  public:
    void write(const story::Story& story) override {
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

class CompressedJsonOutput : public JsonOutput {
  public:
    CompressedJsonOutput()
        : stream_(ZSTD_createCStream(), &ZSTD_freeCStream), buffer_(ZSTD_CStreamOutSize(), '\0') {
        ZSTD_CCtx_setParameter(stream_.get(), ZSTD_c_checksumFlag, 1);
    }
    void end() override { run({nullptr, 0, 0}, ZSTD_e_end); }

  protected:
    void line(const std::string& text) override { run({text.data(), text.size(), 0}, ZSTD_e_continue); }

  private:
    void run(ZSTD_inBuffer in, ZSTD_EndDirective directive) {
        for (;;) {
            ZSTD_outBuffer out{buffer_.data(), buffer_.size(), 0};
            const std::size_t left = ZSTD_compressStream2(stream_.get(), &out, &in, directive);
            if (ZSTD_isError(left)) throw std::runtime_error(ZSTD_getErrorName(left));
            std::cout.write(buffer_.data(), static_cast<std::streamsize>(out.pos));
            if (directive == ZSTD_e_end ? left == 0 : in.pos == in.size) return;
        }
    }
    std::unique_ptr<ZSTD_CStream, decltype(&ZSTD_freeCStream)> stream_;
    std::string buffer_;
};

/// RFC 4180, a line an attempt.
class CsvOutput : public Output {
  public:
    CsvOutput() {
        std::cout << "id,class,key,sidecar,taken,answer,answered,effect,attempt,uid,address,intent,written,"
                     "ending,ended\r\n";
    }
    void write(const story::Story& s) override {
        for (const auto& a : s.attempts()) {
            fields({s.id(), s.klass(), s.key(), s.sidecar(), format_time(s.taken_ms()), s.answer(),
                    format_time(s.answered_ms()), s.effect(), std::to_string(a.number()), a.uid(),
                    a.address(), format_time(a.intent_ms()), format_time(a.written_ms()), a.ending(),
                    format_time(a.ended_ms())});
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
    if (form == "json" || form == "jsonl") return std::make_unique<JsonOutput>();
    if (form == "jsonl.zst") return std::make_unique<CompressedJsonOutput>();
    if (form == "csv") return std::make_unique<CsvOutput>();
    return std::make_unique<TextOutput>();
}

/// What the file and the archives have, each request once: one that a crash left in both is shown from the
/// file.
class UniqueOutput {
  public:
    explicit UniqueOutput(Output& output) : output_(output) {}
    bool operator()(const story::Story& story) {
        if (!seen_.insert({story.boot(), story.serial()}).second) return true;
        output_.write(story);
        return true;
    }
    std::size_t count() const { return seen_.size(); }

  private:
    Output& output_;
    std::set<std::pair<std::uint64_t, std::uint64_t>> seen_;
};

struct Query {
    std::string directory, name, from, to, form = "text", file;
    bool key = false, under_way = false;
    std::int64_t from_ms() const { return from.empty() ? 0 : parse_time(from); }
    std::int64_t to_ms() const { return to.empty() ? kEndOfTime : parse_time(to); }
};

void print_errors(const Archives& archives) {
    for (const std::string& error : archives.errors()) fmt::print(stderr, "{}\n", error);
}

/// What was looked for and not found may have gone out all the same while the journal kept nothing.
void print_gaps(JournalDatabase& database, std::int64_t from_ms, std::int64_t to_ms) {
    for (const auto& gap : database.gaps(from_ms, to_ms)) {
        fmt::print(stderr, "gap: {} requests went out unjournaled from {} to {}: {}\n", gap.requests,
                   format_time(gap.from_ms), format_time(gap.to_ms), gap.reason);
    }
}

int find(const Query& query) {
    JournalDatabase database(query.directory, false);
    Archives archives(query.directory);
    const auto output = output_of(query.form);
    UniqueOutput unique_output(*output);
    const auto from_database = [&](const Entry& entry) { return unique_output(to_proto(entry)); };
    const auto from_archive = [&](const story::Story& story) { return unique_output(story); };
    if (query.name.empty()) {
        database.by_time(query.from_ms(), query.to_ms(), from_database);
        archives.by_time(query.from_ms(), query.to_ms(), from_archive);
    } else {
        query.key ? database.by_key(query.name, from_database) : database.by_id(query.name, from_database);
        archives.by_id_or_key(query.name, query.key, from_archive);
    }
    output->end();
    print_errors(archives);
    if (unique_output.count() == 0) {
        fmt::print(stderr, "nothing is known of it\n");
        print_gaps(database, query.from_ms(), query.to_ms());
    }
    return unique_output.count() > 0 ? kExitOk : kExitFailure;
}

int show_unresolved(const Query& query) {
    JournalDatabase database(query.directory, false);
    const auto output = output_of(query.form);
    database.unresolved(query.under_way, [&](const Entry& entry) {
        output->write(to_proto(entry));
        return true;
    });
    output->end();
    print_gaps(database, 0, kEndOfTime);
    return kExitOk;
}

int export_requests(const Query& query) {
    JournalDatabase database(query.directory, false);
    Archives archives(query.directory);
    const auto output = output_of(query.form);
    UniqueOutput unique_output(*output);
    archives.by_time(query.from_ms(), query.to_ms(),
                     [&](const story::Story& story) { return unique_output(story); });
    database.by_time(query.from_ms(), query.to_ms(),
                     [&](const Entry& entry) { return unique_output(to_proto(entry)); });
    output->end();
    print_errors(archives);
    return kExitOk;
}

int verify(const Query& query) {
    JournalDatabase database(query.directory, false);
    auto found = database.verify();
    for (auto& each : Archives(query.directory).verify()) found.push_back(std::move(each));
    for (const std::string& each : found) fmt::print("{}\n", each);
    fmt::print("{}\n", found.empty() ? "nothing is wrong" : fmt::format("{} findings", found.size()));
    return found.empty() ? kExitOk : kExitFindings;
}

int reconcile_file(const Query& query) {
    std::ifstream file(query.file);
    if (!file) throw std::runtime_error(query.file + ": can't be read");
    JournalDatabase database(query.directory, false);
    const auto r =
        reconcile(database, file, query.from_ms(), query.to_ms(),
                  [](const char* what, const std::string& id) { fmt::print("{}: {}\n", id, what); });
    fmt::print(
        "agree {} (ran {}, never ran {}), possibly ran {} (did {}, did not {}), under way {}, unknown {}, "
        "contradictions {} (ran and unrecorded {}, recorded though never ran {}, twice {})\n",
        r.agree_ran + r.agree_never_ran, r.agree_ran, r.agree_never_ran,
        r.possibly_ran + r.possibly_did_not_run, r.possibly_ran, r.possibly_did_not_run, r.under_way,
        r.not_in_journal, r.contradictions(), r.ran_unrecorded, r.never_but_ran, r.duplicates);
    return r.contradictions() == 0 ? kExitOk : kExitFindings;
}

int prune(const Query& query, int keep_days, int keep_archive_days) {
    JournalDatabase database(query.directory, true);
    Archives archives(query.directory);
    constexpr std::int64_t kDay = 86'400'000;
    std::size_t moved = 0;
    while (const std::size_t step = archives.move_settled(database, wall_ms() - keep_days * kDay, 1))
        moved += step;
    const std::size_t removed = archives.prune(wall_ms() - keep_archive_days * kDay);
    fmt::print("{} requests moved to archives, {} archives removed\n", moved, removed);
    return kExitOk;
}

int stats(const Query& query) {
    JournalDatabase database(query.directory, false);
    const auto s = database.stats();
    const auto a = Archives(query.directory).totals();
    fmt::print(
        "schema {}\nrequests {}\nattempts {}\npossibly ran {}\nunder way {}\ngaps {}\nbytes {}\nfrom {}\nto "
        "{}\n"
        "archives {}\narchived requests {}\narchived bytes {} of {}\n",
        database.version(), s.requests, s.attempts, s.possibly_ran, s.under_way, s.gaps, s.bytes,
        format_time(s.first_ms), format_time(s.last_ms), a.archives, a.requests, a.bytes, a.raw_bytes);
    for (const BootInfo& boot : database.boots()) {
        fmt::print("start {} of {} at {}{}\n", boot.number, boot.name, format_time(boot.started_ms),
                   boot.concluded_ms ? ", concluded " + format_time(boot.concluded_ms) : "");
    }
    return kExitOk;
}

int run(int argc, char** argv) {
    CLI::App app{"The journal of requests that must not run twice: what was sent where, and what came back."};
    app.name("martenford ledger");
    app.require_subcommand(1);
    Query query;
    WriterOptions writer;
    std::int64_t delay_us = 1000, keep_ms = 0, keep_archives_ms = 0;
    int keep_days = 30, keep_archive_days = 400;
    int result = kExitOk;

    const auto command = [&](const char* name, const char* help) {
        auto* sub = app.add_subcommand(name, help);
        sub->add_option("--directory", query.directory, "of the journal")->required()->type_name("DIR");
        return sub;
    };
    const auto add_time_options = [&](CLI::App* sub) {
        sub->add_option("--from", query.from, "taken at or after this")->type_name("TIME");
        sub->add_option("--to", query.to, "and before this")->type_name("TIME");
    };
    const auto add_form_option = [&](CLI::App* sub, std::set<std::string> forms) {
        sub->add_option("--form", query.form, "of the output")->check(CLI::IsMember(std::move(forms)));
    };
    auto* find_command = command("find", "a request by id or key, or all of a time");
    find_command->add_option("name", query.name, "the request's id");
    find_command->add_flag("--key", query.key, "the name is an idempotency key");
    add_time_options(find_command);
    add_form_option(find_command, {"text", "json"});
    find_command->callback([&] {
        if (query.name.empty() && query.from.empty()) throw CLI::RequiredError("a name or --from");
        result = find(query);
    });
    auto* open_command = command("open", "what possibly ran, and nobody knows");
    open_command->add_flag("--under-way", query.under_way, "also what a running sidecar has open now");
    add_form_option(open_command, {"text", "json", "csv"});
    open_command->callback([&] { result = show_unresolved(query); });
    command("verify", "what is wrong with the file and the archives")->callback([&] {
        result = verify(query);
    });
    auto* export_command = command("export", "all of it, or of a time");
    add_time_options(export_command);
    add_form_option(export_command, {"csv", "jsonl", "jsonl.zst"});
    export_command->callback([&] {
        if (query.form == "text") query.form = "jsonl";
        result = export_requests(query);
    });
    auto* reconcile_command = command("reconcile", "held against the ledger tier's own record");
    reconcile_command->add_option("file", query.file, "CSV with a column 'id', a line an effect")->required();
    add_time_options(reconcile_command);
    reconcile_command->callback([&] { result = reconcile_file(query); });
    auto* prune_command =
        command("prune", "moves old settled requests to archives, and removes old archives");
    prune_command->add_option("--keep-days", keep_days, "in the file")->check(CLI::Range(0, 36'500));
    prune_command->add_option("--keep-archive-days", keep_archive_days, "archives")
        ->check(CLI::Range(0, 36'500));
    prune_command->callback([&] { result = prune(query, keep_days, keep_archive_days); });
    command("stats", "how much it holds, and which starts")->callback([&] { result = stats(query); });
    replica::SnapshotWriterOptions shelf;
    auto* shelf_command = command("shelf", "started by the sidecar itself, for the shared state");
    shelf_command->group("");
    shelf_command->callback([&] {
        shelf.directory = query.directory;
        result = replica::run_snapshot_writer(shelf);
    });
    auto* writer_command = command("writer", "started by the sidecar itself");
    writer_command->group("");
    writer_command->add_option("--descriptor", writer.descriptor);
    writer_command->add_flag("--heir", writer.successor);
    writer_command->add_option("--batch-records", writer.batch.max_records);
    writer_command->add_option("--batch-delay-us", delay_us);
    writer_command->add_option("--most-bytes", writer.max_bytes);
    writer_command->add_option("--keep-ms", keep_ms);
    writer_command->add_option("--keep-archives-ms", keep_archives_ms);
    writer_command->callback([&] {
        writer.directory = query.directory;
        writer.batch.delay = std::chrono::microseconds(delay_us);
        writer.journal_retention = std::chrono::milliseconds(keep_ms);
        writer.archive_retention = std::chrono::milliseconds(keep_archives_ms);
        result = run_writer(writer);
    });
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? kExitOk : kExitUsage;
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
