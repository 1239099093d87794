// The history of one request, merged from its records, and what follows from it for the request's effect. No
// I/O.
//
// Records are merged, never overwritten: the same records in any order and any number of times give the same
// history, so that records that are sent again after the writer died change nothing. Of two contradicting
// records the one that is worse for the caller wins.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "ledger/record.h"

namespace martenford::ledger {

/// Maximum number of attempts kept per request; the module makes only a handful.
constexpr std::uint32_t kMaxAttempts = 64;

struct AttemptHistory {
    std::string uid, address;
    std::int64_t intent_ms = 0;   ///< Unix time; 0: no intent is known
    std::int64_t written_ms = 0;  ///< 0: not known to have been written completely
    std::int64_t ended_ms = 0;
    Ending ending = Ending::Open;
    bool operator==(const AttemptHistory&) const = default;
};

class RequestHistory {
  public:
    /// Merges a record of this request. Returns false if it adds nothing new or belongs to no request.
    bool merge(const Record& record);

    /// What is certain about the effect from the records so far, and what a restart concludes if no more
    /// arrive: an attempt with an intent but no ending may have run.
    Effect effect() const;
    /// A short explanation that names the deciding attempt.
    std::string reason() const;
    /// Whether no more records are expected: the request was answered and every attempt ended.
    bool is_complete() const;
    /// Whether the client was told that the request never ran although it may have; this must not happen.
    bool contradicts_itself() const {
        return answer_ == FinalAnswer::Refused && effect() != Effect::NeverRan && is_complete();
    }

    const std::string& id() const { return id_; }
    const std::string& klass() const { return klass_; }
    const std::string& key() const { return key_; }
    const std::string& digest() const { return digest_; }
    FinalAnswer answer() const { return answer_; }
    std::int64_t taken_ms() const { return taken_ms_; }
    std::int64_t taken_mono_ns() const { return taken_mono_ns_; }
    std::int64_t answered_ms() const { return answered_ms_; }
    const std::map<std::uint32_t, AttemptHistory>& attempts() const { return attempts_; }

    /// The columns of a request as stored in the database.
    struct StoredFields {
        std::string id, klass, key, digest;
        std::int64_t taken_ms = 0, taken_mono_ns = 0, answered_ms = 0;
        FinalAnswer answer = FinalAnswer::None;
    };
    static RequestHistory restore(StoredFields fields, std::map<std::uint32_t, AttemptHistory> attempts);
    bool operator==(const RequestHistory&) const = default;

  private:
    std::string id_, klass_, key_, digest_;
    std::int64_t taken_ms_ = 0, taken_mono_ns_ = 0, answered_ms_ = 0;
    FinalAnswer answer_ = FinalAnswer::None;
    std::map<std::uint32_t, AttemptHistory> attempts_;
};

}  // namespace martenford::ledger
