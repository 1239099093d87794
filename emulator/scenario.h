// A scenario: a fleet, its load, what goes wrong when, and what must come of it. Read from TOML; the grammar
// is in docs/emulator.md.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "assembly/features.h"
#include "emulator/model/endpoint_model.h"
#include "martenford/decision/balancer.h"

namespace martenford::emulator {

/// Text: "FILE:LINE:COLUMN: what is wrong".
using ScenarioError = TomlError;

struct ClassSpec {
    enum class Shape { Fixed, Exponential, Lognormal };
    std::string name;
    double share = 1.0;  ///< of the requests; shares are scaled to sum 1
    Duration work{};     ///< mean, over all tiers
    Shape shape = Shape::Lognormal;
    double spread = 0.5;  ///< lognormal: standard deviation over mean
    Duration aim{}, deadline{};
    double worth = 1.0, late_worth = 0.0;
    decision::Idempotency effect = decision::Idempotency::NonIdempotent;
    Duration window{};  ///< keyed: how long the endpoints of a pod drop repeats
};

struct TierSpec {
    std::string name;
    std::uint32_t endpoints = 1;
    std::uint32_t pod = 4;      ///< endpoints in a pod
    double work = 1.0;          ///< share of a class's work that each call costs here
    double calls_min = 1.0;     ///< calls that a request of the tier above makes here, one after another:
    double calls_max = 1.0;     ///< evenly drawn, rounded by chance; unused in the first tier
    double speed_spread = 0.0;  ///< speeds are drawn evenly from speed x (1 -+ this)
    EndpointTraits traits;
};

struct ClientsSpec {
    enum class Arrivals { Poisson, Even };
    double rate = 50.0;  ///< first tries a second, before the load curve
    Arrivals arrivals = Arrivals::Poisson;
    std::uint32_t retries = 2;
    Duration backoff{};      ///< before a retry
    double give_up = 0.5;    ///< a try is given up after this share of the class's deadline
    double impatient = 0.0;  ///< share of tries whose client leaves early, at an even point of its time
    std::uint64_t most = 0;  ///< first tries in all; 0: as many as come in the length
};

struct LoadPoint {
    Duration at{};
    double factor = 1.0;
};

struct DiscoverySpec {
    bool ask = true;              ///< asked; otherwise lists are pushed to an agent beside each sidecar
    Duration notice = 500ms;      ///< from a change to its being in the list
    Duration silent_notice = 5s;  ///< from a death nobody announced
    Duration spread = 100ms;      ///< by which copies of the news differ
};

struct NetworkSpec {
    Duration delay = 300us;  ///< one way
    Duration connect_timeout = 120ms;
    Duration idle = 30s;  ///< endpoints close what stood idle for this
};

struct SidecarSpec {
    std::uint32_t count = 1;  ///< of the first tier; an endpoint of a tier before another has one of its own
    std::uint32_t max_attempts = 3;
    bool may_cancel = true, probing = false, second_copies = true, retry_after = false;
    bool passes_deadline = false;
    Duration ask_every = 6s;
    Duration drain_grace = 1s;
    double fall_multiple = 3.0;
    Duration tip_after = 1s;
    Duration front_notice = 2s;  ///< how long the front goes on dealing to one that has died
    std::string own;             ///< text of the sidecars' own configuration file; empty: none
    Features features;           ///< as it reads
    bool fleet = false;          ///< those of the first tier are members of one fleet
    std::string fleet_fields;    ///< more fields of their [fleet]
};

// ---- events ---------------------------------------------------------------------------------------

/// What an event is about: endpoints of a tier, sidecars, or neither.
struct Target {
    enum class Kind { None, Endpoints, Sidecars };
    Kind kind = Kind::None;
    std::uint32_t tier = 0;
    bool all = true;
    double share = 0.0;                 ///< above 0: a drawn share of those that serve, one at least
    std::uint32_t first = 0, last = 0;  ///< otherwise by number, both included
    int zone = -1;                      ///< 0 or above: those of a zone
};

enum class Verb {
    Slow,
    Freeze,
    Pauses,
    Reject,
    Fail,
    Mute,
    Spoil,
    Reset,
    Drain,
    Kill,
    Restart,
    Replace,
    Partition,
    Join,
    Thrash,
    Burst,
    HotCaller,
    Leave,
    DiscoverySilent,
    DiscoveryStale,
    Flap,
    Lag,
    SidecarStop,
    Links,
    SidecarKill,
    SidecarRestart,
    SidecarReload
};

/// What happens to the links between sidecars of the first tier.
struct LinkSpec {
    enum class What { Cut, Delay, Jitter, Drop, Duplicate, Reorder, Corrupt, Throttle, Break };
    What what = What::Cut;
    bool both = false;                  ///< ways; otherwise only what is said to the others
    bool others = true;                 ///< to all that the event is not on
    std::uint32_t first = 0, last = 0;  ///< otherwise to these, by number
};

struct EventSpec {
    Duration at{};
    Target on;
    Verb verb = Verb::Slow;
    double amount = 0.0;  ///< a factor, a share or a number, by the verb
    Duration span{};      ///< a pause's length, or the wait before a return
    Duration every{};     ///< pauses and flaps: from one to the next
    Duration over{};      ///< it comes to one after another, evenly in this time
    Duration length{};    ///< 0: for good
    LinkSpec link;
    std::string text;  ///< as written
};

// ---- expectations ---------------------------------------------------------------------------------

enum class Metric {
    Rules,
    Offered,
    Served,
    Late,
    Refused,
    Failed,
    Unanswered,
    Worst,
    AttemptsPerRequest,
    TriesPerRequest,
    DoubleEffects,
    Fallen,
    ToDrained,
    Drained,
    Thrashed,
    PeakConnections,
    Evenness
};

struct Expectation {
    enum class Compare { AtLeast, AtMost, Equal };
    Metric metric = Metric::Rules;
    int class_index = -1;  ///< -1: of all
    Compare compare = Compare::AtLeast;
    double bound = 0.0;
    bool share = false;  ///< the bound is a share of what was offered
    std::string text;
};

struct Scenario {
    std::string name, about;
    std::uint64_t seed = 1;
    std::uint32_t zones = 1;  ///< endpoints and sidecars are dealt to them in turn
    Duration length{};
    bool timing_proof = false;     ///< written so that sockets give the same counts as virtual time
    double sockets_within = 0.15;  ///< how far the share served may lie from virtual time's on sockets
    std::vector<ClassSpec> classes;
    std::vector<TierSpec> tiers;
    ClientsSpec clients;
    std::vector<LoadPoint> load;
    DiscoverySpec discovery;
    NetworkSpec network;
    SidecarSpec sidecars;
    std::vector<EventSpec> events;  ///< by time; at one instant in the order of the file
    std::vector<Expectation> expect;

    /// How many times the usual the load is at this time: straight lines between the points.
    double load_at(Duration since_start) const;
    /// How many sidecars send to this tier.
    std::uint32_t sidecars_of(std::uint32_t tier) const {
        return tier == 0 ? sidecars.count : tiers[tier - 1].endpoints;
    }
};

/// Throws ScenarioError. `file` is the name for messages.
Scenario read_scenario(std::string_view text, const std::string& file);
/// Throws ScenarioError also where the file can't be read or is over 1 MiB.
Scenario load_scenario(const std::string& path);

}  // namespace martenford::emulator
