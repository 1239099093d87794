#include "subset/subset_policy.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <variant>

namespace martenford::subset {

using namespace martenford::decision;
using namespace std::chrono_literals;

namespace {

constexpr Duration kPeriod = 1s;     // of a look back
constexpr Duration kCalm = 10s;      // without trouble before the width goes back
constexpr double kBadShare = 0.3;    // of the outcomes: the subset fails
constexpr double kCalmShare = 0.05;  // up to which it is calm
constexpr std::size_t kFewest = 5;   // outcomes that say something

/// splitmix64's last steps, which no two numbers share: ids are hashes already, but those of like names are
/// near one another.
std::uint64_t place_of(EndpointId id) {
    std::uint64_t z = static_cast<std::uint64_t>(id) + 0x9e3779b97f4a7c15u;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}

bool before(EndpointId a, EndpointId b) {
    return place_of(a) < place_of(b);
}

}  // namespace

void SubsetPolicy::Order::insert(EndpointId id) {
    const auto at = std::lower_bound(places_.begin(), places_.end(), id, before);
    if (at == places_.end() || *at != id) places_.insert(at, id);
}

void SubsetPolicy::Order::erase(EndpointId id) {
    const auto at = std::lower_bound(places_.begin(), places_.end(), id, before);
    if (at != places_.end() && *at == id) places_.erase(at);
}

void SubsetPolicy::Order::assign(std::vector<EndpointId>&& ids) {
    places_ = std::move(ids);
    std::sort(places_.begin(), places_.end(), before);
    places_.erase(std::unique(places_.begin(), places_.end()), places_.end());
}

SubsetPolicy::SubsetPolicy(std::unique_ptr<Policy> module, const Settings& settings, const Options& options,
                           Counters& counters)
    : module_(std::move(module)),
      position_(settings.position % std::max(1u, settings.replicas)),
      replicas_(std::max(1u, settings.replicas)),
      zone_(settings.zone),
      zones_(std::max(1u, settings.zones)),
      options_(options),
      width_(options.width),
      grown_(counters.counter("subset.grown", "times the subset was widened")),
      shrunk_(counters.counter("subset.shrunk", "times it went back")),
      moved_(counters.counter("subset.moved", "endpoints that newly came into the subset")) {
    if (options.width == 0 || options.most_width < options.width) {
        throw std::invalid_argument("subset: the width must be at least 1 and no more than the most");
    }
}

Settings SubsetPolicy::alone(Settings settings) {
    settings.position = 0;
    settings.replicas = 1;
    return settings;
}

std::vector<EndpointId> SubsetPolicy::used() const {
    return chosen_;
}

void SubsetPolicy::start(Time now, std::vector<Action>& out) {
    period_end_ = now + kPeriod;
    calm_since_ = now;
    module_->start(now, out);
}

void SubsetPolicy::handle(Time now, const Event& event, std::vector<Action>& out) {
    const std::size_t before = out.size();  // what a wider subset lets out counts, too
    if (now >= period_end_) look_back(now, out);
    if (const auto* news = std::get_if<Discovered>(&event); news && news->kind != Discovered::Kind::Failed) {
        module_->handle(now, take_in(*news, out), out);
    } else {
        module_->handle(now, event, out);
    }
    if (const auto* outcome = std::get_if<Outcome>(&event)) {
        if (out_now_ > 0) --out_now_;
        switch (outcome->status) {
            case Status::Ok:
                ++good_;
                break;
            case Status::Cancelled:  // the module's own doing
            case Status::NotSent:    // nothing went out
                break;
            default:
                ++bad_;
        }
    }
    for (std::size_t i = before; i < out.size(); ++i) {
        if (std::holds_alternative<Send>(out[i])) ++out_now_;
    }
    out_most_ = std::max(out_most_, out_now_);
}

/// The window of the width, near ones first.
void SubsetPolicy::choose() {
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
    chosen_.clear();
    const auto window = [&](const Order& order, std::size_t count) {
        if (count == 0) return;
        const std::size_t from =
            static_cast<std::size_t>(static_cast<std::uint64_t>(position_) * order.size() / replicas_);
        for (std::size_t i = 0; i < count; ++i) chosen_.push_back(order[(from + i) % order.size()]);
    };
    window(near_, near);
    window(far_, far);
    std::sort(chosen_.begin(), chosen_.end());
}

/// What the module must hear so that it knows the chosen ones, and those that it knew and that drain.
void SubsetPolicy::shift(EndpointList& news, std::vector<Action>& out) {
    std::vector<EndpointId> dropped;
    for (const auto& [id, endpoint] : shown_) {
        if (endpoint.availability != Availability::Ready) continue;
        if (!std::binary_search(chosen_.begin(), chosen_.end(), id)) dropped.push_back(id);
    }
    std::sort(dropped.begin(), dropped.end());
    for (const EndpointId id : dropped) {
        Endpoint gone = shown_.at(id);
        gone.availability = Availability::Gone;
        news.push_back(gone);
        out.emplace_back(ShutIdle{id});
        shown_.erase(id);
    }
    for (const EndpointId id : chosen_) {
        if (shown_.contains(id)) continue;
        const Endpoint& endpoint = members_.at(id);
        shown_.emplace(id, endpoint);
        news.push_back(endpoint);
        moved_.add();
    }
}

Discovered SubsetPolicy::take_in(const Discovered& news, std::vector<Action>& out) {
    auto told = std::make_shared<EndpointList>();
    const EndpointList none;
    const EndpointList& entries = news.endpoints ? *news.endpoints : none;
    if (news.kind == Discovered::Kind::Delta) {
        for (const Endpoint& entry : entries) {
            if (const auto was = members_.find(entry.id); was != members_.end()) {
                if (was->second.availability == Availability::Ready) order_of(was->second).erase(entry.id);
            }
            if (entry.availability == Availability::Gone) {
                members_.erase(entry.id);
            } else {
                members_.insert_or_assign(entry.id, entry);
                if (entry.availability == Availability::Ready) order_of(entry).insert(entry.id);
            }
            // What the module knows changes as it is told.
            if (const auto shown = shown_.find(entry.id); shown != shown_.end()) {
                told->push_back(entry);
                if (entry.availability == Availability::Gone) {
                    shown_.erase(shown);
                } else {
                    shown->second = entry;
                }
            }
        }
        // Most changes of a large tier are of no concern here.
        const auto before = chosen_;
        choose();
        if (chosen_ != before || !told->empty()) shift(*told, out);
        return {news.kind, std::move(told)};
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
    choose();
    // The module replaces its list by this one: the chosen, and what it knew that drains.
    std::vector<EndpointId> draining;
    for (const auto& [id, endpoint] : shown_) {
        const auto listed = members_.find(id);
        if (listed != members_.end() && listed->second.availability == Availability::Draining) {
            draining.push_back(id);
        } else if (!std::binary_search(chosen_.begin(), chosen_.end(), id)) {
            out.emplace_back(ShutIdle{id});
        }
    }
    std::sort(draining.begin(), draining.end());
    std::unordered_map<EndpointId, Endpoint> shown;
    for (const EndpointId id : chosen_) {
        if (!shown_.contains(id)) moved_.add();
        shown.emplace(id, members_.at(id));
        told->push_back(members_.at(id));
    }
    for (const EndpointId id : draining) {
        shown.emplace(id, members_.at(id));
        told->push_back(members_.at(id));
    }
    shown_ = std::move(shown);
    return {news.kind, std::move(told)};
}

void SubsetPolicy::look_back(Time now, std::vector<Action>& out) {
    const std::size_t heard = good_ + bad_;
    const double bad = heard > 0 ? static_cast<double>(bad_) / static_cast<double>(heard) : 0.0;
    const bool fails = heard >= kFewest && bad > kBadShare;
    const bool crowded = out_most_ > width_;
    std::size_t width = width_;
    if (fails || crowded) {
        width = std::min(options_.most_width, width_ * 2);
        calm_since_ = now;
    } else if (bad > kCalmShare) {
        calm_since_ = now;
    } else if (width_ > options_.width && now >= calm_since_ + kCalm && out_most_ * 2 <= width_) {
        width = width_ - std::max<std::size_t>(1, (width_ - options_.width) / 4);
    }
    good_ = bad_ = 0;
    out_most_ = out_now_;
    period_end_ = now + kPeriod;
    if (width == width_) return;
    (width > width_ ? grown_ : shrunk_).add();
    width_ = width;
    choose();
    auto told = std::make_shared<EndpointList>();
    shift(*told, out);
    if (!told->empty()) module_->handle(now, Discovered{Discovered::Kind::Delta, std::move(told)}, out);
}

}  // namespace martenford::subset
