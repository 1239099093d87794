// Our own TOML files: fields taken one by one, and whatever is wrong pointed at by file, line and column.
#pragma once

#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <initializer_list>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/units.h"

namespace martenford {

/// One line: "file:line:column: what is wrong".
struct TomlError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Entries of one array at most: events, overrides and so on.
constexpr std::size_t kMaxTomlItems = 10'000;
/// Bytes of a file at most; a slip of the pen would otherwise fill the machine.
constexpr std::size_t kMaxTomlFileBytes = 1 << 20;

/// Knows where it is in the file, so that whatever is wrong can be pointed at.
class TomlReader {
  public:
    explicit TomlReader(std::string file) : file_(std::move(file)) {}

    [[noreturn]] void fail(const toml::source_region& at, const std::string& what,
                           std::size_t column = 0) const {
        throw TomlError(fmt::format("{}:{}:{}: {}", file_, std::max<unsigned>(1, at.begin.line),
                                    std::max<unsigned>(1, at.begin.column) + column, what));
    }
    [[noreturn]] void fail(const toml::node& at, const std::string& what, std::size_t column = 0) const {
        fail(at.source(), what, column);
    }

    /// A table whose fields are taken one by one; what nobody took is unknown.
    class Table {
      public:
        Table(const TomlReader& reader, const toml::table& table, std::string name)
            : reader_(reader), table_(table), name_(std::move(name)) {}

        const toml::node* find(std::string_view key) {
            taken_.insert(std::string(key));
            return table_.get(key);
        }
        const toml::node& require(std::string_view key) {
            if (const auto* node = find(key)) return *node;
            reader_.fail(table_, fmt::format("'{}' is missing in {}", key, name_));
        }
        void string(std::string_view key, std::string& into, bool required = false) {
            const auto* node = required ? &require(key) : find(key);
            if (!node) return;
            const auto value = node->value_exact<std::string>();
            if (!value) reader_.fail(*node, fmt::format("'{}' must be a text in quotes", key));
            into = *value;
        }
        void duration(std::string_view key, Duration& into, bool above_zero = false) {
            const auto* node = find(key);
            if (!node) return;
            const auto text = node->value_exact<std::string>();
            const auto value = text ? parse_duration(*text) : std::nullopt;
            if (!value)
                reader_.fail(*node, fmt::format("'{}' must be a time with its unit, such as \"300ms\"", key));
            if (above_zero && *value <= Duration{})
                reader_.fail(*node, fmt::format("'{}' must be above 0", key));
            into = *value;
        }
        void number(std::string_view key, double& into, double min, double max) {
            const auto* node = find(key);
            if (!node) return;
            const auto value = node->value<double>();
            if (!value || node->is_boolean() || !(*value >= min && *value <= max))
                reader_.fail(*node, fmt::format("'{}' must be a number from {:g} to {:g}", key, min, max));
            into = *value;
        }
        template <typename T>
        void integer(std::string_view key, T& into, std::int64_t min, std::int64_t max) {
            const auto* node = find(key);
            if (!node) return;
            const auto value = node->value_exact<std::int64_t>();
            if (!value || *value < min || *value > max)
                reader_.fail(*node, fmt::format("'{}' must be a whole number from {} to {}", key, min, max));
            into = static_cast<T>(*value);
        }
        void boolean(std::string_view key, bool& into) {
            const auto* node = find(key);
            if (!node) return;
            const auto value = node->value_exact<bool>();
            if (!value) reader_.fail(*node, fmt::format("'{}' must be true or false", key));
            into = *value;
        }
        template <typename T>
        void choice(std::string_view key, T& into,
                    std::initializer_list<std::pair<std::string_view, T>> choices) {
            const auto* node = find(key);
            if (!node) return;
            const auto value = node->value_exact<std::string>();
            std::string allowed;
            for (const auto& [name, option] : choices) {
                if (value && *value == name) {
                    into = option;
                    return;
                }
                allowed += fmt::format("{}\"{}\"", allowed.empty() ? "" : ", ", name);
            }
            reader_.fail(*node, fmt::format("'{}' must be one of {}", key, allowed));
        }
        /// A table within; nothing where it is absent.
        std::optional<Table> table(std::string_view key) {
            const auto* node = find(key);
            if (!node) return std::nullopt;
            if (!node->is_table()) reader_.fail(*node, fmt::format("'{}' must be a table", key));
            return Table(reader_, *node->as_table(), fmt::format("[{}]", key));
        }
        std::vector<Table> tables(std::string_view key) {
            std::vector<Table> result;
            for (const toml::node* node : items(key)) {
                if (!node->is_table()) reader_.fail(*node, fmt::format("each '{}' must be a table", key));
                result.emplace_back(reader_, *node->as_table(), fmt::format("[[{}]]", key));
            }
            return result;
        }
        std::vector<const toml::node*> items(std::string_view key) {
            std::vector<const toml::node*> result;
            const auto* node = find(key);
            if (!node) return result;
            if (!node->is_array()) reader_.fail(*node, fmt::format("'{}' must be an array", key));
            for (const toml::node& item : *node->as_array()) result.push_back(&item);
            if (result.size() > kMaxTomlItems)
                reader_.fail(*node, fmt::format("'{}' has too many entries", key));
            return result;
        }
        /// To be called last.
        void reject_unknown_fields() const {
            for (const auto& [key, node] : table_) {
                if (!taken_.contains(std::string(key.str()))) {
                    reader_.fail(key.source(), fmt::format("unknown field '{}' in {}", key.str(), name_));
                }
            }
        }
        const toml::table& node() const { return table_; }
        const TomlReader& reader() const { return reader_; }
        [[noreturn]] void fail(const std::string& what) const { reader_.fail(table_, what); }

      private:
        const TomlReader& reader_;
        const toml::table& table_;
        std::string name_;
        std::set<std::string> taken_;
    };

  private:
    std::string file_;
};

/// The text of a file. Throws TomlError where it can't be read or is too large.
std::string read_toml_file(const std::string& path);

/// Parses a text and gives it to `read(reader, root)`. Throws TomlError.
template <typename Read>
auto parse_toml(std::string_view text, const std::string& file, Read read) {
    const TomlReader reader(file);
    try {
        const toml::table root = toml::parse(text, file);
        return read(reader, root);
    } catch (const toml::parse_error& error) {
        // Some of the library's messages run over several lines.
        std::string what(error.description());
        std::replace(what.begin(), what.end(), '\n', ' ');
        reader.fail(error.source(), what);
    }
}

}  // namespace martenford
