// When a batch of records is closed and made durable. Pure: one sync costs the same for one record or a
// thousand, so that whoever can wait a little shares one.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>

#include "core/scheduler.h"

namespace martenford::ledger {

class GroupCommit {
  public:
    struct Options {
        std::size_t max_records = 1024;      ///< a transaction that is held in memory
        std::size_t max_bytes = 512 * 1024;  ///< the same, of long ids and keys
        Duration delay = 1ms;                ///< the first record of a batch waits so long at most
    };
    explicit GroupCommit(const Options& options) : options_(options) {}

    void add(std::size_t bytes, bool urgent, Time now) {
        if (records_++ == 0) first_at_ = now;
        bytes_ += bytes;
        urgent_ |= urgent;
    }
    bool due(Time now) const { return records_ > 0 && now >= *next_due(); }
    /// When the batch must be closed if nothing more comes; nothing: it is empty.
    std::optional<Time> next_due() const {
        if (records_ == 0) return std::nullopt;
        const bool full = records_ >= options_.max_records || bytes_ >= options_.max_bytes;
        return full || urgent_ ? first_at_ : first_at_ + options_.delay;
    }
    /// Whether more may be read into it.
    bool has_room() const { return records_ < options_.max_records && bytes_ < options_.max_bytes; }
    std::size_t records() const { return records_; }
    void reset() {
        records_ = bytes_ = 0;
        urgent_ = false;
    }

  private:
    Options options_;
    std::size_t records_ = 0, bytes_ = 0;
    bool urgent_ = false;
    Time first_at_{};
};

}  // namespace martenford::ledger
