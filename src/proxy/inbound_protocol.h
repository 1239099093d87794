// HTTP on the endpoint's side of a proxy: what other proxies send (HopServerProtocol), and what the endpoint
// beside this proxy is sent (EndpointClientProtocol). What endpoints see is fixed by the platform's page
// "What martenford speaks". Both run on the proxy's loop and own nothing that they refer to.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>

#include "admission/admission_controller.h"
#include "bootstrap/settings.h"
#include "http1/protocol.h"
#include "mesh_config/mesh_config.h"
#include "proxy/hop_header.h"
#include "proxy/http_fields.h"

namespace martenford::proxy {

/// Fields that the caller's proxy sends to the endpoint's.
inline constexpr std::array<std::string_view, 6> kHopFields{"Host",      kAttemptId,     kTimeRemaining,
                                                            kTenantName, kCallerService, kHopField};

/// Requests of other proxies, on the `inbound` port.
class HopServerProtocol : public ServerProtocol {
  public:
    /// Returns the routes in force here; null until a configuration has come.
    using RoutesInForce = std::function<const mesh_config::RouteTable*()>;
    /// @param incarnation of this process: which attempts it has delivered is known in it alone.
    HopServerProtocol(const bootstrap::Settings& settings, admission::AdmissionController& admission,
                      std::uint64_t incarnation, RoutesInForce routes);

    [[nodiscard]] const ListenerLimits& limits() const override { return limits_; }
    [[nodiscard]] DrainTimes drain_times() const override;
    [[nodiscard]] FieldNames end_to_end_fields() const override { return kHopFields; }
    /// Answers a delivery query and a request of an outdated configuration at once; hands the rest to the
    /// admission controller.
    [[nodiscard]] std::variant<decision::Request, LocalReply> read(Fields& head, Time arrived) override;
    void write(const Answer& answer, const decision::RequestId& id, http::response_header<>& head) override;
    [[nodiscard]] bool is_answer_to(const Answer& answer, const decision::RequestId& id) const override;
    void on_withheld(const Answer& answer, const decision::RequestId& id,
                     const ConnectionRecord& record) override;

  private:
    [[nodiscard]] LocalReply answer_delivery_query(const HopHeader& hop,
                                                   const admission::InboundRequest& inbound);
    /// Returns true if a newer configuration than the caller's sends this request elsewhere, treats it
    /// otherwise, or does not allow it.
    [[nodiscard]] bool is_outdated(const Fields& head, const admission::InboundRequest& inbound,
                                   mesh_config::Version version) const;
    /// The queue wait in ms, at least 1, as a rejection reports it.
    [[nodiscard]] std::string queue_wait_text() const;

    const bootstrap::Settings& settings_;
    admission::AdmissionController& admission_;
    const std::uint64_t incarnation_;
    const RoutesInForce routes_;
    ListenerLimits limits_;
    std::uint64_t last_hop_ = 0;
};

/// Requests to the endpoint beside this proxy.
class EndpointClientProtocol : public ClientProtocol {
  public:
    explicit EndpointClientProtocol(admission::AdmissionController& admission) : admission_(admission) {}
    /// @param path of the endpoint's health check, from the configuration.
    void set_health_path(const std::string& path) { health_path_ = path; }

    void prepare(http::request_header<>& head, const HttpMessage& message, EndpointId to, Time end) override;
    [[nodiscard]] std::string_view exchange_name(const HttpMessage& message) const override;
    [[nodiscard]] bool may_run_incomplete_requests() const override { return true; }
    void prepare_probe(http::request_header<>& head) override;
    [[nodiscard]] std::optional<decision::Status> classify(const http::response_header<>& head,
                                                           const HttpMessage* message,
                                                           EndpointId from) override;
    [[nodiscard]] FieldNames end_to_end_fields() const override { return kEndpointFields; }
    [[nodiscard]] FieldNames fields_that_stand_once() const override { return kEndpointVerdictFields; }
    [[nodiscard]] bool forwards_heads() const override { return true; }
    [[nodiscard]] bool allows_close_delimited() const override { return false; }
    /// Nothing bounds an answer but its request's deadline: it passes through, and little of it is held.
    [[nodiscard]] std::uint64_t max_answer_bytes() const override {
        return std::numeric_limits<std::uint64_t>::max();
    }

  private:
    admission::AdmissionController& admission_;
    std::string health_path_ = "/health";
};

}  // namespace martenford::proxy
