#include "replica/tables.h"

#include <fmt/format.h>

#include <charconv>

#include "replica/values.pb.h"

namespace martenford::replica {

namespace {

constexpr std::uint32_t kMaxPercent = 100;

std::optional<std::uint64_t> number_of(std::string_view text) {
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return number;
}

template <class Message>
std::optional<Message> parsed(const std::string& bytes) {
    Message message;
    if (!message.ParseFromString(bytes)) return std::nullopt;
    return message;
}

}  // namespace

const Table* find_table(std::string_view name) {
    for (const Table& table : kTables) {
        if (name == table.name) return &table;
    }
    return nullptr;
}

std::optional<Value> read_value(std::string_view table, std::string_view text, std::string& error) {
    if (table == "overrides") {
        values::Override out;
        if (text == "exclude") {
            out.set_what(static_cast<std::uint32_t>(Override::Kind::Exclude));
        } else if (text.starts_with("weight=")) {
            const auto percent = number_of(text.substr(7));
            if (!percent || *percent > kMaxPercent) {
                error = "weight is a percentage, 0 to 100";
                return std::nullopt;
            }
            out.set_what(static_cast<std::uint32_t>(Override::Kind::Weight));
            out.set_percent(static_cast<std::uint32_t>(*percent));
        } else if (text != "include") {
            error = "exclude, include or weight=PERCENT";
            return std::nullopt;
        }
        // The less it lets through, the safer.
        const std::uint64_t rank = text == "exclude"              ? kMaxPercent + 1
                                   : out.what() == 1 /* weight */ ? kMaxPercent - out.percent()
                                                                  : 0;
        return Value{out.SerializeAsString(), rank};
    }
    if (table == "settings") {
        values::Setting out;
        out.set_document(std::string(text));
        return Value{out.SerializeAsString(), 0};
    }
    if (table == "fences") {
        const auto space = text.find(' ');
        const auto epoch = number_of(text.starts_with("epoch=") ? text.substr(6, space - 6) : "");
        if (!epoch || *epoch == 0) {
            error = "epoch=NUMBER HOLDER";
            return std::nullopt;
        }
        values::Fence out;
        out.set_epoch(*epoch);
        if (space != text.npos) out.set_holder(std::string(text.substr(space + 1)));
        return Value{out.SerializeAsString(), *epoch};
    }
    error = table == "verdicts" || table == "drains" ? "this table is written by sidecars alone"
                                                     : fmt::format("no table is named '{}'", table);
    return std::nullopt;
}

std::string text_of(std::string_view table, const std::string& bytes) {
    if (table == "overrides") {
        if (const auto value = read_override(bytes)) {
            if (value->kind == Override::Kind::Weight) return fmt::format("weight={}", value->percent);
            return value->kind == Override::Kind::Exclude ? "exclude" : "include";
        }
    } else if (table == "drains") {
        if (const auto value = read_drain(bytes)) return fmt::format("drains revision={}", value->revision);
    } else if (table == "verdicts") {
        if (const auto value = read_verdict(bytes))
            return fmt::format("{} {}/{}", value->kind == Verdict::Kind::Failing ? "failing" : "unreachable",
                               value->failed, value->calls);
    } else if (table == "settings") {
        if (const auto value = parsed<values::Setting>(bytes)) return value->document();
    } else if (table == "fences") {
        if (const auto value = parsed<values::Fence>(bytes))
            return fmt::format("epoch={}{}{}", value->epoch(), value->holder().empty() ? "" : " ",
                               value->holder());
    }
    return fmt::format("({} bytes)", bytes.size());
}

std::optional<Override> read_override(const std::string& bytes) {
    const auto value = parsed<values::Override>(bytes);
    if (!value || value->what() > static_cast<std::uint32_t>(Override::Kind::Exclude) ||
        value->percent() > kMaxPercent)
        return std::nullopt;
    return Override{static_cast<Override::Kind>(value->what()), value->percent()};
}

std::string bytes_of(const Drain& drain) {
    values::Drain out;
    out.set_revision(drain.revision);
    out.set_boot_ms(drain.boot_ms);
    out.set_source(drain.source);
    return out.SerializeAsString();
}

std::optional<Drain> read_drain(const std::string& bytes) {
    const auto value = parsed<values::Drain>(bytes);
    if (!value) return std::nullopt;
    return Drain{value->revision(), value->boot_ms(), value->source()};
}

std::string bytes_of(const Verdict& verdict) {
    values::Verdict out;
    out.set_what(static_cast<std::uint32_t>(verdict.kind));
    out.set_failed(verdict.failed);
    out.set_calls(verdict.calls);
    return out.SerializeAsString();
}

std::optional<Verdict> read_verdict(const std::string& bytes) {
    const auto value = parsed<values::Verdict>(bytes);
    if (!value || value->what() > static_cast<std::uint32_t>(Verdict::Kind::Unreachable)) return std::nullopt;
    return Verdict{static_cast<Verdict::Kind>(value->what()), value->failed(), value->calls()};
}

}  // namespace martenford::replica
