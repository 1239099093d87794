// The sidecar's end of the socket to its journal writer, and the writer's life cycle: it starts the writer,
// sends it records, kills it if it hangs and starts it again. Runs on the event loop and never blocks.
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
    /// `boot` is the random id of this process. The references must outlive the link.
    WriterLink(EventLoop& loop, const Options& options, const std::string& sidecar, std::uint64_t boot,
               Counters& counters);
    ~WriterLink();

    /// Starts the first writer. `successor`: an earlier process of this sidecar may still be finishing.
    void start(bool successor);
    /// Sets the callback for acknowledged records and for changes of the writer's state.
    void on_change(std::function<void()> callback) { on_change_ = std::move(callback); }
    /// Queues a record to be sent at the end of this turn of the loop, and assigns its sequence number.
    /// Returns false if there is no room.
    bool push(Record record);
    std::uint64_t last_sequence() const { return sequence_; }
    const PendingRecords& pending() const { return pending_; }
    /// Calls `done` when every record is durable or `timeout` has passed. After a timeout the writer finishes
    /// storing what it received on its own.
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
    std::vector<pid_t> killed_pids_;  // killed, not reaped yet
    std::uint64_t sequence_ = 0;
    Timer restart_timer_, response_timer_, reap_timer_, finish_timer_;
    std::function<void()> on_change_, on_finished_;
    Counter &records_, &restarts_, &failures_;
    char read_buffer_[16 * 1024];
};

}  // namespace martenford::ledger
