#include "replica/snapshot_writer.h"

#define XXH_INLINE_ALL
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <memory>
#include <optional>

#include "core/wall_clock.h"
#include "framing/frame.h"
#include "replica/shelf.pb.h"
#include "replica/state.pb.h"
#include "store/database.h"

namespace martenford::replica {

namespace {

constexpr const char* kFileName = "state.db";
constexpr std::size_t kMaxChunkBytes = 32 * 1024;  // bytes of entries in one message
constexpr std::size_t kMaxBatchBytes = 1 << 20;    // bytes taken from the socket before they are made durable
constexpr std::int64_t kMaxQuarantined =
    100;  // copies set aside under one name; then the last is written over

const std::vector<store::Migration> kMigrations{
    {"CREATE TABLE entries (name BLOB PRIMARY KEY, bytes BLOB NOT NULL, sum INTEGER NOT NULL) WITHOUT ROWID;"
     "CREATE TABLE about (name TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;"}};

std::string row_key_of(const std::string& table, const std::string& key) {
    return table + '\0' + key;
}

std::uint64_t checksum_of(const std::string& bytes) {
    return XXH3_64bits(bytes.data(), bytes.size());
}

class SnapshotWriter {
  public:
    explicit SnapshotWriter(const SnapshotWriterOptions& options) : options_(options) {}

    int run() {
        for (;;) {
            char bytes[64 * 1024];
            const ssize_t size = ::recv(options_.descriptor, bytes, sizeof bytes, 0);
            if (size < 0 && errno == EINTR) continue;
            if (size <= 0) return kSnapshotWriterDone;
            try {
                handle_bytes({bytes, static_cast<std::size_t>(size)});
                // What has come meanwhile goes into the same transaction.
                while (batch_bytes_ < kMaxBatchBytes) {
                    const ssize_t more = ::recv(options_.descriptor, bytes, sizeof bytes, MSG_DONTWAIT);
                    if (more <= 0) break;
                    handle_bytes({bytes, static_cast<std::size_t>(more)});
                }
                commit();
            } catch (const framing::FrameError&) {
                return kSnapshotWriterBadPeer;
            } catch (const store::StoreError& error) {
                shelf::FromShelf trouble;
                trouble.mutable_trouble()->set_what(error.what());
                send(trouble);
                return kSnapshotWriterFailed;
            }
        }
    }

  private:
    void handle_bytes(std::string_view bytes) {
        batch_bytes_ += bytes.size();
        reader_.feed(bytes);
        while (const auto frame = reader_.next()) {
            const auto message = framing::decode_message<shelf::ToShelf>(*frame);
            if (message.has_open()) {
                open(message.open());
            } else if (message.has_keep() && database_) {
                batch_.push_back(message.keep());
            } else {
                throw framing::FrameError("a message says nothing");
            }
        }
    }

    void open(const shelf::Open& open) {
        if (database_) throw framing::FrameError("opened twice");
        std::filesystem::create_directories(options_.directory);
        path_ = options_.directory + "/" + kFileName;
        std::string quarantined = rejection_reason(open);
        if (!quarantined.empty()) quarantined = fmt::format("{}: kept as {}", quarantined, quarantine());
        if (!database_) open_database();
        if (metadata("fleet").empty()) set_metadata("fleet", open.fleet());
        shelf::FromShelf out;
        shelf::Loaded& loaded = *out.mutable_loaded();
        loaded.set_aside(quarantined);
        const std::string horizon = metadata("horizon");
        loaded.set_horizon(horizon.empty() ? 0 : std::stoull(horizon));
        std::size_t size = 0;
        std::uint64_t damaged = 0;
        store::Statement all(*database_, "SELECT bytes, sum FROM entries");
        while (all.step()) {
            std::string bytes = all.text(0);
            if (static_cast<std::uint64_t>(all.number(1)) != checksum_of(bytes)) {
                ++damaged;
                continue;
            }
            size += bytes.size();
            loaded.add_entries(std::move(bytes));
            if (size < kMaxChunkBytes) continue;
            send(out);
            loaded.clear_entries();
            loaded.clear_aside();
            size = 0;
        }
        loaded.set_bad(damaged);
        loaded.set_end(true);
        send(out);
    }

