#include "ledger/writer_link.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <climits>
#include <csignal>
#include <cstring>
#include <utility>
#include <vector>

#include "core/events.h"
#include "core/wall_clock.h"
#include "helper/helper.h"

namespace martenford::ledger {

using boost::system::error_code;

namespace {

constexpr std::size_t kMostWrite = 64 * 1024;  // handed to the socket at once
constexpr Duration kReapAgain = 50ms;          // a killed writer may hang in the kernel: it is not waited for

std::string milliseconds(Duration d) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

}  // namespace

WriterLink::WriterLink(EventLoop& loop, const Options& options, const std::string& sidecar,
                       std::uint64_t boot, Counters& counters)
    : loop_(loop),
      options_(options),
      sidecar_(sidecar),
      boot_(boot),
      outbox_(options.queue),
      again_(loop),
      patience_(loop),
      reap_(loop),
      finish_(loop),
      records_(counters.counter("ledger.records", "records handed to the journal")),
      restarts_(counters.counter("ledger.writer_starts", "starts of the journal's writer")),
      troubles_(counters.counter("ledger.writer_troubles",
                                 "times that the writer died, hung or could keep nothing")) {
    counters.gauge("ledger.waiting", "records not yet durable",
                   [this] { return static_cast<double>(outbox_.records()); });
    counters.gauge("ledger.works", "1 while records are made durable",
                   [this] { return outbox_.health() == Outbox::Health::Up ? 1.0 : 0.0; });
    counters.gauge("ledger.dropped", "records that found no room",
                   [this] { return static_cast<double>(outbox_.dropped()); });
}

WriterLink::~WriterLink() {
    if (socket_) {
        error_code ignored;
        socket_->close(ignored);
    }
}

void WriterLink::start(bool heir) {
    heir_ = heir;
    started_ = true;
    start_writer();
}

void WriterLink::start_writer() {
    int ends[2];
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) != 0)
        return writer_lost(std::string("no socket for a writer: ") + std::strerror(errno));
    const bool spawned = spawn(ends[1]);
    ::close(ends[1]);
    if (!spawned) {
        ::close(ends[0]);
        return writer_lost("no writer can be started");
    }
    socket_ = std::make_shared<Socket>(loop_.io(), asio::local::stream_protocol(), ends[0]);
    error_code ignored;
    socket_->non_blocking(true, ignored);
    reader_ = {};
    restarts_.add();
    outbox_.started(EventLoop::monotonic());
    greeting_ = frame_of(ToWriter{Hello{kLinkVersion, boot_, sidecar_, wall_ms()}});
    read();
    flush();
    watch();
    changed();
}

bool WriterLink::spawn(int descriptor) {
    const std::string helper = options_.helper.empty() ? helper_beside_this_program() : options_.helper;
    std::vector<std::string> words{helper,
                                   "writer",
                                   "--directory",
                                   options_.directory,
                                   "--batch-records",
                                   std::to_string(options_.batch.most_records),
                                   "--batch-delay-us",
                                   std::to_string(options_.batch.delay.count() / 1000),
                                   "--most-bytes",
                                   std::to_string(options_.most_bytes),
                                   "--keep-ms",
                                   milliseconds(options_.keep),
                                   "--keep-archives-ms",
                                   milliseconds(options_.keep_archives)};
    if (heir_) words.push_back("--heir");
    writer_ = start_helper(std::move(words), descriptor);
    return writer_ > 0;
}

bool WriterLink::put(Record record) {
    record.sequence = sequence_ + 1;
    std::string frame;
    try {
        frame = frame_of(ToWriter{std::move(record)});
    } catch (const FrameError&) {
        return false;  // a name longer than the bounds of any front allow
    }
    if (!outbox_.put(sequence_ + 1, std::move(frame))) return false;
    ++sequence_;
    records_.add();
    flush_soon();
    return true;
}

