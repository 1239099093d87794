// This controller's connections to the other controllers: whom it knows, the exchange of Hello messages, the
// address of each Raft member, and forgetting those that are gone. No I/O of its own: links are opened
// through a factory, time comes in.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/address.h"
#include "core/scheduler.h"
#include "raft/raft_node.h"
#include "rpc/messages.h"

namespace martenford::controller {

/// Interval of Hello messages to every peer: a new member is known everywhere within two of them.
inline constexpr Duration kHelloInterval = 500ms;
/// A peer last seen longer ago is left out of the lists that are sent to others: six Hellos were lost.
inline constexpr Duration kKnownControllerMaxAge = 3s;
/// A peer that is neither a voter nor a seed and was last seen longer ago is disconnected and forgotten.
inline constexpr Duration kPeerForgetAfter = 20s;
/// Connections to other controllers. Several times the largest control plane; a bound against wrong Hellos.
inline constexpr std::size_t kMaxControllers = 64;

/// An outgoing connection that is kept up. Messages are dropped while it is down: Raft sends again.
class PeerLink {
  public:
    PeerLink() = default;
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;
    virtual ~PeerLink() = default;
    virtual void send(const rpc::Message& message) = 0;
};

/// Addresses are "ip:port" of RPC listeners.
class Peers {
  public:
    struct Dependencies {
        /// Starts connecting; may not call back before it returns.
        std::function<std::unique_ptr<PeerLink>(const std::string& address, const Address& parsed)> open_link;
        /// Seeds are never forgotten.
        std::function<bool(const std::string& address)> is_seed;
        /// RegisterStorage::began_empty(): only then this member can state that it has no history.
        bool began_empty = false;
    };

    /// `raft` outlives this object; its voters are read, and members that introduce themselves are added.
    Peers(raft::Member self, raft::RaftNode& raft, Dependencies dependencies);

    /// Opens a link unless there is one; not to itself, nor to what is no address, nor beyond
    /// kMaxControllers.
    void connect(Time now, const std::string& address);
    /// Connects to a member and remembers its address.
    void add_member(Time now, const raft::Member& member);
    /// Remembers where a member that sent a Raft message to this one can be reached.
    void learn_address(const raft::Member& member) { address_by_id_[member.id] = member.address; }

    /// True if there is a link to `address`.
    [[nodiscard]] bool contains(const std::string& address) const { return peers_.contains(address); }
    /// A Raft message came in on the link to `address`.
    void on_link_message(Time now, const std::string& address);
    /// A Hello came in on the link to `address`.
    void on_link_hello(Time now, const std::string& address, const rpc::Hello& hello);
    /// A Hello came in, on whatever connection: the sender becomes known to Raft, and those that it knows are
    /// connected to.
    void on_hello(Time now, const rpc::Hello& hello);

    /// Sends a Hello on the link to `address`, if there is one.
    void send_hello(Time now, const std::string& address);
    /// Sends a Raft message to its receiver; without a known address it is dropped.
    void send(Time now, const raft::Message& message);
    /// Every kHelloInterval: Hello to every peer, and those that are gone are forgotten.
    void tick(Time now);

    [[nodiscard]] rpc::Hello hello(Time now) const;
    /// This controller, the voters, and the peers seen within kKnownControllerMaxAge; ordered by address.
    [[nodiscard]] std::vector<raft::Member> known_controllers(Time now) const;

  private:
    struct Peer {
        std::unique_ptr<PeerLink> link;
        std::optional<raft::Member> member;  // as it introduced itself
        Time last_seen_at{};
    };

    [[nodiscard]] const std::vector<raft::Member>& voters() const {
        return raft_.persistent_state().last_entry.voters;
    }
    [[nodiscard]] bool is_voter_address(const std::string& address) const;
    [[nodiscard]] bool is_forgettable(Time now, const std::string& address, const Peer& peer) const;
    [[nodiscard]] std::string address_of(raft::MemberId id) const;

    raft::Member self_;
    raft::RaftNode& raft_;
    Dependencies dependencies_;
    std::map<std::string, Peer> peers_;                    // by address; at most kMaxControllers
    std::map<raft::MemberId, std::string> address_by_id_;  // one entry per member ever met
    Time next_hello_at_{};
};

}  // namespace martenford::controller
