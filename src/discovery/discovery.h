// Asks discovery for the list of endpoints and keeps watching it; what a list means is the membership's.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "config/config.h"
#include "core/counters.h"
#include "core/endpoint_table.h"
#include "core/engine.h"
#include "core/loop.h"
#include "membership/membership.h"
#include "membership/staleness.h"

namespace martenford {

class Discovery {
  public:
    Discovery(EventLoop& loop, EndpointTable& placement, Engine& engine, const Config& config,
              const Membership::Options& options, Counters& counters);
    ~Discovery();

    /// Tells the module what the configuration knew. Where lists are pushed, starts to watch.
    void start();
    /// Starts to watch, unless it does already. A failure is told to the module, which asks again.
    void subscribe();
    /// Goes on at another address, at once; what is known stays until the agent there has told its list.
    void set_address(const Address& address);
    /// How an attempt ended: where a watch is silent and endpoints are not as listed, discovery is asked
    /// anew.
    void attempt_ended(EndpointId id, decision::Status status);
    /// What others than discovery say of an endpoint.
    void set_endpoint_override(const std::string& uid,
                               const Membership::EndpointOverride& endpoint_override) {
        apply(membership_.set_endpoint_override(uid, endpoint_override));
    }
    /// Called with each endpoint that discovery no longer lists as ready, and the list's revision.
    void on_drained(std::function<void(const Membership::Drained&, std::uint64_t)> call) {
        on_drained_ = std::move(call);
    }
    std::optional<EndpointId> id_of(const std::string& uid) const { return membership_.id_of(uid); }
    std::optional<std::string> uid_of(EndpointId id) const { return membership_.uid_of(id); }
    /// Whether any endpoint is known to serve.
    bool has_ready() const { return membership_.has_ready(); }
    /// Whether discovery itself has told a list since the start.
    bool received_list() const { return received_list_; }

  private:
    struct Exchange;

    void send_request();
    void close_exchange(std::shared_ptr<Exchange>& exchange);
    void request_failed(const std::string& why);
    void response_received(const std::string& body);
    void apply(Membership::Update&& update);
    void restart_request();

    EventLoop& loop_;
    EndpointTable& placement_;
    Engine& engine_;
    const Config& config_;
    Address address_;
    Membership membership_;
    std::shared_ptr<Exchange> exchange_;  // the connection, while watching
    std::shared_ptr<Exchange>
        old_exchange_;  // and one whose watch seems silent, until the fresh call is answered
    Staleness staleness_;
    std::function<void(const Membership::Drained&, std::uint64_t)> on_drained_;
    Counter& watches_abandoned_;
    Timer retry_timer_, removal_timer_, abandon_timer_;
    Duration retry_delay_{};
    bool received_list_ = false;
    bool request_full_list_ = false;  // the next call asks for the whole list
    std::uint64_t random_;
    simdjson::dom::parser parser_;
};

}  // namespace martenford