/// At the end of the turn: what came in one turn goes out in one write.
void WriterLink::flush_soon() {
    if (std::exchange(flushing_, true)) return;
    asio::post(loop_.io(), [this] {
        flushing_ = false;
        flush();
    });
}

void WriterLink::flush() {
    if (!socket_ || write_pending_) return;
    writing_ = std::exchange(greeting_, {}) + outbox_.unsent(kMostWrite, EventLoop::monotonic());
    if (writing_.empty()) return;
    write_pending_ = true;
    watch();
    asio::async_write(*socket_, asio::buffer(writing_),
                      [this, socket = socket_](const error_code& error, std::size_t) {
                          if (socket != socket_) return;  // of a writer that is gone
                          write_pending_ = false;
                          if (error) return writer_lost("its socket: " + error.message());
                          flush();
                      });
}

void WriterLink::read() {
    socket_->async_read_some(asio::buffer(bytes_),
                             [this, socket = socket_](const error_code& error, std::size_t size) {
                                 if (socket != socket_) return;
                                 if (error) return writer_lost("the writer has ended");
                                 try {
                                     reader_.feed({bytes_, size});
                                     while (const auto message = reader_.next())
                                         take(read_from_writer(*message));
                                 } catch (const FrameError& fault) {
                                     return writer_lost(fault.what());
                                 }
                                 if (socket != socket_) return;
                                 flush();
                                 watch();
                                 read();
                             });
}

void WriterLink::take(const FromWriter& message) {
    const Time now = EventLoop::monotonic();
    if (const auto* ack = std::get_if<Ack>(&message)) {
        outbox_.acked(ack->up_to, now);
    } else if (const auto* trouble = std::get_if<Trouble>(&message)) {
        if (outbox_.health() != Outbox::Health::Troubled) troubles_.add();
        if (!std::exchange(said_, true))
            log_event(Event::JournalWriterLost, "the journal keeps nothing now: " + trouble->what);
        outbox_.troubled(trouble->what, now);
        return changed();
    } else {
        outbox_.ready(now);
    }
    if (outbox_.health() == Outbox::Health::Up && std::exchange(said_, false))
        log_event(Event::JournalRecovered, "the journal works again");
    changed();
}

/// A line of log where that begins, none for each further start.
void WriterLink::writer_lost(const std::string& why) {
    troubles_.add();
    if (!std::exchange(said_, true))
        log_event(Event::JournalWriterLost, "the journal's writer is lost, and started again: " + why);
    if (socket_) {
        error_code ignored;
        socket_->close(ignored);
        socket_.reset();
    }
    write_pending_ = false;
    if (writer_ > 0) {
        ::kill(writer_, SIGKILL);
        dead_.push_back(std::exchange(writer_, -1));
    }
    reap();
    outbox_.lost(why, EventLoop::monotonic());
    again_.set(*outbox_.restart_at(), [this] { start_writer(); });
    patience_.cancel();
    changed();
}

void WriterLink::reap() {
    std::erase_if(dead_, [](pid_t pid) { return ::waitpid(pid, nullptr, WNOHANG) != 0; });
    if (dead_.empty()) return;
    reap_.set(EventLoop::monotonic() + kReapAgain, [this] { reap(); });
}

void WriterLink::watch() {
    const auto until = outbox_.patience_ends();
    if (!until) return patience_.cancel();
    patience_.set(*until, [this] {
        if (outbox_.hangs(EventLoop::monotonic())) return writer_lost("it owes an answer for too long");
        watch();
    });
}

void WriterLink::changed() {
    if (changed_) changed_();
    if (finished_ && outbox_.records() == 0) {
        finish_.cancel();
        std::exchange(finished_, nullptr)();
    }
}

void WriterLink::finish(Duration most, std::function<void()> done) {
    finished_ = std::move(done);
    finish_.set(EventLoop::monotonic() + most, [this] {
        if (finished_) std::exchange(finished_, nullptr)();
    });
    flush();
    changed();
}

}  // namespace martenford::ledger
