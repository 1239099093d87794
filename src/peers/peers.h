// Links between the sidecars of a fleet, over TCP, and this process's place in it. The only package that
// holds sockets to other sidecars; who is alive is decided by fleet::Fleet.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/address.h"
#include "core/counters.h"
#include "core/loop.h"
#include "fleet/fleet.h"
#include "peers/queue.h"

namespace martenford::peers {

class Peers {
  public:
    /// Descriptors beside the links': the listener, and one that is accepted only to be told that there is no
    /// room.
    static constexpr std::size_t kOtherSockets = 2;

    /// `name`, `zone`: this sidecar's; `heir`: an earlier process of it hands over to this one. `options`
    /// outlives it.
    Peers(EventLoop& loop, const fleet::Options& options, std::string name, std::string zone,
          std::string version, Counters& counters);
    ~Peers();

    void start(bool successor);
    /// Tells the others. The links stay until the process ends.
    void leave();
    /// Calls of operators: "fleet members", "fleet links", "fleet events SINCE", "fleet
    /// turns SINCE". Nothing where it is none of
    /// these.
    std::optional<std::string> answer(std::string_view line) const;
    /// What another package says over the same links: `call` gets what comes, from whom, and where they are
    /// reached. It throws framing::FrameError where it can't be read, and the link ends.
    using PayloadHandler =
        std::function<void(const fleet::Id& from, const std::string& address, const std::string& bytes)>;
    void on_payload(PayloadHandler call) { on_payload_ = std::move(call); }
    /// May be lost, as a link may be.
    void send_payload(const std::string& address, std::string bytes);
    std::vector<fleet::Fleet::MemberAddress> sample_peers(std::size_t count) {
        return fleet_ ? fleet_->sample_peers(count) : std::vector<fleet::Fleet::MemberAddress>{};
    }
    const fleet::Fleet* fleet() const { return fleet_ ? &*fleet_ : nullptr; }

  private:
    class Link;
    using Links = std::list<std::shared_ptr<Link>>;

    void listen();
    void accept();
    bool permitted(const Address& from) const;
    void pump();
    void send(fleet::Fleet::Outgoing&& outgoing);
    std::shared_ptr<Link> link_to(const std::string& address);
    std::shared_ptr<Link> dial(const std::string& address);
    std::shared_ptr<Link> find_open_link(const std::string& address);
    void reject(asio::ip::tcp::socket& socket);
    bool make_room();
    void hello_received(Link& link);
    void message_received(Link& link, const fleet::Message& message);
    void link_closed(Link& link, fleet::Evidence evidence);
    void report(const fleet::FleetEvent& fleet_event);
    std::string members() const;
    std::string links() const;
    std::string events(std::uint64_t since) const;
    std::string state_changes(std::uint64_t since) const;

    EventLoop& loop_;
    const fleet::Options& options_;
    const std::string name_, zone_, version_;
    bool successor_ = false, listens_on_any_address_ = false, listen_failure_logged_ = false;
    Address listen_;
    PayloadHandler on_payload_;
    std::optional<fleet::Fleet> fleet_;
    asio::ip::tcp::acceptor acceptor_;
    Timer tick_, listen_retry_, leave_;
    Links links_;
    std::map<std::string, std::weak_ptr<Link>> by_address_;  ///< the link that is written to
    /// Addresses whose links are refused for a while: floods.
    std::map<asio::ip::address, Time> banned_;
    /// What operators may read again, with a number each.
    std::deque<std::pair<std::uint64_t, std::string>> events_;
    std::uint64_t last_event_ = 0;
    struct NumberedStateChange {
        std::uint64_t number = 0;
        Time at{};
        fleet::StateChange change;
    };
    std::deque<NumberedStateChange> state_changes_;
    std::uint64_t last_state_change_ = 0;
    bool pumping_ = false;
    Counter &bytes_in_, &bytes_out_, &links_opened_, &links_refused_, &messages_dropped_, &bad_links_;
};

}  // namespace martenford::peers
