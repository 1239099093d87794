// Compressed archives of old settled requests that were moved out of the journal database. A manifest lists
// each archive with its SHA-256; a Bloom filter beside each archive tells whether it can contain an id or an
// idempotency key. Calls block, like those of JournalDatabase.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "ledger/journal_database.h"

namespace martenford::ledger {

namespace story {
class Story;
class Manifest;
class ArchiveInfo;
}  // namespace story

/// Converts an entry to the message that archives store and exports print.
story::Story to_proto(const Entry& entry);

class Archives {
  public:
    /// Maximum number of requests in one archive. Compressing them and deleting them from the database delays
    /// the writer's next batch by some tens of milliseconds.
    static constexpr std::size_t kMaxRequests = 5000;

    explicit Archives(std::string directory);

    /// Moves up to kMaxRequests settled requests that were taken before `before_ms` into a new archive,
    /// unless there are fewer than `min_requests`. Returns the number of requests moved. After a crash at any
    /// point each request is in the database, in an archive, or in both.
    std::size_t move_settled(JournalDatabase& database, std::int64_t before_ms, std::size_t min_requests);
    /// Deletes archives in which every request was taken before `before_ms`. Returns how many.
    std::size_t prune(std::int64_t before_ms);

    using Visitor = std::function<bool(const story::Story&)>;  ///< returns false to stop
    /// Visits requests with this id, or with this idempotency key if `key` is set. Unreadable archives are
    /// skipped and reported by errors().
    void by_id_or_key(const std::string& id_or_key, bool key, const Visitor& visit);
    void by_time(std::int64_t from_ms, std::int64_t to_ms, const Visitor& visit);
    struct Totals {
        std::uint64_t archives = 0, requests = 0, raw_bytes = 0, bytes = 0;
    };
    Totals totals() const;
    /// Checks every archive and returns one line per problem found.
    std::vector<std::string> verify();
    const std::vector<std::string>& errors() const { return errors_; }
    std::uint64_t archives_read() const { return archives_read_; }

  private:
    story::Manifest manifest() const;
    void write_manifest(const story::Manifest& manifest) const;
    bool may_contain(const story::ArchiveInfo& info, const std::string& text);
    bool read(const story::ArchiveInfo& info, const Visitor& visit);
    std::string path(const std::string& file) const { return directory_ + "/" + file; }

    std::string directory_;
    std::vector<std::string> errors_;
    std::uint64_t archives_read_ = 0;
};

}  // namespace martenford::ledger