    /// Why what is there can't be used; empty: it can, or there is nothing.
    std::string rejection_reason(const shelf::Open& open) {
        if (!std::filesystem::exists(path_)) return {};
        try {
            open_database();
            if (const std::string errors = database_->check(); !errors.empty())
                return "it is damaged: " + errors;
            if (const std::string fleet = metadata("fleet"); !fleet.empty() && fleet != open.fleet())
                return fmt::format("it is of the fleet '{}'", fleet);
            const std::string kept = metadata("kept_ms");
            if (!kept.empty() && std::stoull(kept) < open.oldest_ms())
                return "it is older than tombstones last: what it holds may have been deleted";
        } catch (const store::StoreError& error) {
            if (error.kind == store::ErrorKind::Newer) return "it is of a later version of this program";
            if (error.kind != store::ErrorKind::Corrupt) throw;
            return fmt::format("it is damaged: {}", error.what());
        }
        return {};
    }

    std::string quarantine() {
        database_.reset();
        std::string to;
        for (std::int64_t number = 1; number <= kMaxQuarantined; ++number) {
            to = fmt::format("{}.aside-{}", path_, number);
            if (!std::filesystem::exists(to)) break;
        }
        std::filesystem::rename(path_, to);
        for (const char* suffix : {"-wal", "-shm"}) {
            std::error_code ignored;
            std::filesystem::rename(path_ + suffix, to + suffix, ignored);
        }
        return to;
    }

    void open_database() {
        store::Options options;
        options.shared = false;
        options.vfs = options_.vfs;
        database_ = std::make_unique<store::Database>(path_, options);
        database_->migrate(kMigrations);
    }

    void commit() {
        batch_bytes_ = 0;
        if (batch_.empty()) return;
        const auto batch = std::exchange(batch_, {});
        database_->transaction([&] {
            store::Statement put(*database_, "INSERT OR REPLACE INTO entries VALUES (?, ?, ?)");
            store::Statement erase(*database_, "DELETE FROM entries WHERE name = ?");
            for (const shelf::Keep& request : batch) {
                if (request.anew()) database_->execute("DELETE FROM entries");
                for (const std::string& bytes : request.entries()) {
                    const auto entry = framing::decode_message<wire::Entry>(bytes);
                    const std::string name = row_key_of(entry.table(), entry.key());
                    put.bind_all(store::Statement::Blob{name}, store::Statement::Blob{bytes},
                                 checksum_of(bytes))
                        .run();
                }
                for (const shelf::Gone& erased : request.gone()) {
                    const std::string name = row_key_of(erased.table(), erased.key());
                    erase.bind_all(store::Statement::Blob{name}).run();
                }
            }
            set_metadata("horizon", std::to_string(batch.back().horizon()));
            set_metadata("kept_ms", std::to_string(wall_ms()));
        });
        shelf::FromShelf out;
        out.mutable_kept()->set_seq(batch.back().seq());
        send(out);
    }

    std::string metadata(const std::string& name) {
        store::Statement read(*database_, "SELECT value FROM about WHERE name = ?");
        read.bind_all(std::string_view(name));
        return read.step() ? read.text(0) : "";
    }
    void set_metadata(const std::string& name, const std::string& value) {
        store::Statement write(*database_, "INSERT OR REPLACE INTO about VALUES (?, ?)");
        write.bind_all(std::string_view(name), store::Statement::Blob{value}).run();
    }
    void send(const shelf::FromShelf& message) {
        const std::string frame = framing::encode_message(message);
        for (std::size_t at = 0; at < frame.size();) {
            const ssize_t sent =
                ::send(options_.descriptor, frame.data() + at, frame.size() - at, MSG_NOSIGNAL);
            if (sent < 0 && errno == EINTR) continue;
            if (sent <= 0) return;  // the sidecar is gone: the next read tells
            at += static_cast<std::size_t>(sent);
        }
    }

    const SnapshotWriterOptions options_;
    std::string path_;
    std::unique_ptr<store::Database> database_;
    framing::FrameReader reader_;
    std::vector<shelf::Keep> batch_;
    std::size_t batch_bytes_ = 0;
};

}  // namespace

int run_snapshot_writer(const SnapshotWriterOptions& options) {
    return SnapshotWriter(options).run();
}

}  // namespace martenford::replica
