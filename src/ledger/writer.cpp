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
#include "ledger/frame.h"
#include "ledger/journal_database.h"

namespace martenford::ledger {

namespace {

constexpr Duration kLockTimeout = 3s;  // time for an earlier writer to store what it received and exit
constexpr Duration kLockRetry = 20ms;
constexpr Duration kRetryDelay = 200ms;       // after a batch that could not be stored
constexpr Duration kPredecessorPoll = 500ms;  // interval of the check whether the predecessor has exited
constexpr Duration kIdlePoll = 1s;            // without records; leaves time for maintenance
constexpr std::size_t kConcludeBatch = 2000;  // requests per transaction; takes about 30 ms
constexpr std::size_t kReadBytes = 256 * 1024;
constexpr std::size_t kMinArchiveRequests = 1000;  // fewer settled requests are not worth an archive

Time now() {
    return Time{std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())};
}
void sleep_for(Duration duration) {
    std::this_thread::sleep_for(duration);
}

/// A lock file held by at most one process, for as long as the process lives.
class Lock {
  public:
    explicit Lock(const std::string& path) : file_(::open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600)) {
        if (file_ < 0)
            throw store::StoreError(store::ErrorKind::ReadOnly, path + ": " + std::strerror(errno));
    }
    Lock(const Lock&) = delete;
    Lock& operator=(const Lock&) = delete;
    ~Lock() { ::close(file_); }
    bool try_lock() { return locked_ || (locked_ = ::flock(file_, LOCK_EX | LOCK_NB) == 0); }
    bool lock_within(Duration timeout) {
        for (const Time end = now() + timeout; !try_lock(); sleep_for(kLockRetry)) {
            if (now() >= end) return false;
        }
        return true;
    }
    void unlock() {
        if (std::exchange(locked_, false)) ::flock(file_, LOCK_UN);
    }

  private:
    int file_;
    bool locked_ = false;
};

class Writer {
  public:
    explicit Writer(const WriterOptions& options)
        : options_(options),
          owner_lock_(options.directory + "/owner.lock"),
          successor_lock_(options.directory + "/heir.lock"),
          commit_(options.batch) {}

    int run() {
        if (!acquire_lock()) {
            log_error("another sidecar's journal is in " + options_.directory);
            return kWriterNotOwner;
        }
        if (!read_hello()) return kWriterBadPeer;
        open_database();
        send_message(Ready{});
        for (;;) {
            if (commit_.due(now())) commit_batch();
            if (input_closed_ && commit_.records() == 0) break;
            if (input_closed_) {
                commit_batch();
                continue;
            }
            try {
                receive(poll_timeout());
            } catch (const FrameError&) {
                if (commit_.records() > 0) commit_batch();  // what came before can be read
                throw;
            }
        }
        return kWriterDone;
    }

  private:
    /// During a handover the successor's writer works on the same file beside its predecessor's; SQLite
    /// serialises the two. What the predecessor left open is concluded once its lock is free.
    bool acquire_lock() {
        if (!options_.successor) return owner_lock_.lock_within(kLockTimeout);
        return owner_lock_.try_lock() || successor_lock_.lock_within(kLockTimeout);
    }
    void open_database() {
        auto database = std::make_unique<JournalDatabase>(options_.directory, true, store_options());
        boot_ = database->register_boot(hello_);
        // Only now: if the disk was full just for register_boot(), records would be written without a boot.
        database_ = std::move(database);
        earlier_boots_concluded_ = false;
        owner_locked_ = owner_lock_.try_lock();
        if (owner_locked_) successor_lock_.unlock();
    }
    store::Options store_options() const {
        store::Options result;
        result.max_bytes = options_.max_bytes;
        return result;
    }

    /// How long receive() may wait before something else has to be done.
    Duration poll_timeout() const {
        if (const auto due = commit_.next_due()) return std::max(Duration{}, *due - now());
        if (!earlier_boots_concluded_) return owner_locked_ ? Duration{} : kPredecessorPoll;
        return kIdlePoll;
    }

    void receive(Duration timeout) {
        pollfd poll_for{options_.descriptor, POLLIN, 0};
        const auto nanoseconds = timeout.count();
        const timespec limit{nanoseconds / 1'000'000'000, nanoseconds % 1'000'000'000};
        const int got = ::ppoll(&poll_for, 1, &limit, nullptr);
        if (got == 0 && commit_.records() == 0) return run_maintenance();
        if (got <= 0) return;
        read_socket();
        while (commit_.has_room()) {
            const auto message = reader_.next();
            if (!message) break;
            add_record(read_to_writer(*message), message->size());
        }
    }
    void read_socket() {
        // Messages that did not fit into the last batch come first.
        if (!reader_.empty() && !commit_.has_room()) return;
        char bytes[kReadBytes];
        const auto size = ::recv(options_.descriptor, bytes, sizeof bytes, MSG_DONTWAIT);
        if (size > 0) return reader_.feed({bytes, static_cast<std::size_t>(size)});
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
        input_closed_ = true;  // also after a reset: everything before it has been read
    }
    void add_record(ToWriter&& message, std::size_t bytes) {
        if (!std::holds_alternative<Record>(message)) throw FrameError("unexpected second Hello message");
        auto& record = std::get<Record>(message);
        commit_.add(bytes, record.urgent, now());
        batch_.push_back(std::move(record));
    }

