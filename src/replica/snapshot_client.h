// The sidecar's side of the snapshot of the shared state on disk: starts the helper process that writes it,
// loads the stored entries, sends changes, and restarts the helper when it dies. Runs on the event loop and
// never blocks.
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
        /// Called with the stored entries each time that a helper has opened the file, and once with nothing
        /// if none could. The receiver then stores all its entries again.
        std::function<void(Loaded&&)> loaded;
        /// Called when the request with this number, and all before it, are durable.
        std::function<void(std::uint64_t seq)> persisted;
    };
    /// Bytes that wait for the helper. Beyond it the helper is restarted and gets all entries again.
    static constexpr std::size_t kMaxWaitingBytes = 64 << 20;

    SnapshotClient(EventLoop& loop, std::string helper, std::string directory, std::string fleet,
                   Duration tombstone_ttl, Callbacks callbacks);
    ~SnapshotClient();

    void start();
    /// Stores and erases entries. Returns the number of the request, which Callbacks::persisted reports.
    /// @param replace_all erases all other entries
    std::uint64_t persist(Timestamp horizon, const std::vector<NamedEntry>& entries,
                          const std::vector<EntryName>& erased, bool replace_all = false);
    /// Whether a helper has loaded the file and stores changes.
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
