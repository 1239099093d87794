#include "replica/shelf_writer.h"

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

constexpr const char* kFile = "state.db";
constexpr std::size_t kPiece = 32 * 1024;    // bytes of entries in one message
constexpr std::size_t kMostBatch = 1 << 20;  // bytes taken from the socket before they are made durable
constexpr std::int64_t kMostAsides = 100;    // copies set aside under one name; then the last is written over

const std::vector<store::Migration> kSteps{
    {"CREATE TABLE entries (name BLOB PRIMARY KEY, bytes BLOB NOT NULL, sum INTEGER NOT NULL) WITHOUT ROWID;"
     "CREATE TABLE about (name TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;"}};

std::string name_of(const std::string& table, const std::string& key) {
    return table + '\0' + key;
}

std::uint64_t sum_of(const std::string& bytes) {
    return XXH3_64bits(bytes.data(), bytes.size());
}

class Shelf {
  public:
    explicit Shelf(const ShelfOptions& options) : options_(options) {}

    int run() {
        for (;;) {
            char bytes[64 * 1024];
            const ssize_t size = ::recv(options_.descriptor, bytes, sizeof bytes, 0);
            if (size < 0 && errno == EINTR) continue;
            if (size <= 0) return kShelfDone;
            try {
                take({bytes, static_cast<std::size_t>(size)});
                // What has come meanwhile goes into the same transaction.
                while (taken_ < kMostBatch) {
                    const ssize_t more = ::recv(options_.descriptor, bytes, sizeof bytes, MSG_DONTWAIT);
                    if (more <= 0) break;
                    take({bytes, static_cast<std::size_t>(more)});
                }
                commit();
            } catch (const framing::FrameError&) {
                return kShelfBadPeer;
            } catch (const store::StoreError& error) {
                shelf::FromShelf trouble;
                trouble.mutable_trouble()->set_what(error.what());
                send(trouble);
                return kShelfFailed;
            }
        }
    }

  private:
    void take(std::string_view bytes) {
        taken_ += bytes.size();
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
        path_ = options_.directory + "/" + kFile;
        std::string aside = unusable(open);
        if (!aside.empty()) aside = fmt::format("{}: kept as {}", aside, set_aside());
        if (!database_) make();
        if (about("fleet").empty()) say("fleet", open.fleet());
        shelf::FromShelf out;
        shelf::Loaded& loaded = *out.mutable_loaded();
        loaded.set_aside(aside);
        const std::string horizon = about("horizon");
        loaded.set_horizon(horizon.empty() ? 0 : std::stoull(horizon));
        std::size_t size = 0;
        std::uint64_t bad = 0;
        store::Statement all(*database_, "SELECT bytes, sum FROM entries");
        while (all.step()) {
            std::string bytes = all.text(0);
            if (static_cast<std::uint64_t>(all.number(1)) != sum_of(bytes)) {
                ++bad;
                continue;
            }
            size += bytes.size();
            loaded.add_entries(std::move(bytes));
            if (size < kPiece) continue;
            send(out);
            loaded.clear_entries();
            loaded.clear_aside();
            size = 0;
        }
        loaded.set_bad(bad);
        loaded.set_end(true);
        send(out);
    }

    /// Why what is there can't be used; empty: it can, or there is nothing.
    std::string unusable(const shelf::Open& open) {
        if (!std::filesystem::exists(path_)) return {};
        try {
            make();
            if (const std::string wrong = database_->check(); !wrong.empty())
                return "it is damaged: " + wrong;
            if (const std::string fleet = about("fleet"); !fleet.empty() && fleet != open.fleet())
                return fmt::format("it is of the fleet '{}'", fleet);
            const std::string kept = about("kept_ms");
            if (!kept.empty() && std::stoull(kept) < open.oldest_ms())
                return "it is older than tombstones last: what it holds may have been deleted";
        } catch (const store::StoreError& error) {
            if (error.fault == store::Fault::Newer) return "it is of a later version of this program";
            if (error.fault != store::Fault::Corrupt) throw;
            return fmt::format("it is damaged: {}", error.what());
        }
        return {};
    }

    std::string set_aside() {
        database_.reset();
        std::string to;
        for (std::int64_t number = 1; number <= kMostAsides; ++number) {
            to = fmt::format("{}.aside-{}", path_, number);
            if (!std::filesystem::exists(to)) break;
        }
        std::filesystem::rename(path_, to);
        for (const char* tail : {"-wal", "-shm"}) {
            std::error_code ignored;
            std::filesystem::rename(path_ + tail, to + tail, ignored);
        }
        return to;
    }

    void make() {
        store::Options options;
        options.shared = false;
        options.vfs = options_.vfs;
        database_ = std::make_unique<store::Database>(path_, options);
        database_->migrate(kSteps);
    }

    void commit() {
        taken_ = 0;
        if (batch_.empty()) return;
        const auto batch = std::exchange(batch_, {});
        database_->transaction([&] {
            store::Statement put(*database_, "INSERT OR REPLACE INTO entries VALUES (?, ?, ?)");
            store::Statement erase(*database_, "DELETE FROM entries WHERE name = ?");
            for (const shelf::Keep& keep : batch) {
                if (keep.anew()) database_->execute("DELETE FROM entries");
                for (const std::string& bytes : keep.entries()) {
                    const auto entry = framing::decode_message<wire::Entry>(bytes);
                    const std::string name = name_of(entry.table(), entry.key());
                    put.bind_all(store::Statement::Blob{name}, store::Statement::Blob{bytes}, sum_of(bytes))
                        .run();
                }
                for (const shelf::Gone& gone : keep.gone()) {
                    const std::string name = name_of(gone.table(), gone.key());
                    erase.bind_all(store::Statement::Blob{name}).run();
                }
            }
            say("horizon", std::to_string(batch.back().horizon()));
            say("kept_ms", std::to_string(wall_ms()));
        });
        shelf::FromShelf out;
        out.mutable_kept()->set_seq(batch.back().seq());
        send(out);
    }

    std::string about(const std::string& name) {
        store::Statement read(*database_, "SELECT value FROM about WHERE name = ?");
        read.bind_all(std::string_view(name));
        return read.step() ? read.text(0) : "";
    }
    void say(const std::string& name, const std::string& value) {
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

    const ShelfOptions options_;
    std::string path_;
    std::unique_ptr<store::Database> database_;
    framing::FrameReader reader_;
    std::vector<shelf::Keep> batch_;
    std::size_t taken_ = 0;
};

}  // namespace

int run_shelf(const ShelfOptions& options) {
    return Shelf(options).run();
}

}  // namespace martenford::replica
