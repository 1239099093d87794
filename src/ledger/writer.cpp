#include "ledger/writer.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <iostream>
#include <optional>
#include <thread>
#include <vector>

#include "core/wall_clock.h"
#include "ledger/archive.h"
#include "ledger/book.h"
#include "ledger/frame.h"

namespace martenford::ledger {

namespace {

constexpr Duration kClaim = 3s;  // for an earlier writer to keep what it was sent, and end
constexpr Duration kClaimAgain = 20ms;
constexpr Duration kTryAgain = 200ms;        // after a batch that could not be kept
constexpr Duration kHeirLooks = 500ms;       // whether the elder has ended
constexpr Duration kIdle = 1s;               // without a record: time for what can wait
constexpr std::size_t kConcludeStep = 2000;  // requests a transaction: some 30 ms
constexpr std::size_t kReadSize = 256 * 1024;
constexpr std::size_t kArchiveLeast = 1000;  // settled requests that are worth an archive

Time now() {
    return Time{std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())};
}
void wait(Duration how_long) {
    std::this_thread::sleep_for(how_long);
}

/// A file that one process at a time holds, for as long as it lives.
class Lock {
  public:
    explicit Lock(const std::string& path) : file_(::open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600)) {
        if (file_ < 0)
            throw store::StoreError(store::ErrorKind::ReadOnly, path + ": " + std::strerror(errno));
    }
    Lock(const Lock&) = delete;
    Lock& operator=(const Lock&) = delete;
    ~Lock() { ::close(file_); }
    bool take() { return held_ || (held_ = ::flock(file_, LOCK_EX | LOCK_NB) == 0); }
    bool take_within(Duration most) {
        for (const Time end = now() + most; !take(); wait(kClaimAgain)) {
            if (now() >= end) return false;
        }
        return true;
    }
    void release() {
        if (std::exchange(held_, false)) ::flock(file_, LOCK_UN);
    }

  private:
    int file_;
    bool held_ = false;
};

class Writer {
  public:
    explicit Writer(const WriterOptions& options)
        : options_(options),
          owner_(options.directory + "/owner.lock"),
          heir_(options.directory + "/heir.lock"),
          commit_(options.batch) {}

    int run() {
        if (!claim()) {
            say("another sidecar's journal is in " + options_.directory);
            return kWriterNotOwner;
        }
        if (!read_hello()) return kWriterBadPeer;
        open_book();
        tell(Ready{});
        for (;;) {
            if (commit_.due(now())) keep_batch();
            if (ended_ && commit_.records() == 0) break;
            if (ended_) {
                keep_batch();
                continue;
            }
            try {
                take_in(patience());
            } catch (const FrameError&) {
                if (commit_.records() > 0) keep_batch();  // what came before can be read
                throw;
            }
        }
        return kWriterDone;
    }

  private:
    /// An heir writes beside its elder, whose file it is too: SQLite orders the two. What the elder left open
    /// is looked into once its lock is free.
    bool claim() {
        if (!options_.heir) return owner_.take_within(kClaim);
        return owner_.take() || heir_.take_within(kClaim);
    }
    void open_book() {
        auto book = std::make_unique<Book>(options_.directory, true, store_options());
        boot_ = book->open_boot(hello_);
        // Only now. Guards against records without a boot, where the disk was full for that one step.
        book_ = std::move(book);
        concluded_ = false;
        owner_taken_ = owner_.take();
        if (owner_taken_) heir_.release();
    }
    store::Options store_options() const {
        store::Options result;
        result.max_bytes = options_.most_bytes;
        return result;
    }

    /// How long nothing needs to be done but to listen.
    Duration patience() const {
        if (const auto due = commit_.next_due()) return std::max(Duration{}, *due - now());
        if (!concluded_) return owner_taken_ ? Duration{} : kHeirLooks;
        return kIdle;
    }

    void take_in(Duration most) {
        pollfd poll_for{options_.descriptor, POLLIN, 0};
        const auto nanoseconds = most.count();
        const timespec limit{nanoseconds / 1'000'000'000, nanoseconds % 1'000'000'000};
        const int got = ::ppoll(&poll_for, 1, &limit, nullptr);
        if (got == 0 && commit_.records() == 0) return while_idle();
        if (got <= 0) return;
        read_some();
        while (commit_.has_room()) {
            const auto message = reader_.next();
            if (!message) break;
            take(read_to_writer(*message), message->size());
        }
    }
    void read_some() {
        // What did not fit the last batch comes first.
        if (!reader_.empty() && !commit_.has_room()) return;
        char bytes[kReadSize];
        const auto size = ::recv(options_.descriptor, bytes, sizeof bytes, MSG_DONTWAIT);
        if (size > 0) return reader_.feed({bytes, static_cast<std::size_t>(size)});
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
        ended_ = true;  // also by a reset: what came before it has been read
    }
    void take(ToWriter&& message, std::size_t bytes) {
        if (!std::holds_alternative<Record>(message)) throw FrameError("a second greeting");
        auto& record = std::get<Record>(message);
        commit_.add(bytes, record.urgent, now());
        batch_.push_back(std::move(record));
    }

