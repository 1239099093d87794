#include "ledger/request_history.h"

#include <algorithm>
#include <array>
#include <utility>

namespace martenford::ledger {

namespace {

constexpr std::array<std::string_view, kEndingCount> kEndingNames{
    "open", "served", "error", "timeout", "reset", "cancelled", "full", "connect-failed", "moot", "withheld"};
constexpr std::array<std::string_view, kFinalAnswerCount> kFinalAnswerNames{"none", "refused", "failed",
                                                                            "served", "left"};

template <typename T>
bool keep_min(T& current, T reported) {
    if (reported == T{} || (current != T{} && current <= reported)) return false;
    current = std::move(reported);
    return true;
}

/// Of two endings that contradict each other the worse stays, so that the order in which they come is of no
/// matter. An open one is none.
bool is_worse(Ending reported, Ending current) {
    if (reported == Ending::Open || reported == current) return false;
    if (current == Ending::Open) return true;
    const auto rank = [](Ending e) { return std::pair(effect_of(e), e); };
    return rank(reported) > rank(current);
}

}  // namespace

std::string_view name_of(Ending ending) {
    const auto at = static_cast<std::size_t>(ending);
    return at < kEndingNames.size() ? kEndingNames[at] : "unknown";
}

std::string_view name_of(Effect effect) {
    switch (effect) {
        case Effect::NeverRan:
            return "never ran";
        case Effect::MayHaveRun:
            return "possibly ran";
        case Effect::Ran:
            return "ran";
    }
    return "unknown";
}

std::string_view name_of(FinalAnswer answer) {
    const auto at = static_cast<std::size_t>(answer);
    return at < kFinalAnswerNames.size() ? kFinalAnswerNames[at] : "unknown";
}

Effect effect_of(Ending ending) {
    switch (ending) {
        case Ending::Served:
            return Effect::Ran;
        case Ending::Full:
        case Ending::ConnectFailed:
        case Ending::NotSent:
        case Ending::Withheld:
            return Effect::NeverRan;
        default:
            return Effect::MayHaveRun;  // also of an ending that a later version knows
    }
}

bool RequestHistory::merge(const Record& record) {
    struct Visitor {
        RequestHistory& history;
        const Record& record;
        bool operator()(const Intent& intent) const {
            if (intent.attempt >= kMaxAttempts) return false;
            const auto [it, fresh] = history.attempts_.try_emplace(intent.attempt);
            AttemptHistory& attempt = it->second;
            bool changed = fresh;
            changed |= keep_min(history.id_, intent.id);
            changed |= keep_min(history.klass_, intent.klass);
            changed |= keep_min(history.key_, intent.key);
            changed |= keep_min(history.digest_, intent.digest);
            changed |= keep_min(attempt.uid, intent.uid);
            changed |= keep_min(attempt.address, intent.address);
            changed |= keep_min(attempt.intent_ms, record.wall_ms);
            if (keep_min(history.taken_mono_ns_,
                         record.mono_ns)) {  // the clock that never steps says which is first
                history.taken_ms_ = record.wall_ms;
                changed = true;
            }
            return changed;
        }
        bool operator()(const Written& written) const {
            if (written.attempt >= kMaxAttempts) return false;
            const auto [it, fresh] = history.attempts_.try_emplace(written.attempt);
            return keep_min(it->second.written_ms, record.wall_ms) || fresh;
        }
        bool operator()(const Ended& ended) const {
            if (ended.attempt >= kMaxAttempts) return false;
            const auto [it, fresh] = history.attempts_.try_emplace(ended.attempt);
            AttemptHistory& attempt = it->second;
            if (ended.ending == attempt.ending) return keep_min(attempt.ended_ms, record.wall_ms) || fresh;
            if (!is_worse(ended.ending, attempt.ending)) return fresh;
            attempt.ending = ended.ending;
            attempt.ended_ms = record.wall_ms;
            return true;
        }
        bool operator()(const Answered& answered) const {
            if (answered.answer == FinalAnswer::None) return false;
            if (answered.answer == history.answer_) return keep_min(history.answered_ms_, record.wall_ms);
            if (answered.answer < history.answer_) return false;
            history.answer_ = answered.answer;
            history.answered_ms_ = record.wall_ms;
            return true;
        }
        bool operator()(const Gap&) const { return false; }
    };
    return std::visit(Visitor{*this, record}, record.payload);
}

Effect RequestHistory::effect() const {
    Effect worst = answer_ == FinalAnswer::Served ? Effect::Ran : Effect::NeverRan;
    for (const auto& [number, attempt] : attempts_) worst = std::max(worst, effect_of(attempt.ending));
    return worst;
}

std::string RequestHistory::reason() const {
    if (attempts_.empty()) return "no attempt is known";
    const Effect worst = effect();
    for (const auto& [number, attempt] : attempts_) {
        if (effect_of(attempt.ending) != worst) continue;
        const std::string which = "attempt " + std::to_string(number);
        if (attempt.ending != Ending::Open) return which + " ended: " + std::string(name_of(attempt.ending));
        return attempt.written_ms != 0 ? which + " was written whole and its ending is not known"
                                       : which + " was about to be sent and its ending is not known";
    }
    return "the client was served";
}

bool RequestHistory::is_complete() const {
    return answer_ != FinalAnswer::None &&
           std::none_of(attempts_.begin(), attempts_.end(),
                        [](const auto& each) { return each.second.ending == Ending::Open; });
}

RequestHistory RequestHistory::restore(StoredFields fields,
                                       std::map<std::uint32_t, AttemptHistory> attempts) {
    RequestHistory history;
    history.id_ = std::move(fields.id);
    history.klass_ = std::move(fields.klass);
    history.key_ = std::move(fields.key);
    history.digest_ = std::move(fields.digest);
    history.taken_ms_ = fields.taken_ms;
    history.taken_mono_ns_ = fields.taken_mono_ns;
    history.answered_ms_ = fields.answered_ms;
    history.answer_ = fields.answer;
    history.attempts_ = std::move(attempts);
    return history;
}

}  // namespace martenford::ledger