    /// Retries until the batch is stored, however long that takes: the sidecar decides what happens to
    /// requests meanwhile and has its own timeout.
    void commit_batch() {
        for (;;) {
            try {
                if (!database_) open_database();
                database_->write(boot_, batch_);
                break;
            } catch (const store::StoreError& error) {
                log_error(error.what());
                // After a failed sync, the kernel's cache of the file cannot be trusted. Reopening the file
                // reads what is really there, and the batch is written again before anything is acknowledged.
                if (error.kind != store::ErrorKind::Full && error.kind != store::ErrorKind::Busy)
                    database_.reset();
                if (error.kind == store::ErrorKind::Corrupt || error.kind == store::ErrorKind::Newer) throw;
                send_message(Trouble{std::string(store::name_of(error.kind)) + ": " + error.what()});
                if (peer_closed()) throw;
                sleep_for(kRetryDelay);
            }
        }
        const std::uint64_t up_to = batch_.back().sequence;
        batch_.clear();
        commit_.reset();
        send_message(Ack{up_to});
        add_buffered_records();
    }
    /// Adds messages that were read already but did not fit into the last batch.
    void add_buffered_records() {
        while (commit_.has_room()) {
            const auto message = reader_.next();
            if (!message) break;
            add_record(read_to_writer(*message), message->size());
        }
    }
    /// Whether the sidecar is gone, so that nobody waits for a batch that cannot be stored.
    bool peer_closed() {
        pollfd poll_for{options_.descriptor, 0, 0};
        return ::poll(&poll_for, 1, 0) > 0 && (poll_for.revents & (POLLHUP | POLLERR));
    }

    /// Runs while idle, in small steps: first concludes requests that earlier boots left open, then moves old
    /// requests to archives.
    void run_maintenance() {
        try {
            if (!database_) open_database();
            if (!owner_locked_) {
                owner_locked_ = owner_lock_.try_lock();
                if (!owner_locked_) return;
                successor_lock_.unlock();
            }
            if (!earlier_boots_concluded_) {
                earlier_boots_concluded_ =
                    database_->conclude_earlier_boots(boot_, wall_ms(), kConcludeBatch);
                return;
            }
            if (options_.journal_retention > Duration{} && now() >= next_archive_at_) {
                Archives archives(options_.directory);
                const auto moved = archives.move_settled(
                    *database_,
                    wall_ms() -
                        std::chrono::duration_cast<std::chrono::milliseconds>(options_.journal_retention)
                            .count(),
                    kMinArchiveRequests);
                if (moved == 0) {
                    archives.prune(wall_ms() - std::chrono::duration_cast<std::chrono::milliseconds>(
                                                   options_.archive_retention)
                                                   .count());
                    next_archive_at_ = now() + std::chrono::minutes(1);
                }
            }
        } catch (const store::StoreError& error) {
            log_error(error.what());
            if (error.kind != store::ErrorKind::Full && error.kind != store::ErrorKind::Busy)
                database_.reset();
            sleep_for(kRetryDelay);
        }
    }

    bool read_hello() {
        for (const Time end = now() + kLockTimeout; now() < end;) {
            if (const auto message = reader_.next()) {
                auto first = read_to_writer(*message);
                const auto* hello = std::get_if<Hello>(&first);
                if (!hello || hello->version != kLinkVersion) return false;
                hello_ = *hello;
                return true;
            }
            pollfd poll_for{options_.descriptor, POLLIN, 0};
            ::poll(&poll_for, 1, 100);
            read_socket();
            if (input_closed_ && reader_.empty()) return false;
        }
        return false;
    }

    /// The sidecar always reads its socket. If it does not, it receives nothing and its response timeout
    /// expires.
    void send_message(const FromWriter& message) {
        const std::string frame = frame_of(message);
        for (std::size_t done = 0; done < frame.size();) {
            const auto n =
                ::send(options_.descriptor, frame.data() + done, frame.size() - done, MSG_NOSIGNAL);
            if (n < 0 && errno == EINTR) continue;
            if (n <= 0) return;  // the sidecar is gone; what it sent is stored all the same
            done += static_cast<std::size_t>(n);
        }
    }
    static void log_error(const std::string& line) {
        std::cerr << "martenford-ledger: " + line + "\n" << std::flush;
    }

    const WriterOptions& options_;
    Lock owner_lock_, successor_lock_;
    GroupCommit commit_;
    FrameReader reader_;
    Hello hello_;
    std::unique_ptr<JournalDatabase> database_;
    std::int64_t boot_ = 0;
    std::vector<Record> batch_;
    Time next_archive_at_{};
    bool input_closed_ = false, earlier_boots_concluded_ = false, owner_locked_ = false;
};

}  // namespace

int run_writer(const WriterOptions& options) {
    ::umask(0077);  // the files show which requests went where; only their owner may read them
    // The writer exits after its sidecar, once everything received is stored. A signal to the process group
    // must not end it earlier.
    std::signal(SIGTERM, SIG_IGN);
    std::signal(SIGINT, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);  // a file size limit then shows as a failed write
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