    /// Until it is kept, whatever that takes: its sidecar decides what goes on meanwhile, and has its own
    /// patience.
    void keep_batch() {
        for (;;) {
            try {
                if (!book_) open_book();
                book_->write(boot_, batch_);
                break;
            } catch (const store::StoreError& error) {
                say(error.what());
                // After a failed sync nothing that the kernel holds of the file is to be trusted: opening it
                // anew reads what is there and writes it again before anything is acknowledged.
                if (error.kind != store::ErrorKind::Full && error.kind != store::ErrorKind::Busy)
                    book_.reset();
                if (error.kind == store::ErrorKind::Corrupt || error.kind == store::ErrorKind::Newer) throw;
                tell(Trouble{std::string(store::name_of(error.kind)) + ": " + error.what()});
                if (gone()) throw;
                wait(kTryAgain);
            }
        }
        const std::uint64_t up_to = batch_.back().sequence;
        batch_.clear();
        commit_.closed();
        tell(Ack{up_to});
        drain_reader();
    }
    /// Frames that were read already and had no room in the last batch.
    void drain_reader() {
        while (commit_.has_room()) {
            const auto message = reader_.next();
            if (!message) break;
            take(read_to_writer(*message), message->size());
        }
    }
    /// Whether nobody waits for the batch any more, and it can't be kept.
    bool gone() {
        pollfd poll_for{options_.descriptor, 0, 0};
        return ::poll(&poll_for, 1, 0) > 0 && (poll_for.revents & (POLLHUP | POLLERR));
    }

    /// Off the busy time, in steps: what earlier boots left open, then what is old enough for an archive.
    void while_idle() {
        try {
            if (!book_) open_book();
            if (!owner_taken_) {
                owner_taken_ = owner_.take();
                if (!owner_taken_) return;
                heir_.release();
            }
            if (!concluded_) {
                concluded_ = book_->conclude_before(boot_, wall_ms(), kConcludeStep);
                return;
            }
            if (options_.keep > Duration{} && now() >= archive_at_) {
                Archives archives(options_.directory);
                const auto moved = archives.move_settled(
                    *book_,
                    wall_ms() - std::chrono::duration_cast<std::chrono::milliseconds>(options_.keep).count(),
                    kArchiveLeast);
                if (moved == 0) {
                    archives.prune(wall_ms() - std::chrono::duration_cast<std::chrono::milliseconds>(
                                                   options_.keep_archives)
                                                   .count());
                    archive_at_ = now() + std::chrono::minutes(1);
                }
            }
        } catch (const store::StoreError& error) {
            say(error.what());
            if (error.kind != store::ErrorKind::Full && error.kind != store::ErrorKind::Busy) book_.reset();
            wait(kTryAgain);
        }
    }

    bool read_hello() {
        for (const Time end = now() + kClaim; now() < end;) {
            if (const auto message = reader_.next()) {
                auto first = read_to_writer(*message);
                const auto* hello = std::get_if<Hello>(&first);
                if (!hello || hello->version != kLinkVersion) return false;
                hello_ = *hello;
                return true;
            }
            pollfd poll_for{options_.descriptor, POLLIN, 0};
            ::poll(&poll_for, 1, 100);
            read_some();
            if (ended_ && reader_.empty()) return false;
        }
        return false;
    }

    /// Its sidecar reads all the time; where it does not, it hears nothing and its patience ends.
    void tell(const FromWriter& message) {
        const std::string frame = frame_of(message);
        for (std::size_t done = 0; done < frame.size();) {
            const auto n =
                ::send(options_.descriptor, frame.data() + done, frame.size() - done, MSG_NOSIGNAL);
            if (n < 0 && errno == EINTR) continue;
            if (n <= 0) return;  // it has gone; what it sent is kept all the same
            done += static_cast<std::size_t>(n);
        }
    }
    static void say(const std::string& line) {
        std::cerr << "martenford-ledger: " + line + "\n" << std::flush;
    }

    const WriterOptions& options_;
    Lock owner_, heir_;
    GroupCommit commit_;
    FrameReader reader_;
    Hello hello_;
    std::unique_ptr<Book> book_;
    std::int64_t boot_ = 0;
    std::vector<Record> batch_;
    Time archive_at_{};
    bool ended_ = false, concluded_ = false, owner_taken_ = false;
};

}  // namespace

int run_writer(const WriterOptions& options) {
    ::umask(0077);  // what was sent where is nobody else's matter
    // It ends with its sidecar, after what the sidecar sent is kept: a signal to the group must not end it
    // before.
    std::signal(SIGTERM, SIG_IGN);
    std::signal(SIGINT, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);  // a limit on files is a failed write
    try {
        return Writer(options).run();
    } catch (const FrameError& error) {
        std::cerr << "martenford-ledger: " << error.what() << "\n";
        return kWriterBadPeer;
    } catch (const std::exception& error) {
        std::cerr << "martenford-ledger: " << error.what() << "\n";
        return kWriterFailed;
    }
}

}  // namespace martenford::ledger
