// The journal's file: what the writer puts into it and what people ask of it. It blocks; the helper alone
// uses it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "ledger/frame.h"
#include "ledger/request_history.h"
#include "store/database.h"

namespace martenford::ledger {

constexpr const char* kDatabaseFile = "ledger.db";

/// A request as the file has it.
struct Entry {
    std::int64_t boot = 0;  ///< the file's own number of the sidecar's start
    std::uint64_t serial = 0;
    std::string sidecar;  ///< by name
    RequestHistory history;
    /// Absent while the boot that made it may still tell more.
    std::optional<Effect> concluded;
};

struct BootInfo {
    std::int64_t number = 0;
    std::uint64_t id = 0;
    std::string name;
    std::int64_t started_ms = 0;
    std::int64_t concluded_ms = 0;  ///< 0: it may still run
};

class JournalDatabase {
  public:
    /// Opens DIRECTORY/ledger.db. `for_writing` brings its schema up to date. Throws store::StoreError.
    JournalDatabase(const std::string& directory, bool for_writing, const store::Options& options = {});
    ~JournalDatabase();

    // ---- the writer's
    /// The file's number of a boot; the same one again after the writer's own restart.
    std::int64_t register_boot(const Hello& hello);
    /// All of these or none, durable on return. Records that are known already change nothing.
    void write(std::int64_t boot, const std::vector<Record>& records);
    /// Concludes what boots before this one left open, `most` requests a transaction. True: nothing is left.
    /// Done again it changes nothing.
    bool conclude_earlier_boots(std::int64_t boot, std::int64_t now_ms, std::size_t max_requests);

    // ---- questions
    using Visitor = std::function<bool(const Entry&)>;  ///< false: enough
    void by_id(const std::string& id, const Visitor& visit);
    void by_key(const std::string& key, const Visitor& visit);
    /// Taken within [from, to) of Unix time, in milliseconds, in that order.
    void by_time(std::int64_t from_ms, std::int64_t to_ms, const Visitor& visit);
    /// What may have run and no answer of an endpoint says so; with `under_way` also what a live boot has
    /// open.
    void unresolved(bool under_way, const Visitor& visit);
    struct GapInfo {
        std::int64_t boot = 0, from_ms = 0, to_ms = 0;
        std::uint64_t requests = 0;
        std::string reason;
    };
    /// Those that touch [from, to].
    std::vector<GapInfo> gaps(std::int64_t from_ms, std::int64_t to_ms);
    std::vector<BootInfo> boots();
    struct Stats {
        std::uint64_t requests = 0, attempts = 0, possibly_ran = 0, under_way = 0, gaps = 0, bytes = 0;
        std::int64_t first_ms = 0, last_ms = 0;
    };
    Stats stats();
    /// What is wrong with it, a line each: with the file, and with requests that contradict themselves.
    std::vector<std::string> verify();
    int version() { return database_.version(); }

    // ---- retention
    /// Up to `most` settled requests taken before this, oldest first: concluded or over, and never one that
    /// is open.
    std::vector<Entry> settled_before(std::int64_t before_ms, std::size_t max_requests);
    /// Takes these out, in one transaction.
    void remove(const std::vector<Entry>& entries);

    store::Database& database() { return database_; }

  private:
    struct Statements;
    Statements& prepared();
    Entry entry_at(std::int64_t boot, std::uint64_t serial);
    std::optional<RequestHistory> load(std::int64_t boot, std::uint64_t serial);
    /// `before`: as the file has it; null: it is not there.
    void save(std::int64_t boot, std::uint64_t serial, const RequestHistory& history,
              const RequestHistory* before);
    void visit_rows(store::Statement& serials, const Visitor& visit);

    store::Database database_;
    std::unique_ptr<Statements> statements_;
    /// Requests of the boot that writes, as the file has them: spares a read for each record. Those that are
    /// over go.
    std::unordered_map<std::uint64_t, RequestHistory> cached_;
    std::int64_t cached_boot_ = 0;
    std::uint64_t last_serial_ = 0;  ///< of that boot in the file: what is above it need not be looked for
};

}  // namespace martenford::ledger
