// Tail sampling: decides after a request has ended whether its trace is kept. Keeps requests that failed,
// were late, were refused or took a rare path as far as there is room, and a uniform sample of the normal
// ones. No I/O; memory is bounded.
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

/// One attempt, or a wait between two attempts.
struct Span {
    std::string endpoint;     ///< uid of the endpoint; empty: a wait
    Duration start{}, end{};  ///< since the request was taken
    std::string outcome;
};

struct RequestTrace {
    std::string id, klass, trace_id;
    Time started{};
    std::int64_t wall_ms = 0;
    Duration duration{};
    std::string answer;  ///< served, refused, failed or left
    std::string why;     ///< reason of a refusal or failure, in one word
    bool late = false;   ///< served after the latency target of its class
    std::vector<Span> spans;
};

class TailSampler {
  public:
    /// Ordered by priority.
    enum class Reason : std::uint8_t { Failed, Late, Refused, Rare, Normal };
    static constexpr std::size_t kReasons = 5;

    struct Options {
        std::size_t max_traces = 2000;  ///< traces kept per reason, over all classes and windows
        std::size_t max_spans = 16;     ///< spans kept per trace; further ones are only noted
        Duration window = 60s;  ///< each window has an equal share of the room, so that a burst does not
                                ///< displace other windows
        std::size_t windows = 10;
        std::size_t max_paths = 4096;  ///< number of distinct paths counted
        std::uint64_t rare_below = 4;  ///< a path seen less often than this is rare
    };

    TailSampler(const Options& options, std::uint64_t seed);

    /// Returns true if the trace is kept for now; a later one may replace it if there are too many with the
    /// same reason.
    bool offer(RequestTrace trace);

    /// Visits the kept traces, newest window first, until `visit` returns false.
    void each(const std::function<bool(const RequestTrace&, Reason)>& visit) const;
    const RequestTrace* find(const std::string& id) const;
    std::size_t size() const;
    /// Number of traces offered so far, by reason; together with the kept ones this gives the sampling
    /// weight.
    std::uint64_t offered(Reason reason) const { return offered_[static_cast<std::size_t>(reason)]; }

    static Reason reason_of(const RequestTrace& trace, bool rare);
    /// The outcomes in order, without names: requests with the same path differ only in endpoints and times.
    static std::string path_of(const RequestTrace& trace);

  private:
    /// A uniform sample of the traces offered to it (J. Vitter, "Random Sampling with a Reservoir", 1985,
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
    std::deque<Window> windows_;  // newest last
    std::unordered_map<std::string, std::uint64_t> paths_;
    std::array<std::uint64_t, kReasons> offered_{};
};

}  // namespace martenford::telemetry
