// The sidecar's end of the socket to its journal's writer, and the writer's life: started, greeted, given
// records, killed where it hangs, started again. On the loop; nothing here waits.
#pragma once

#include <sys/types.h>

#include <boost/asio/local/stream_protocol.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/counters.h"
#include "core/loop.h"
#include "ledger/frame.h"
#include "ledger/options.h"
#include "ledger/outbox.h"

namespace martenford::ledger {

class WriterLink {
  public:
    /// `boot`: of this process, random. Both references outlive it.
    WriterLink(EventLoop& loop, const Options& options, const std::string& sidecar, std::uint64_t boot,
               Counters& counters);
    ~WriterLink();

    /// Starts the first writer. `heir`: an earlier process of this sidecar may still be finishing.
    void start(bool heir);
    /// Called when records were acknowledged or the writer's state has changed.
    void on_change(std::function<void()> changed) { changed_ = std::move(changed); }
    /// Takes a record, to be written in this turn of the loop; its sequence is given here. False: there was
    /// no room.
    bool put(Record record);
    std::uint64_t last_sequence() const { return sequence_; }
    const Outbox& outbox() const { return outbox_; }
    /// Calls `done` once all is kept, or `most` has passed: the writer then keeps what it was sent by itself.
    void finish(Duration most, std::function<void()> done);

  private:
    using Socket = asio::local::stream_protocol::socket;

    void start_writer();
    bool spawn(int descriptor);
    void read();
    void take(const FromWriter& message);
    void flush_soon();
    void flush();
    void writer_lost(const std::string& why);
    void reap();
    void watch();
    void changed();

    EventLoop& loop_;
    const Options& options_;
    std::string sidecar_;
    std::uint64_t boot_;
    Outbox outbox_;
    std::shared_ptr<Socket> socket_;
    FrameReader reader_;
    std::string greeting_, writing_;
    bool heir_ = false, started_ = false, flushing_ = false, write_pending_ = false, said_ = false;
    pid_t writer_ = -1;
    std::vector<pid_t> dead_;  // killed, and not reaped yet
    std::uint64_t sequence_ = 0;
    Timer again_, patience_, reap_, finish_;
    std::function<void()> changed_, finished_;
    Counter &records_, &restarts_, &troubles_;
    char bytes_[16 * 1024];
};

}  // namespace martenford::ledger
