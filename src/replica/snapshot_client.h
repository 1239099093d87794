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

class SnapshotClient {
  public:
    struct Loaded {
        Timestamp horizon = 0;
        std::vector<NamedEntry> entries;
    };
    struct Callbacks {
        /// What the file holds, each time that a helper has opened it; and once where none can. All is to be
        /// put anew then.
        std::function<void(Loaded&&)> loaded;
        std::function<void(std::uint64_t seq)> persisted;
    };
    /// Bytes that wait for the helper; over it the link is given up and all is put anew when it works.
    static constexpr std::size_t kMaxWaitingBytes = 64 << 20;

    SnapshotClient(EventLoop& loop, std::string helper, std::string directory, std::string fleet,
                   Duration tombstone_ttl, Callbacks callbacks);
    ~SnapshotClient();

    void start();
    /// Its number, by which `kept` tells.
    /// `anew`: nothing else is to be kept.
    std::uint64_t persist(Timestamp horizon, const std::vector<NamedEntry>& entries,
                          const std::vector<EntryName>& erased, bool replace_all = false);
    bool available() const { return available_; }

  private:
    using Socket = asio::local::stream_protocol::socket;
    bool spawn(int descriptor);
    void read();
    void handle_frame(std::string_view frame);
    void flush();
    void fail(const std::string& why);
    void reap();

    EventLoop& loop_;
    const std::string helper_, directory_, fleet_;
    const Duration tombstone_ttl_;
    Callbacks callbacks_;
    std::shared_ptr<Socket> socket_;
    framing::FrameReader reader_;
    std::string outgoing_, writing_;
    std::vector<pid_t> unreaped_;
    pid_t pid_ = -1;
    Loaded loading_;
    std::uint64_t seq_ = 0;
    int load_attempts_ = 0;
    bool loaded_ = false, available_ = false, reported_ = false;
    Timer restart_timer_, reap_timer_;
    char buffer_[16 * 1024];
};

}  // namespace martenford::replica
