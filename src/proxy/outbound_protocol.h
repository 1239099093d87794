// HTTP on the caller's side of a proxy: what clients send (OutboundServerProtocol), and how a request is
// forwarded to the endpoint's proxy (HopClientProtocol). What clients see is fixed by the platform's page
// "What martenford speaks". Both run on the proxy's loop and own nothing that they refer to.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "bootstrap/settings.h"
#include "core/loop.h"
#include "http1/protocol.h"
#include "mesh_config/mesh_config.h"
#include "outbound/outbound_policy.h"
#include "proxy/hop_header.h"
#include "proxy/http_fields.h"
#include "quota/quota.h"

namespace martenford::proxy {

/// How clients' requests ended since the start of the process, for the log.
struct RequestTotals {
    std::uint64_t taken = 0;       ///< read with an acceptable Attempt-Id
    std::uint64_t served = 0;      ///< an endpoint's response was passed on
    std::uint64_t refused = 0;     ///< rejected; they never ran
    std::uint64_t failed = 0;      ///< they may have run
    std::uint64_t no_route = 0;    ///< 404
    std::uint64_t no_key = 0;      ///< 401
    std::uint64_t over_quota = 0;  ///< 429
    std::uint64_t unready = 0;     ///< 503: no configuration has come yet
};

/// Requests of clients, and of the endpoint beside the proxy, on the `outbound` port.
class OutboundServerProtocol : public ServerProtocol {
  public:
    /// @param proxy_count returns the number of proxies known, for quotas without a lease.
    OutboundServerProtocol(const bootstrap::Settings& settings, outbound::OutboundPolicy& policy,
                           quota::QuotaLimiter& quota, RequestTotals& totals,
                           std::function<std::size_t()> proxy_count)
        : settings_(settings),
          policy_(policy),
          quota_(quota),
          totals_(totals),
          proxy_count_(std::move(proxy_count)) {}

    /// Requests are decided by these routes from now on. Plans anew the requests that waited for this
    /// version.
    void set_routes(std::shared_ptr<const mesh_config::RouteTable> routes);
    /// The endpoint's proxy has a newer configuration in which this request is decided otherwise: it is
    /// planned anew, at once or when that version arrives here.
    void outdated(const HttpMessage& message, mesh_config::Version newer);
    /// @param callback is called once requests that waited for a version have been planned by it.
    void on_replanned(std::function<void()> callback) { on_replanned_ = std::move(callback); }
    /// The routes in force; null until the first configuration has come.
    [[nodiscard]] const mesh_config::RouteTable* routes() const { return routes_.get(); }

    [[nodiscard]] const ListenerLimits& limits() const override { return limits_; }
    [[nodiscard]] DrainTimes drain_times() const override;
    [[nodiscard]] FieldNames end_to_end_fields() const override { return kClientFields; }
    /// Checks the request, finds route, tenant and quota, and hands the plan to the policy.
    [[nodiscard]] std::variant<decision::Request, LocalReply> read(Fields& head, Time arrived) override;
    void write(const Answer& answer, const decision::RequestId& id, http::response_header<>& head) override;
    [[nodiscard]] bool is_answer_to(const Answer& answer, const decision::RequestId& id) const override;
    void on_withheld(const Answer& answer, const decision::RequestId& id,
                     const ConnectionRecord& record) override;

  private:
    /// A request that waits for a configuration version.
    struct WaitingRequest {
        mesh_config::Version newer = 0;
        std::string id, host, target, tenant;
    };
    /// The tenant whose key the request bears; null where the route needs none.
    [[nodiscard]] std::variant<const mesh_config::Tenant*, LocalReply> authenticate(
        const Fields& head, const mesh_config::Route& route);
    [[nodiscard]] bool within_quota(const mesh_config::Tenant& tenant);
    [[nodiscard]] outbound::RequestPlan plan_for(const mesh_config::Route& route, const std::string& id,
                                                 const mesh_config::Tenant* tenant) const;
    void replan(const WaitingRequest& waiting);

    const bootstrap::Settings& settings_;
    outbound::OutboundPolicy& policy_;
    quota::QuotaLimiter& quota_;
    RequestTotals& totals_;
    std::function<std::size_t()> proxy_count_;
    ListenerLimits limits_;
    std::shared_ptr<const mesh_config::RouteTable> routes_;
    std::vector<WaitingRequest> waiting_;
    std::function<void()> on_replanned_;
};

/// A request on its way from the caller's proxy to the endpoint's proxy.
class HopClientProtocol : public ClientProtocol {
  public:
    HopClientProtocol(outbound::OutboundPolicy& policy, OutboundServerProtocol& outbound, EventLoop& loop)
        : policy_(policy), outbound_(outbound), loop_(loop) {}
    /// The endpoint that `id` stands for, and the incarnation of the proxy beside it.
    void set_upstream(EndpointId id, const std::string& instance_id, std::uint64_t incarnation) {
        upstreams_[id] = {instance_id, incarnation};
    }
    void remove_upstream(EndpointId id) { upstreams_.erase(id); }

    void prepare(http::request_header<>& head, const HttpMessage& message, EndpointId to, Time end) override;
    [[nodiscard]] bool carries_body(const HttpMessage& message) const override;
    [[nodiscard]] bool may_run_incomplete_requests() const override { return true; }
    void prepare_probe(http::request_header<>&) override {}
    [[nodiscard]] std::optional<decision::Status> classify(const http::response_header<>& head,
                                                           const HttpMessage* message,
                                                           EndpointId from) override;
    [[nodiscard]] FieldNames end_to_end_fields() const override { return kEndpointFields; }
    [[nodiscard]] FieldNames fields_that_stand_once() const override { return kHopVerdictFields; }
    [[nodiscard]] bool forwards_heads() const override { return true; }
    [[nodiscard]] bool allows_close_delimited() const override { return false; }
    /// Nothing bounds an answer but its request's deadline: it passes through, and little of it is held.
    [[nodiscard]] std::uint64_t max_answer_bytes() const override {
        return std::numeric_limits<std::uint64_t>::max();
    }

  private:
    struct Upstream {
        std::string instance_id;
        std::uint64_t incarnation = 0;
    };

    outbound::OutboundPolicy& policy_;
    OutboundServerProtocol& outbound_;
    EventLoop& loop_;
    std::unordered_map<EndpointId, Upstream> upstreams_;
};

}  // namespace martenford::proxy
