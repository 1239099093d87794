// What is known of a tier's endpoints: uid to id, where each is, and which news to believe at once. Pure:
// lists and times come in, changes for the module and for the back go out. docs/large-fleets.md has the
// reasons.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "membership/target.h"

namespace martenford {

/// FNV-1a over 32 bits: the same at every sidecar, so that all lay out one ring.
std::uint32_t uid_hash(const std::string& uid);

/// A set of ids that takes little more than they do: sorted, by their highest byte, so that putting one in
/// moves a few hundred at most.
class IdSet {
  public:
    /// False: it was in.
    bool insert(std::uint32_t id);
    void erase(std::uint32_t id);

  private:
    std::array<std::vector<std::uint32_t>, 256> ids_;
};

class Membership {
  public:
    struct Options {
        /// A list that takes away more than this share of those that are ready, and `caution_least` or more,
        /// is not believed at once. 1: every list is.
        double caution_share = 1.0;
        std::size_t caution_least = 10;  ///< smaller tiers lose half by an ordinary change of version
        /// How long it is doubted; must lie within the platform's drain grace, also after what the loop adds.
        Duration caution{};
    };
    struct Placed {
        EndpointId id{};
        Address address;
        bool ready = false;
        const std::string* uid = nullptr;  ///< until the next list
    };
    /// What others than discovery say of an endpoint. It takes away and never adds: an endpoint is at most as
    /// ready as discovery lists it.
    struct EndpointOverride {
        bool away = false;    ///< an operator's word: nothing new goes there
        double weight = 1.0;  ///< an operator's, beside discovery's
        /// Other sidecars' discovery has it drain or gone, at this revision of the list, in the life that
        /// began at `boot_ms`. It counts until the own discovery has told as new a list.
        struct Hint {
            std::uint64_t revision = 0;
            std::int64_t boot_ms = 0;
            bool operator==(const Hint&) const = default;
        };
        std::optional<Hint> drains;
        bool operator==(const EndpointOverride&) const = default;
    };
    /// An endpoint that discovery no longer lists as ready, and the life that this ends.
    struct Drained {
        std::string uid;
        std::int64_t boot_ms = 0;
    };
    /// What follows from a list.
    struct Update {
        decision::DiscoveryUpdate news;   ///< for the module; of kind Failed there is none
        std::vector<EndpointId> removed;  ///< for the back, before `placed`
        std::vector<Placed> placed;
        bool ask_whole = false;  ///< the whole list is wanted, at once
        std::vector<Drained> drained;
        std::string remark;  ///< worth a line of log; mostly empty
    };
    struct Figures {
        std::uint64_t cautions = 0;       ///< lists that were doubted
        std::uint64_t spared = 0;         ///< endpoints that were listed again within the doubt
        std::uint64_t regressions = 0;    ///< changes older than what is held
        std::uint64_t twins = 0;          ///< uids whose hash another had
        std::uint64_t hinted = 0;         ///< times that others' word took an endpoint away
        std::uint64_t rests_dropped = 0;  ///< ids given free early because too many rested
    };

    explicit Membership(const Options& options) : options_(options) {}

    /// Takes in a list. `cached`: it comes from the configuration. `epoch`: when the Unix epoch was on the
    /// clock of `now`. A list of changes while none is held, and one that is older than what is held, are
    /// refused: the whole is asked for.
    Update take(const TargetList& list, bool cached, Time now, Time epoch);
    /// What was doubted for long enough, as changes. To be called at next_due().
    Update believe(Time now);
    /// What is said of an endpoint from here on, known or not.
    Update set_endpoint_override(const std::string& uid, const EndpointOverride& endpoint_override);
    std::optional<Time> next_due() const { return doubted_until_; }

    /// Another discovery from here on: revisions mean something else, the endpoints stay.
    void forget_revision() { revision_.reset(); }
    std::optional<std::uint64_t> revision() const { return revision_; }
    bool knows_any() const { return ready_ > 0; }
    std::size_t ready() const { return ready_; }
    std::size_t size() const { return known_.size(); }
    std::size_t doubted() const { return doubted_.size(); }
    /// Endpoints that others' word keeps away now.
    std::size_t hinted() const { return hinted_.size(); }
    const Figures& figures() const { return figures_; }
    std::optional<EndpointId> id_of(const std::string& uid) const;
    /// Looks at all: for what is rare.
    std::optional<std::string> uid_of(EndpointId id) const;

  private:
    struct Known {
        EndpointId id{};
        decision::Endpoint endpoint;
        Address address;
        std::int64_t boot_ms = 0;
    };
    struct Rest {
        EndpointId id{};
        Time until{};
    };
    using List = decision::EndpointList;
    void enter(const Target& target, Time now, Time epoch, List& news, Update& update);
    void remove(const std::string& uid, Time now, List& news, Update& update);
    bool doubts(std::size_t going) const;
    bool hint_counts(const Known& known, const EndpointOverride& endpoint_override) const;
    decision::Endpoint effective(const std::string& uid, const Known& known);
    void place(const std::string& uid, const Known& known, List& news, Update& update);
    EndpointId new_id(const std::string& uid);
    void free_rested(Time now);

    Options options_;
    std::unordered_map<std::string, Known> known_;
    IdSet taken_;  // ids in use or at rest
    // An id that is free again may still be on attempts: another uid gets it after a rest only, its own at
    // once.
    std::unordered_map<std::string, Rest> rested_;
    std::deque<std::pair<Time, std::string>> resting_;  // by end; what came back since is passed over
    std::size_t ready_ = 0;
    std::optional<std::uint64_t> revision_;
    std::unordered_set<std::string> doubted_;  // to be removed, unless they are listed again before
    std::optional<Time> doubted_until_;
    std::unordered_map<std::string, EndpointOverride> endpoint_overrides_;
    std::unordered_set<std::string> hinted_;  // that a hint keeps away now
    Figures figures_;
};

}  // namespace martenford
