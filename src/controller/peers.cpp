#include "controller/peers.h"

#include <algorithm>

namespace martenford::controller {

Peers::Peers(raft::Member self, raft::RaftNode& raft, Dependencies dependencies)
    : self_(std::move(self)), raft_(raft), dependencies_(std::move(dependencies)) {}

void Peers::connect(Time now, const std::string& address) {
    if (address == self_.address || peers_.contains(address) || peers_.size() >= kMaxControllers) return;
    const auto parsed = parse_address(address);
    if (!parsed) return;
    Peer& peer = peers_[address];
    peer.last_seen_at = now;
    peer.link = dependencies_.open_link(address, *parsed);
}

void Peers::add_member(Time now, const raft::Member& member) {
    if (member.id == 0 || member.id == self_.id) return;
    connect(now, member.address);
    learn_address(member);
}

void Peers::on_link_message(Time now, const std::string& address) {
    if (const auto peer = peers_.find(address); peer != peers_.end()) peer->second.last_seen_at = now;
}

void Peers::on_link_hello(Time now, const std::string& address, const rpc::Hello& hello) {
    const auto peer = peers_.find(address);
    if (peer == peers_.end()) return;
    peer->second.last_seen_at = now;
    peer->second.member = hello.member;
    on_hello(now, hello);
}

void Peers::on_hello(Time now, const rpc::Hello& hello) {
    // This address belongs to this process: the sender names a member that ran here before a disk was lost.
    if (hello.member.address == self_.address && hello.member.id != self_.id) return;
    add_member(now, hello.member);
    if (const auto peer = peers_.find(hello.member.address); peer != peers_.end()) {
        peer->second.member = hello.member;
        peer->second.last_seen_at = now;
    }
    raft_.add_known_member(now, hello.member, hello.history);
    for (const raft::Member& other : hello.controllers) connect(now, other.address);
}

void Peers::send_hello(Time now, const std::string& address) {
    if (const auto peer = peers_.find(address); peer != peers_.end()) peer->second.link->send(hello(now));
}

void Peers::send(Time now, const raft::Message& message) {
    const std::string address = address_of(message.to);
    if (address.empty()) return;
    connect(now, address);
    if (const auto peer = peers_.find(address); peer != peers_.end()) peer->second.link->send(message);
}

void Peers::tick(Time now) {
    if (now < next_hello_at_) return;
    next_hello_at_ = now + kHelloInterval;
    for (auto peer = peers_.begin(); peer != peers_.end();) {
        if (is_forgettable(now, peer->first, peer->second)) {
            peer = peers_.erase(peer);
            continue;
        }
        send_hello(now, peer->first);
        ++peer;
    }
}

rpc::Hello Peers::hello(Time now) const {
    const bool has_no_history = dependencies_.began_empty && raft_.has_no_history();
    return {self_, known_controllers(now),
            has_no_history ? raft::MemberHistory::None : raft::MemberHistory::Unknown};
}

std::vector<raft::Member> Peers::known_controllers(Time now) const {
    std::map<std::string, raft::Member> by_address{{self_.address, self_}};
    for (const raft::Member& voter : voters()) by_address.emplace(voter.address, voter);
    for (const auto& [address, peer] : peers_) {
        if (peer.member && now - peer.last_seen_at < kKnownControllerMaxAge) {
            by_address[address] = *peer.member;
        }
    }
    std::vector<raft::Member> members;
    members.reserve(by_address.size());
    for (const auto& [address, member] : by_address) members.push_back(member);
    return members;
}

bool Peers::is_voter_address(const std::string& address) const {
    return std::any_of(voters().begin(), voters().end(),
                       [&](const raft::Member& voter) { return voter.address == address; });
}

bool Peers::is_forgettable(Time now, const std::string& address, const Peer& peer) const {
    return !is_voter_address(address) && !dependencies_.is_seed(address) &&
           now - peer.last_seen_at > kPeerForgetAfter;
}

std::string Peers::address_of(raft::MemberId id) const {
    // The agreed set of voters goes before what members said of themselves.
    for (const raft::Member& voter : voters()) {
        if (voter.id == id) return voter.address;
    }
    const auto known = address_by_id_.find(id);
    return known == address_by_id_.end() ? "" : known->second;
}

}  // namespace martenford::controller
