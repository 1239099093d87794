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
    void move(const Address& address);
    /// How an attempt ended: where a watch is silent and endpoints are not as listed, discovery is asked
    /// anew.
    void saw(EndpointId id, decision::Status status);
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
    bool knows_any() const { return membership_.knows_any(); }
    /// Whether discovery itself has told a list since the start.
    bool heard() const { return heard_; }

  private:
    struct Exchange;

    void ask();
    void drop(std::shared_ptr<Exchange>& exchange);
    void failed(const std::string& why);
    void arrived(const std::string& body);
    void apply(Membership::Update&& update);
    void ask_anew();

    EventLoop& loop_;
    EndpointTable& placement_;
    Engine& engine_;
    const Config& config_;
    Address address_;
    Membership membership_;
    std::shared_ptr<Exchange> exchange_;  // the connection, while watching
    std::shared_ptr<Exchange> silent_;  // and one whose watch seems silent, until the fresh call is answered
    Staleness staleness_;
    std::function<void(const Membership::Drained&, std::uint64_t)> on_drained_;
    Counter& asked_anew_;
    Timer again_, doubt_, suspect_;
    Duration wait_{};
    bool heard_ = false;
    bool whole_ = false;  // the next call asks for the whole list
    std::uint64_t random_;
    simdjson::dom::parser parser_;
};

}  // namespace martenford
