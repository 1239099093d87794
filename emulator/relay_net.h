// What lies between the processes of a fleet: a relay of ours in each link, with faults for each ordered
// pair. A member listens at an address of its own and advertises its relay's; whoever dials is known by the
// address that it dials from, so that each pair is known, also where addresses are learnt from others.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/address.h"
#include "core/loop.h"

namespace martenford::emulator {

/// Of what the first says to the second. Frames are the unit, as messages are of the protocol.
struct LinkFaults {
    bool cut = false;  ///< held, as a network that loses it holds a TCP stream, until it is mended
    Duration delay{}, jitter{};
    double drop = 0.0, duplicate = 0.0, reorder = 0.0, corrupt = 0.0, reset = 0.0;  ///< shares of frames
    std::size_t bytes_a_second = 0;                                                 ///< 0: no bound
    std::size_t most_frame = 0;  ///< longer ones are lost; 0: none are
};

class RelayNet {
  public:
    RelayNet(EventLoop& loop, std::uint64_t seed);
    ~RelayNet();

    /// Where this member is to listen (port 0) and what it is to advertise.
    static std::string host_of(std::size_t member);
    std::string advertised(std::size_t member);
    /// It is up, and listens here.
    void up(std::size_t member, const Address& at);
    /// Nobody listens there any more: dials are refused.
    void down(std::size_t member);

    /// Changed by whoever plays; take effect with the next frame.
    LinkFaults& faults(std::size_t from, std::size_t to) { return faults_[{from, to}]; }
    /// To be called when a cut is mended: what was held goes on.
    void mended();
    void each_pair(const std::set<std::size_t>& from, const std::set<std::size_t>& to,
                   const std::function<void(LinkFaults&)>& what);
    void heal();
    /// Ends the links between these two now, with a reset.
    void reset(std::size_t a, std::size_t b);
    std::uint64_t frames() const { return frames_; }
    std::uint64_t bytes() const { return bytes_; }

  private:
    struct Member;
    class Wire;
    void accept(std::size_t member);
    Member& member(std::size_t index);
    double chance() { return static_cast<double>(random_() >> 11) * 0x1p-53; }

    EventLoop& loop_;
    std::mt19937_64 random_;
    std::map<std::size_t, std::unique_ptr<Member>> members_;
    std::map<std::pair<std::size_t, std::size_t>, LinkFaults> faults_;
    std::set<std::shared_ptr<Wire>> wires_;
    std::uint64_t frames_ = 0, bytes_ = 0;
};

}  // namespace martenford::emulator
