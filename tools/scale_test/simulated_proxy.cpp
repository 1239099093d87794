#include "simulated_proxy.h"

#include <algorithm>
#include <random>

#include "proxy/config_document.h"

namespace martenford::scale_test {

namespace {

constexpr int kSlots = 4;  // of the endpoint, as the heartbeats of real endpoints in a run report

std::uint64_t random_nonzero_id() {
    // One generator for all: hundreds of proxies start in one process, and random_device is a system call.
    static std::mt19937_64 random{std::random_device{}()};
    return random() | 1;
}

}  // namespace

SimulatedProxy::SimulatedProxy(EventLoop& loop, const Options& options, Gauge& gauge)
    : loop_(loop),
      options_(options),
      gauge_(gauge),
      outbound_policy_(outbound::OutboundPolicy::Options{options.zone}, random_nonzero_id()),
      quota_limiter_({}),
      controllers_(
          loop, [this](const std::string& address) { return is_seed(address); }, *this),
      ticker_(loop) {
    registration_.node = options.node;
    registration_.incarnation = random_nonzero_id();
    registration_.inbound_address = options.inbound_address;
    registration_.service = options.service;
    registration_.zone = options.zone;
    registration_.slots = kSlots;
    replace_endpoint();
    for (const Address& seed : options.controllers) controllers_.connect(text_of(seed));
    ticker_.set(loop_.now() + options.first_tick, [this] { tick(); });
}

void SimulatedProxy::end_endpoint() {
    registration_.state = registry::EndpointState::Absent;
    registration_.instance_id.clear();
    ++registration_.seq;
    controllers_.register_now();
}

void SimulatedProxy::replace_endpoint() {
    registration_.state = registry::EndpointState::Ready;
    registration_.instance_id = options_.node + "-" + std::to_string(++endpoints_);
    ++registration_.seq;
    controllers_.register_now();
}

std::vector<quota::QuotaDemand> SimulatedProxy::measure_quota_demands(Time now) {
    return quota_limiter_.demands(now, proxy::rate_limited_tenants(routes_.get()));
}

void SimulatedProxy::on_quota_leases(Time now, const std::vector<quota::QuotaLease>& leases,
                                     Time requested_at) {
    quota_limiter_.apply_leases(now, leases, requested_at);
}

void SimulatedProxy::on_registry_changed(const std::vector<std::string>& nodes) {
    using Kind = outbound::UpstreamTable::Change::Kind;
    gauge_.in_touch.store(static_cast<std::uint32_t>(controllers_.quorum_contact_count()),
                          std::memory_order_relaxed);
    const auto& entries = controllers_.view().entries();
    for (const auto& change : upstream_table_.apply(controllers_.view(), nodes)) {
        if (change.kind == Kind::Set) outbound_policy_.set_upstream(change.id, change.upstream);
        if (change.kind == Kind::Remove) outbound_policy_.remove_upstream(change.id);
    }
    for (const std::string& node : nodes) {
        const auto known = entries.find(node);
        if (known != entries.end() && known->second.lease_expired) {
            expired_.insert(node);
        } else {
            expired_.erase(node);
        }
    }
    gauge_.live.store(static_cast<std::uint32_t>(entries.size() - expired_.size()),
                      std::memory_order_relaxed);
}

void SimulatedProxy::on_config(std::uint32_t version, const std::string& document) {
    auto routes = proxy::parse_routes(version, document);
    if (!routes) return;
    controllers_.set_config_version(version);
    routes_ = std::move(routes);
    gauge_.in_force_since_ns.store(std::chrono::nanoseconds{loop_.now().time_since_epoch()}.count(),
                                   std::memory_order_relaxed);
    gauge_.version.store(version, std::memory_order_release);
    controllers_.register_with_new_demands();
}

bool SimulatedProxy::is_seed(const std::string& address) const {
    return std::any_of(options_.controllers.begin(), options_.controllers.end(),
                       [&](const Address& seed) { return text_of(seed) == address; });
}

void SimulatedProxy::tick() {
    ticker_.set(loop_.now() + proxy::kTickInterval, [this] { tick(); });
    controllers_.tick();
}

}  // namespace martenford::scale_test
