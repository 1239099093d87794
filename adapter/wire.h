// The test bench's protocol: JSON lines to typed events, and typed actions to JSON lines.
#pragma once

#include <simdjson.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/fields.h"
#include "martenford/decision/balancer.h"

namespace martenford::decision::wire {

/// Malformed input. The message names the round and the field.
using WireError = json::FieldError;

struct Provision {
    std::uint64_t seed = 0;
    Settings settings;
};
struct Stop {};

struct Message {
    std::uint32_t instance = 0;
    std::variant<Provision, Stop, Event> body;
};
struct Batch {
    std::uint64_t round = 0;
    Time clock{};
    std::vector<Message> messages;
};

/// Reads batches. Endpoint lists persist between batches and are resolved in the order of the events.
class Reader {
  public:
    /// Throws WireError if the line is not a valid batch.
    Batch read(const std::string& line);

  private:
    static constexpr std::size_t kMaxLists = 16;
    simdjson::dom::parser parser_;
    /// Sizes from the settings. Indices in events must be below them.
    struct Ranges {
        std::size_t classes = 0, tenants = 0, zones = 0, kinds = 0;
    };
    struct List {
        std::shared_ptr<const EndpointList> endpoints;
        std::uint32_t max_zone = 0, max_kind = 0;
    };
    struct State {
        std::array<List, kMaxLists> lists;
        std::map<std::uint32_t, Ranges> running;  ///< by instance
    };
    static void read_event(const simdjson::dom::object& event, std::string_view tag, State& state,
                           Batch& batch);
    State state_;
};

/// Writes one reply line, without the newline.
class Writer {
  public:
    explicit Writer(std::uint64_t round);
    void write(std::uint32_t instance, const Action& action);
    void write_error(std::uint32_t instance, std::string_view reason);
    std::string finish() &&;

  private:
    void open(std::string_view tag, std::uint32_t instance);
    void field(std::string_view name, std::int64_t value);
    void field(std::string_view name, std::string_view value);
    std::string text_;
    bool first_ = true;
};

}  // namespace martenford::decision::wire
