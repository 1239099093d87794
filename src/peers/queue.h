// What waits to be written on one link: bounded in bytes, what is needed soonest first, and what a later
// message replaces goes. Pure.
#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <string>
#include <utility>

#include "fleet/wire.h"

namespace martenford::peers {

class SendQueue {
  public:
    explicit SendQueue(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /// What can't be held is dropped: of what waits, the least urgent and oldest first.
    void put(const fleet::Message& message) {
        using Kind = fleet::Message::Kind;
        const std::size_t priority = priority_of(message.kind);
        auto& queue = queues_[priority];
        // A link that is pushed back: the later of these says all that the earlier did.
        if (message.kind == Kind::Ping || message.kind == Kind::SyncRequest) {
            for (auto it = queue.begin(); it != queue.end(); ++it) {
                if (it->kind != message.kind) continue;
                bytes_ -= it->frame.size();
                queue.erase(it);
                ++replaced_;
                break;
            }
        }
        queue.push_back({message.kind, fleet::frame_of(message)});
        enforce_limit(queue.back().frame.size());
    }
    /// Behind all that is said of who is alive.
    void put(const fleet::Payload& payload) {
        queues_[kPriorities - 1].push_back({fleet::Message::Kind::Gossip, fleet::frame_of(payload)});
        enforce_limit(queues_[kPriorities - 1].back().frame.size());
    }
    /// Up to about `most` bytes, whole frames, at least one where any waits.
    std::string take(std::size_t max) {
        std::string result;
        for (auto& queue : queues_) {
            while (!queue.empty() && (result.empty() || result.size() + queue.front().frame.size() <= max)) {
                result += queue.front().frame;
                bytes_ -= queue.front().frame.size();
                queue.pop_front();
            }
            if (!queue.empty()) break;  // nothing less urgent slips past it
        }
        return result;
    }
    bool empty() const { return bytes_ == 0; }
    std::size_t bytes() const { return bytes_; }
    std::uint64_t dropped() const { return dropped_; }
    std::uint64_t replaced() const { return replaced_; }

  private:
    static constexpr std::size_t kPriorities = 4;
    void enforce_limit(std::size_t added) {
        bytes_ += added;
        for (std::size_t i = kPriorities; bytes_ > max_bytes_ && i-- > 0;) {
            while (bytes_ > max_bytes_ && !queues_[i].empty()) {
                bytes_ -= queues_[i].front().frame.size();
                queues_[i].pop_front();
                ++dropped_;
            }
        }
    }
    static std::size_t priority_of(fleet::Message::Kind kind) {
        using Kind = fleet::Message::Kind;
        switch (kind) {
            case Kind::Ping:
            case Kind::PingRequest:
            case Kind::Ack:
            case Kind::Nack:
                return 0;  // whose lateness is held against somebody
            case Kind::Gossip:
            case Kind::LinkClosing:
                return 1;
            case Kind::SyncRequest:
            case Kind::MemberList:
                break;
        }
        return 2;
    }
    struct Item {
        fleet::Message::Kind kind;
        std::string frame;
    };
    std::size_t max_bytes_, bytes_ = 0;
    std::array<std::deque<Item>, kPriorities> queues_;
    std::uint64_t dropped_ = 0, replaced_ = 0;
};

}  // namespace martenford::peers
