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
#include "ledger/pending_records.h"

namespace martenford::ledger {

class WriterLink {
  public:
    /// `boot`: of this process, random. Both references outlive it.
    WriterLink(EventLoop& loop, const Options& options, const std::string& sidecar, std::uint64_t boot,
               Counters& counters);
    ~WriterLink();

    /// Starts the first writer. `heir`: an earlier process of this sidecar may still be finishing.
    void start(bool successor);
    /// Called when records were acknowledged or the writer's state has changed.
    void on_change(std::function<void()> callback) { on_change_ = std::move(callback); }
    /// Takes a record, to be written in this turn of the loop; its sequence is given here. False: there was
    /// no room.
    bool push(Record record);
    std::uint64_t last_sequence() const { return sequence_; }
    const PendingRecords& pending() const { return pending_; }
    /// Calls `done` once all is kept, or `most` has passed: the writer then keeps what it was sent by itself.
    void finish(Duration timeout, std::function<void()> done);

  private:
    using Socket = asio::local::stream_protocol::socket;

    void start_writer();
    bool spawn(int descriptor);
    void read();
    void handle(const FromWriter& message);
    void schedule_flush();
    void flush();
    void writer_lost(const std::string& why);
    void reap();
    void arm_response_timer();
    void notify_change();

    EventLoop& loop_;
    const Options& options_;
    std::string sidecar_;
    std::uint64_t boot_;
    PendingRecords pending_;
    std::shared_ptr<Socket> socket_;
    FrameReader reader_;
    std::string hello_frame_, write_buffer_;
    bool successor_ = false, started_ = false, flush_scheduled_ = false, write_pending_ = false,
         outage_logged_ = false;
    pid_t writer_pid_ = -1;
    std::vector<pid_t> killed_pids_;  // killed, and not reaped yet
    std::uint64_t sequence_ = 0;
    Timer restart_timer_, response_timer_, reap_timer_, finish_timer_;
    std::function<void()> on_change_, on_finished_;
    Counter &records_, &restarts_, &failures_;
    char read_buffer_[16 * 1024];
};

}  // namespace martenford::ledger
