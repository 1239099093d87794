#include "ledger/life.h"

#include <algorithm>
#include <array>
#include <utility>

namespace martenford::ledger {

namespace {

constexpr std::array<std::string_view, kEndings> kEndingNames{
    "open", "served", "error", "timeout", "reset", "cancelled", "full", "connect-failed", "moot", "withheld"};
constexpr std::array<std::string_view, kFinals> kFinalNames{"none", "refused", "failed", "served", "left"};

template <typename T>
bool least(T& held, T told) {
    if (told == T{} || (held != T{} && held <= told)) return false;
    held = std::move(told);
    return true;
}

/// Of two endings that contradict each other the worse stays, so that the order in which they come is of no
/// matter. An open one is none.
bool worse(Ending told, Ending held) {
    if (told == Ending::Open || told == held) return false;
    if (held == Ending::Open) return true;
    const auto rank = [](Ending e) { return std::pair(effect_of(e), e); };
    return rank(told) > rank(held);
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

std::string_view name_of(Final answer) {
    const auto at = static_cast<std::size_t>(answer);
    return at < kFinalNames.size() ? kFinalNames[at] : "unknown";
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

bool Life::join(const Record& record) {
    struct Visitor {
        Life& life;
        const Record& record;
        bool operator()(const Intent& intent) const {
            if (intent.attempt >= kMostAttempts) return false;
            const auto [it, fresh] = life.attempts_.try_emplace(intent.attempt);
            AttemptLife& attempt = it->second;
            bool changed = fresh;
            changed |= least(life.id_, intent.id);
            changed |= least(life.klass_, intent.klass);
            changed |= least(life.key_, intent.key);
            changed |= least(life.digest_, intent.digest);
            changed |= least(attempt.uid, intent.uid);
            changed |= least(attempt.address, intent.address);
            changed |= least(attempt.intent_ms, record.wall_ms);
            if (least(life.taken_mono_ns_,
                      record.mono_ns)) {  // the clock that never steps says which is first
                life.taken_ms_ = record.wall_ms;
                changed = true;
            }
            return changed;
        }
        bool operator()(const Written& written) const {
            if (written.attempt >= kMostAttempts) return false;
            const auto [it, fresh] = life.attempts_.try_emplace(written.attempt);
            return least(it->second.written_ms, record.wall_ms) || fresh;
        }
        bool operator()(const Ended& ended) const {
            if (ended.attempt >= kMostAttempts) return false;
            const auto [it, fresh] = life.attempts_.try_emplace(ended.attempt);
            AttemptLife& attempt = it->second;
            if (ended.ending == attempt.ending) return least(attempt.ended_ms, record.wall_ms) || fresh;
            if (!worse(ended.ending, attempt.ending)) return fresh;
            attempt.ending = ended.ending;
            attempt.ended_ms = record.wall_ms;
            return true;
        }
        bool operator()(const Answered& answered) const {
            if (answered.answer == Final::None) return false;
            if (answered.answer == life.answer_) return least(life.answered_ms_, record.wall_ms);
            if (answered.answer < life.answer_) return false;
            life.answer_ = answered.answer;
            life.answered_ms_ = record.wall_ms;
            return true;
        }
        bool operator()(const Gap&) const { return false; }
    };
    return std::visit(Visitor{*this, record}, record.what);
}

Effect Life::effect() const {
    Effect worst = answer_ == Final::Served ? Effect::Ran : Effect::NeverRan;
    for (const auto& [number, attempt] : attempts_) worst = std::max(worst, effect_of(attempt.ending));
    return worst;
}

std::string Life::reason() const {
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

bool Life::over() const {
    return answer_ != Final::None && std::none_of(attempts_.begin(), attempts_.end(), [](const auto& each) {
               return each.second.ending == Ending::Open;
           });
}

Life Life::of(Head head, std::map<std::uint32_t, AttemptLife> attempts) {
    Life life;
    life.id_ = std::move(head.id);
    life.klass_ = std::move(head.klass);
    life.key_ = std::move(head.key);
    life.digest_ = std::move(head.digest);
    life.taken_ms_ = head.taken_ms;
    life.taken_mono_ns_ = head.taken_mono_ns;
    life.answered_ms_ = head.answered_ms;
    life.answer_ = head.answer;
    life.attempts_ = std::move(attempts);
    return life;
}

}  // namespace martenford::ledger
