// The sidecar's end of the socket to the helper that keeps its copy of the shared state: started, asked for
// what is kept, given what changes, started again where it dies. On the loop; nothing here waits.
#pragma once

#include <sys/types.h>

#include <boost/asio/local/stream_protocol.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/loop.h"
#include "framing/frame.h"
#include "replica/message.h"

namespace martenford::replica {

class ShelfLink {
  public:
    struct Loaded {
        Stamp horizon = 0;
        std::vector<Named> entries;
    };
    struct Calls {
        /// What the file holds, each time that a helper has opened it; and once where none can. All is to be
        /// put anew then.
        std::function<void(Loaded&&)> loaded;
        std::function<void(std::uint64_t seq)> kept;
    };
    /// Bytes that wait for the helper; over it the link is given up and all is put anew when it works.
    static constexpr std::size_t kMostWaiting = 64 << 20;

    ShelfLink(EventLoop& loop, std::string helper, std::string directory, std::string fleet, Duration life,
              Calls calls);
    ~ShelfLink();

    void start();
    /// Its number, by which `kept` tells.
    /// `anew`: nothing else is to be kept.
    std::uint64_t keep(Stamp horizon, const std::vector<Named>& entries, const std::vector<Name>& gone,
                       bool anew = false);
    bool works() const { return works_; }

  private:
    using Socket = asio::local::stream_protocol::socket;
    bool spawn(int descriptor);
    void read();
    void take(std::string_view frame);
    void flush();
    void lost(const std::string& why);
    void reap();

    EventLoop& loop_;
    const std::string helper_, directory_, fleet_;
    const Duration life_;
    Calls calls_;
    std::shared_ptr<Socket> socket_;
    framing::FrameReader reader_;
    std::string waiting_, writing_;
    std::vector<pid_t> dead_;
    pid_t pid_ = -1;
    Loaded loading_;
    std::uint64_t seq_ = 0;
    int tries_ = 0;
    bool loaded_ = false, works_ = false, said_ = false;
    Timer again_, reap_;
    char bytes_[16 * 1024];
};

}  // namespace martenford::replica
