// Quotas of tenants, as leases: the leader of the core grants each stall a share of a tenant's rate by what
// it is asked for, so that the shares never sum up to more than the rate, whoever stands still, is cut off or
// restarts. A stall that nobody tells anything falls to a small floor. Pure; the steady clock alone.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/scheduler.h"

namespace martenford::scales {

/// What a stall tells of one tenant.
struct Demand {
    std::string tenant;
    double per_s = 0;           ///< requests a second that were asked of it lately
    double held = 0;            ///< requests a second that its lease allows it now
    std::uint32_t held_ms = 0;  ///< for how much longer
};

struct Grant {
    std::string tenant;
    double per_s = 0;
    double burst = 0;  ///< requests at once on top
    std::uint32_t lease_ms = 0;
};

/// What a tenant may do over all stalls.
struct Quota {
    double per_s = 0;
    double burst = 0;
};

/// The granting side. Every guildhall hears the demands; the leader alone grants.
class Grantor {
  public:
    struct Options {
        Duration lease = 2600ms;  ///< outlasts an election and a round of announcements
        // A new leader raises nothing at first. What the last one granted it knows from the stalls that hear
        // both; the lease of one that hears it alone is a share of a rate, runs out soon, and is within the
        // rule's slack.
        Duration settle = 200ms;    ///< from when it leads
        Duration listened = 300ms;  ///< from when it first heard a stall
        Duration forget = 4s;       ///< a stall that hasn't asked for so long has no share
        // The rule's figures: in any window a tenant may have (rate x window + burst) x (1 + overshoot) +
        // slack.
        Duration window = 5s;
        double overshoot = 0.1, slack = 20;
        double kept = 0.8;  ///< of an even share, for a stall that is known and not heard
        double slack_used =
            0.7;  ///< of what the rule allows beyond the quota; the rest is for floors and chance
    };
    explicit Grantor(const Options& options) : options_(options) {}

    /// What a stall (by node and life) tells; heard by every guildhall. `taken` is the number of the last
    /// answer of this grantor that it has taken in.
    void heard(Time now, const std::string& stall, std::uint64_t taken, const std::vector<Demand>& demands);
    /// The number of the answer that grant() gives next or gave last.
    std::uint64_t number() const { return number_; }
    /// The leader's answer to it: shares for what it asked for.
    /// `stalls` are known, of which `silent` were not heard within their lease: for those an even share is
    /// kept, since they may be cut off and serve on by it.
    std::vector<Grant> grant(Time now, Time leading_since, const std::string& stall,
                             const std::map<std::string, Quota>& quotas, std::size_t stalls,
                             std::size_t silent);

  private:
    struct Share {
        double wanted = 0;
        double out = 0;      // the most that it may hold until `until`
        double granted = 0;  // last, in the answer of this number
        std::uint64_t number = 0;
        Time until{};
        Time heard{};
    };
    Options options_;
    std::uint64_t number_ = 0;
    Time listening_since_{};
    std::map<std::string, std::map<std::string, Share>> by_tenant_;  // tenant, stall
};

/// The stall's side: one bucket a tenant.
class Scale {
  public:
    /// Of a stall that has no lease: a part of an even share, small enough that as many as may be cut off at
    /// once stay within the rule's overshoot beside the others' leases.
    struct Floor {
        double kept =
            0.8;  ///< for `keep` after its last lease: the grantor keeps as much for those that it knows
        Duration keep = 14s;  ///< shorter than the registry remember a stall that is not heard
        double share = 0.25;  ///< later, and before its first lease
        double burst = 1;     ///< at least
    };
    explicit Scale(const Floor& floor) : floor_(floor) {}
    /// Whether a request of this tenant may be taken now; counts it as asked for. `stalls`: how many there
    /// are, as far as is known. A quota of 0 is no limit.
    bool admits(Time now, const std::string& tenant, const Quota& quota, std::size_t stalls);
    /// `asked`: when the question was sent that this answers. A lease counts from then, so that one that is
    /// read late, after a freeze or a jam, ends when its grantor holds it for ended.
    void granted(Time now, const std::vector<Grant>& grants, Time asked);
    /// To be told: of each tenant that has a quota, whether it asked or not.
    std::vector<Demand> demands(Time now, const std::vector<std::string>& tenants);
    /// When a tenant that is refused now may be taken again.
    Duration until_next(Time now, const std::string& tenant);

  private:
    struct Bucket {
        double tokens = 0, rate = 0, burst = 0;
        Time filled{}, until{};
        double asked = 0;  // since the last demands()
        double per_s = 0;  // smoothed
        Time last_asked{};
        double floor_rate = 0, floor_burst = 1;
    };
    void fill(Time now, Bucket& bucket);
    Floor floor_;
    Time told_{};
    std::unordered_map<std::string, Bucket> buckets_;
};

}  // namespace martenford::scales
