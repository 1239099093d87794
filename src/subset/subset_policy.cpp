#include "subset/subset_policy.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <variant>

namespace martenford::subset {

using namespace martenford::decision;
using namespace std::chrono_literals;

namespace {

constexpr Duration kEvaluationPeriod = 1s;     // at its end the width may change
constexpr Duration kCalmTime = 10s;            // without failures or crowding before the width shrinks
constexpr double kMaxFailureShare = 0.3;       // above this share of failed outcomes the subset widens
constexpr double kMaxCalmFailureShare = 0.05;  // up to this share of failures a period is calm
constexpr std::size_t kMinOutcomes = 5;        // with fewer outcomes it does not

/// The finalizer of splitmix64, which is a bijection. Ids are hashes already, but those of similar names are
/// close to one another.
std::uint64_t hash_of(EndpointId id) {
    std::uint64_t z = static_cast<std::uint64_t>(id) + 0x9e3779b97f4a7c15u;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}

bool hash_less(EndpointId a, EndpointId b) {
    return hash_of(a) < hash_of(b);
}

}  // namespace

void SubsetPolicy::Order::insert(EndpointId id) {
    const auto at = std::lower_bound(ids_.begin(), ids_.end(), id, hash_less);
    if (at == ids_.end() || *at != id) ids_.insert(at, id);
}

void SubsetPolicy::Order::erase(EndpointId id) {
    const auto at = std::lower_bound(ids_.begin(), ids_.end(), id, hash_less);
    if (at != ids_.end() && *at == id) ids_.erase(at);
}

void SubsetPolicy::Order::assign(std::vector<EndpointId>&& ids) {
    ids_ = std::move(ids);
    std::sort(ids_.begin(), ids_.end(), hash_less);
    ids_.erase(std::unique(ids_.begin(), ids_.end()), ids_.end());
}

SubsetPolicy::SubsetPolicy(std::unique_ptr<Policy> next, const Settings& settings, const Options& options,
                           Counters& counters)
    : next_(std::move(next)),
      position_(settings.position % std::max(1u, settings.replicas)),
      replicas_(std::max(1u, settings.replicas)),
      zone_(settings.zone),
      zones_(std::max(1u, settings.zones)),
      options_(options),
      width_(options.width),
      grown_(counters.counter("subset.grown", "times the subset was widened")),
      shrunk_(counters.counter("subset.shrunk", "times the subset was narrowed")),
      added_(counters.counter("subset.moved", "endpoints added to the subset")) {
    if (options.width == 0 || options.max_width < options.width) {
        throw std::invalid_argument("subset: the width must be at least 1 and at most the maximum width");
    }
}

Settings SubsetPolicy::single_replica_settings(Settings settings) {
    settings.position = 0;
    settings.replicas = 1;
    return settings;
}

std::vector<EndpointId> SubsetPolicy::selected() const {
    return selected_;
}

void SubsetPolicy::start(Time now, std::vector<Action>& out) {
    period_end_ = now + kEvaluationPeriod;
    calm_since_ = now;
    next_->start(now, out);
}

void SubsetPolicy::handle(Time now, const Event& event, std::vector<Action>& out) {
    const std::size_t first_new = out.size();  // sends that a wider subset causes count, too
    if (now >= period_end_) evaluate_period(now, out);
    if (const auto* update = std::get_if<DiscoveryUpdate>(&event);
        update && update->kind != DiscoveryUpdate::Kind::Failed) {
        next_->handle(now, filter_update(*update, out), out);
    } else {
        next_->handle(now, event, out);
    }
    if (const auto* outcome = std::get_if<Outcome>(&event)) {
        if (in_flight_ > 0) --in_flight_;
        switch (outcome->status) {
            case Status::Ok:
                ++successes_;
                break;
            case Status::Cancelled:  // cancelled by the module
            case Status::NotSent:    // nothing was sent
                break;
            default:
                ++failures_;
        }
    }
    for (std::size_t i = first_new; i < out.size(); ++i) {
        if (std::holds_alternative<Send>(out[i])) ++in_flight_;
    }
    max_in_flight_ = std::max(max_in_flight_, in_flight_);
}

/// Selects the current window, with endpoints of the own zone first.
void SubsetPolicy::select() {
    const std::size_t all = near_.size() + far_.size();
    const std::size_t width = std::min(width_, all);
    std::size_t near = width;
    if (zones_ > 1 && all > 0) {
        const double share = static_cast<double>(near_.size()) * zones_ / static_cast<double>(all);
        near = static_cast<std::size_t>(std::lround(static_cast<double>(width) * std::min(1.0, share)));
    }
    near = std::min(near, near_.size());
    const std::size_t far = std::min(width - near, far_.size());
    near = width - far;
    selected_.clear();
    const auto window = [&](const Order& order, std::size_t count) {
        if (count == 0) return;
        const std::size_t from =
            static_cast<std::size_t>(static_cast<std::uint64_t>(position_) * order.size() / replicas_);
        for (std::size_t i = 0; i < count; ++i) selected_.push_back(order[(from + i) % order.size()]);
    };
    window(near_, near);
    window(far_, far);
    std::sort(selected_.begin(), selected_.end());
}

/// Adds the changes that bring the module to the selected endpoints. Known ones that drain are kept.
void SubsetPolicy::apply_selection(EndpointList& changes, std::vector<Action>& out) {
    std::vector<EndpointId> dropped;
    for (const auto& [id, endpoint] : forwarded_) {
        if (endpoint.availability != Availability::Ready) continue;
        if (!std::binary_search(selected_.begin(), selected_.end(), id)) dropped.push_back(id);
    }
    std::sort(dropped.begin(), dropped.end());
    for (const EndpointId id : dropped) {
        Endpoint gone = forwarded_.at(id);
        gone.availability = Availability::Gone;
        changes.push_back(gone);
        out.emplace_back(CloseIdleConnections{id});
        forwarded_.erase(id);
    }
    for (const EndpointId id : selected_) {
        if (forwarded_.contains(id)) continue;
        const Endpoint& endpoint = members_.at(id);
        forwarded_.emplace(id, endpoint);
        changes.push_back(endpoint);
        added_.add();
    }
}

DiscoveryUpdate SubsetPolicy::filter_update(const DiscoveryUpdate& update, std::vector<Action>& out) {
    auto filtered = std::make_shared<EndpointList>();
    const EndpointList none;
    const EndpointList& entries = update.endpoints ? *update.endpoints : none;
    if (update.kind == DiscoveryUpdate::Kind::Delta) {
        for (const Endpoint& entry : entries) {
            if (const auto was = members_.find(entry.id); was != members_.end()) {
                if (was->second.availability == Availability::Ready) zone_order(was->second).erase(entry.id);
            }
            if (entry.availability == Availability::Gone) {
                members_.erase(entry.id);
            } else {
                members_.insert_or_assign(entry.id, entry);
                if (entry.availability == Availability::Ready) zone_order(entry).insert(entry.id);
            }
            // Changes of endpoints that the module knows are forwarded.
            if (const auto forwarded = forwarded_.find(entry.id); forwarded != forwarded_.end()) {
                filtered->push_back(entry);
                if (entry.availability == Availability::Gone) {
                    forwarded_.erase(forwarded);
                } else {
                    forwarded->second = entry;
                }
            }
        }
        // Most changes of a large tier don't affect this subset.
        const auto previous = selected_;
        select();
        if (selected_ != previous || !filtered->empty()) apply_selection(*filtered, out);
        return {update.kind, std::move(filtered)};
    }
    members_.clear();
    std::vector<EndpointId> near, far;
    for (const Endpoint& entry : entries) {
        if (entry.availability == Availability::Gone) continue;
        members_.insert_or_assign(entry.id, entry);
        if (entry.availability == Availability::Ready) (entry.zone == zone_ ? near : far).push_back(entry.id);
    }
    near_.assign(std::move(near));
    far_.assign(std::move(far));
    select();
    // The module replaces its list by this one: the selected endpoints and known ones that drain.
    std::vector<EndpointId> draining;
    for (const auto& [id, endpoint] : forwarded_) {
        const auto listed = members_.find(id);
        if (listed != members_.end() && listed->second.availability == Availability::Draining) {
            draining.push_back(id);
        } else if (!std::binary_search(selected_.begin(), selected_.end(), id)) {
            out.emplace_back(CloseIdleConnections{id});
        }
    }
    std::sort(draining.begin(), draining.end());
    std::unordered_map<EndpointId, Endpoint> forwarded;
    for (const EndpointId id : selected_) {
        if (!forwarded_.contains(id)) added_.add();
        forwarded.emplace(id, members_.at(id));
        filtered->push_back(members_.at(id));
    }
    for (const EndpointId id : draining) {
        forwarded.emplace(id, members_.at(id));
        filtered->push_back(members_.at(id));
    }
    forwarded_ = std::move(forwarded);
    return {update.kind, std::move(filtered)};
}

void SubsetPolicy::evaluate_period(Time now, std::vector<Action>& out) {
    const std::size_t outcomes = successes_ + failures_;
    const double failure_share =
        outcomes > 0 ? static_cast<double>(failures_) / static_cast<double>(outcomes) : 0.0;
    const bool is_failing = outcomes >= kMinOutcomes && failure_share > kMaxFailureShare;
    const bool is_crowded = max_in_flight_ > width_;
    std::size_t width = width_;
    if (is_failing || is_crowded) {
        width = std::min(options_.max_width, width_ * 2);
        calm_since_ = now;
    } else if (failure_share > kMaxCalmFailureShare) {
        calm_since_ = now;
    } else if (width_ > options_.width && now >= calm_since_ + kCalmTime && max_in_flight_ * 2 <= width_) {
        width = width_ - std::max<std::size_t>(1, (width_ - options_.width) / 4);
    }
    successes_ = failures_ = 0;
    max_in_flight_ = in_flight_;
    period_end_ = now + kEvaluationPeriod;
    if (width == width_) return;
    (width > width_ ? grown_ : shrunk_).add();
    width_ = width;
    select();
    auto filtered = std::make_shared<EndpointList>();
    apply_selection(*filtered, out);
    if (!filtered->empty())
        next_->handle(now, DiscoveryUpdate{DiscoveryUpdate::Kind::Delta, std::move(filtered)}, out);
}

}  // namespace martenford::subset
