// The life of one request as its records tell it, and what follows for its effect. Pure.
//
// Records are joined, never overwritten: the same ones in any order and any number of times give the same
// life, so that a writer that is sent them anew after its death changes nothing. Of two that contradict each
// other the one that is worse for whoever relies on it stays.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "ledger/record.h"

namespace martenford::ledger {

/// Attempts of one request at most that are kept apart; the module sends a handful.
constexpr std::uint32_t kMaxAttempts = 64;

struct AttemptHistory {
    std::string uid, address;
    std::int64_t intent_ms = 0;   ///< Unix time; 0: no intent is known
    std::int64_t written_ms = 0;  ///< 0: not known to have been written whole
    std::int64_t ended_ms = 0;
    Ending ending = Ending::Open;
    bool operator==(const AttemptHistory&) const = default;
};

class RequestHistory {
  public:
    /// Takes in a record of this request. False: it says what was known, or belongs to no request.
    bool merge(const Record& record);

    /// What is certain of its effect from what is known now, and all that a restart can conclude if nothing
    /// more comes: an attempt with an intent and no ending may have run.
    Effect effect() const;
    /// Why, in a few words, naming the attempt that decides.
    std::string reason() const;
    /// Whether nothing more is to come: answered, and every attempt ended.
    bool is_complete() const;
    /// Whether the client was told that nothing ran while something may have: a breach of the rules.
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

    /// A life as a file held it.
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
