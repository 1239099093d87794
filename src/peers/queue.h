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

class Queue {
  public:
    explicit Queue(std::size_t most_bytes) : most_(most_bytes) {}

    /// What can't be held is dropped: of what waits, the least urgent and oldest first.
    void put(const fleet::Message& message) {
        using Kind = fleet::Message::Kind;
        const std::size_t rank = rank_of(message.kind);
        auto& line = lines_[rank];
        // A link that is pushed back: the later of these says all that the earlier did.
        if (message.kind == Kind::Ping || message.kind == Kind::Compare) {
            for (auto it = line.begin(); it != line.end(); ++it) {
                if (it->kind != message.kind) continue;
                bytes_ -= it->frame.size();
                line.erase(it);
                ++replaced_;
                break;
            }
        }
        line.push_back({message.kind, fleet::frame_of(message)});
        bound(line.back().frame.size());
    }
    /// Behind all that is said of who is alive.
    void put(const fleet::Carried& carried) {
        lines_[kRanks - 1].push_back({fleet::Message::Kind::News, fleet::frame_of(carried)});
        bound(lines_[kRanks - 1].back().frame.size());
    }
    /// Up to about `most` bytes, whole frames, at least one where any waits.
    std::string take(std::size_t most) {
        std::string result;
        for (auto& line : lines_) {
            while (!line.empty() && (result.empty() || result.size() + line.front().frame.size() <= most)) {
                result += line.front().frame;
                bytes_ -= line.front().frame.size();
                line.pop_front();
            }
            if (!line.empty()) break;  // nothing less urgent slips past it
        }
        return result;
    }
    bool empty() const { return bytes_ == 0; }
    std::size_t bytes() const { return bytes_; }
    std::uint64_t dropped() const { return dropped_; }
    std::uint64_t replaced() const { return replaced_; }

  private:
    static constexpr std::size_t kRanks = 4;
    void bound(std::size_t more) {
        bytes_ += more;
        for (std::size_t i = kRanks; bytes_ > most_ && i-- > 0;) {
            while (bytes_ > most_ && !lines_[i].empty()) {
                bytes_ -= lines_[i].front().frame.size();
                lines_[i].pop_front();
                ++dropped_;
            }
        }
    }
    static std::size_t rank_of(fleet::Message::Kind kind) {
        using Kind = fleet::Message::Kind;
        switch (kind) {
            case Kind::Ping:
            case Kind::Ask:
            case Kind::Ack:
            case Kind::Nack:
                return 0;  // whose lateness is held against somebody
            case Kind::News:
            case Kind::Bye:
                return 1;
            case Kind::Compare:
            case Kind::Entries:
                break;
        }
        return 2;
    }
    struct Item {
        fleet::Message::Kind kind;
        std::string frame;
    };
    std::size_t most_, bytes_ = 0;
    std::array<std::deque<Item>, kRanks> lines_;
    std::uint64_t dropped_ = 0, replaced_ = 0;
};

}  // namespace martenford::peers
