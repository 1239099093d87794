// Which stories of requests are kept, told when they have ended: all that failed, came late, were refused or
// went a path seldom seen, as far as there is room, and a fair sample of the usual. Pure; the memory is
// bounded.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/scheduler.h"

namespace martenford::telemetry {

/// What one attempt was, or a wait between two.
struct Span {
    std::string endpoint;     ///< its uid; empty: a wait
    Duration start{}, end{};  ///< since the request was taken
    std::string outcome;
};

struct RequestTrace {
    std::string id, klass, trace_id;
    Time started{};
    std::int64_t wall_ms = 0;
    Duration duration{};
    std::string answer;  ///< served, refused, failed, left
    std::string why;     ///< the reason of a refusal or a failure, in a word
    bool late = false;   ///< served after its class's aim
    std::vector<Span> spans;
};

class TailSampler {
  public:
    /// In the order in which room is given.
    enum class Reason : std::uint8_t { Failed, Late, Refused, Rare, Normal };
    static constexpr std::size_t kReasons = 5;

    struct Options {
        std::size_t max_traces = 2000;  ///< stories of one reason, over all classes and stretches
        std::size_t max_spans = 16;     ///< of one story; more are counted
        Duration window = 60s;  ///< each has an equal share of the room, so that a burst keeps none out
        std::size_t windows = 10;
        std::size_t max_paths = 4096;  ///< paths that are told apart
        std::uint64_t rare_below = 4;  ///< a path seen less often than that is rare
    };

    TailSampler(const Options& options, std::uint64_t seed);

    /// True: it is kept now; a later one may still take its place where it is one of too many alike.
    bool offer(RequestTrace trace);

    /// What is kept, newest first; false ends it.
    void each(const std::function<bool(const RequestTrace&, Reason)>& visit) const;
    const RequestTrace* find(const std::string& id) const;
    std::size_t size() const;
    /// Offered so far, by reason: with what is kept this tells the weight of each.
    std::uint64_t offered(Reason reason) const { return offered_[static_cast<std::size_t>(reason)]; }

    static Reason reason_of(const RequestTrace& trace, bool rare);
    /// Outcomes in order, without names: two requests of one path differ in where and how long alone.
    static std::string path_of(const RequestTrace& trace);

  private:
    /// A uniform sample of what was offered to it (J. Vitter, "Random Sampling with a Reservoir", 1985,
    /// algorithm R).
    struct Reservoir {
        std::uint64_t offered = 0;
        std::vector<RequestTrace> kept;
    };
    struct Window {
        std::int64_t number = 0;
        std::array<Reservoir, kReasons> by_reason;
    };

    Window& window_at(Time now);
    bool is_rare(const std::string& path);
    std::uint64_t draw(std::uint64_t below);

    Options options_;
    std::uint64_t random_;
    std::deque<Window> windows_;  // the newest last
    std::unordered_map<std::string, std::uint64_t> paths_;
    std::array<std::uint64_t, kReasons> offered_{};
};

}  // namespace martenford::telemetry
