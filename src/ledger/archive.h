// Settled requests that are old, out of the journal's file and in compressed ones: a manifest lists each with
// its SHA-256, and a filter beside each says whether it can hold an id or a key. Blocking, as the book is.
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

/// As exports and archives have it.
story::Story to_proto(const Entry& entry);

class Archives {
  public:
    /// Requests in one archive at most: compressing and taking them out of the file holds up a batch for some
    /// tens of milliseconds.
    static constexpr std::size_t kMaxRequests = 5000;

    explicit Archives(std::string directory);

    /// Moves up to kMaxRequests settled requests taken before this into a new archive, unless there are
    /// fewer than `least`. Gives how many. A crash at any point leaves each request in the file, in an
    /// archive, or in both.
    std::size_t move_settled(JournalDatabase& database, std::int64_t before_ms, std::size_t min_requests);
    /// Removes archives all of whose requests were taken before this.
    std::size_t prune(std::int64_t before_ms);

    using Visitor = std::function<bool(const story::Story&)>;  ///< false: enough
    /// Requests of this id, or with it as key. What can't be read is said in `troubles()` and passed over.
    void by_id_or_key(const std::string& id_or_key, bool key, const Visitor& visit);
    void by_time(std::int64_t from_ms, std::int64_t to_ms, const Visitor& visit);
    struct Totals {
        std::uint64_t archives = 0, requests = 0, raw_bytes = 0, bytes = 0;
    };
    Totals totals() const;
    /// What is wrong with each archive, a line each.
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
