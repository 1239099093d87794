// The journal database: the SQLite file that the writer fills and that the ledger commands query. Calls
// block; only the helper process uses it.
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

/// A request as stored in the database.
struct Entry {
    std::int64_t boot = 0;  ///< number of the sidecar's start in this database
    std::uint64_t serial = 0;
    std::string sidecar;  ///< the sidecar's name
    RequestHistory history;
    /// Absent while the boot that recorded the request may still add to it.
    std::optional<Effect> concluded;
};

struct BootInfo {
    std::int64_t number = 0;
    std::uint64_t id = 0;
    std::string name;
    std::int64_t started_ms = 0;
    std::int64_t concluded_ms = 0;  ///< 0: it may still be running
};

class JournalDatabase {
  public:
    /// Opens DIRECTORY/ledger.db. `for_writing` migrates the schema. Throws store::StoreError.
    JournalDatabase(const std::string& directory, bool for_writing, const store::Options& options = {});
    ~JournalDatabase();

    // ---- used by the writer
    /// Returns the database's number of a boot; the same one again after a restart of the writer.
    std::int64_t register_boot(const Hello& hello);
    /// Writes all of the records or none; they are durable on return. Records that are already stored change
    /// nothing.
    void write(std::int64_t boot, const std::vector<Record>& records);
    /// Concludes requests that earlier boots left open, up to `max_requests` per transaction. Returns true if
    /// none are left. Idempotent.
    bool conclude_earlier_boots(std::int64_t boot, std::int64_t now_ms, std::size_t max_requests);

    // ---- queries
    using Visitor = std::function<bool(const Entry&)>;  ///< returns false to stop
    void by_id(const std::string& id, const Visitor& visit);
    void by_key(const std::string& key, const Visitor& visit);
    /// Visits requests taken within [from_ms, to_ms), Unix time in milliseconds, in that order.
    void by_time(std::int64_t from_ms, std::int64_t to_ms, const Visitor& visit);
    /// Visits requests that may have run without an endpoint's answer to confirm it. `under_way` also
    /// includes those that a running boot has open.
    void unresolved(bool under_way, const Visitor& visit);
    struct GapInfo {
        std::int64_t boot = 0, from_ms = 0, to_ms = 0;
        std::uint64_t requests = 0;
        std::string reason;
    };
    /// Returns the gaps that overlap [from_ms, to_ms].
    std::vector<GapInfo> gaps(std::int64_t from_ms, std::int64_t to_ms);
    std::vector<BootInfo> boots();
    struct Stats {
        std::uint64_t requests = 0, attempts = 0, possibly_ran = 0, under_way = 0, gaps = 0, bytes = 0;
        std::int64_t first_ms = 0, last_ms = 0;
    };
    Stats stats();
    /// Checks the file and looks for requests whose records are inconsistent. Returns one line per problem.
    std::vector<std::string> verify();
    int version() { return database_.version(); }

    // ---- retention
    /// Returns up to `max_requests` settled requests taken before `before_ms`, oldest first. Settled means
    /// concluded or complete; an open request is never returned.
    std::vector<Entry> settled_before(std::int64_t before_ms, std::size_t max_requests);
    /// Deletes these entries in one transaction.
    void remove(const std::vector<Entry>& entries);

    store::Database& database() { return database_; }

  private:
    struct Statements;
    Statements& prepared();
    Entry entry_at(std::int64_t boot, std::uint64_t serial);
    std::optional<RequestHistory> load(std::int64_t boot, std::uint64_t serial);
    /// `before` is the stored history; null if the request is not stored yet.
    void save(std::int64_t boot, std::uint64_t serial, const RequestHistory& history,
              const RequestHistory* before);
    void visit_rows(store::Statement& serials, const Visitor& visit);

    store::Database database_;
    std::unique_ptr<Statements> statements_;
    /// Stored histories of the writing boot's open requests; saves one read per record. Completed requests
    /// are dropped.
    std::unordered_map<std::uint64_t, RequestHistory> cached_;
    std::int64_t cached_boot_ = 0;
    std::uint64_t last_serial_ = 0;  ///< highest stored serial of that boot; a higher one needs no lookup
};

}  // namespace martenford::ledger
