#include "telemetry/tail_sampler.h"

#include <algorithm>
#include <utility>

#include "policy/mechanics.h"

namespace martenford::telemetry {

TailSampler::TailSampler(const Options& options, std::uint64_t seed) : options_(options), random_(seed) {}

TailSampler::Reason TailSampler::reason_of(const RequestTrace& trace, bool rare) {
    if (trace.answer == "failed") return Reason::Failed;
    if (trace.late) return Reason::Late;
    if (trace.answer == "refused") return Reason::Refused;
    return rare ? Reason::Rare : Reason::Normal;
}

std::string TailSampler::path_of(const RequestTrace& trace) {
    std::string path = trace.klass + ":" + trace.answer;
    for (const Span& span : trace.spans) {
        if (!span.endpoint.empty()) path += "," + span.outcome;
    }
    return path;
}

/// Counts that age by half when their table is full: what is rare is rare lately.
bool TailSampler::is_rare(const std::string& path) {
    if (paths_.size() >= options_.max_paths && !paths_.contains(path)) {
        for (auto& [known, times] : paths_) times /= 2;
        std::erase_if(paths_, [](const auto& entry) { return entry.second == 0; });
        if (paths_.size() >= options_.max_paths) paths_.erase(paths_.begin());
    }
    return ++paths_[path] < options_.rare_below;
}

std::uint64_t TailSampler::draw(std::uint64_t below) {
    decision::Random random(random_);
    random_ = random.next();
    return random.below(below);
}

TailSampler::Window& TailSampler::window_at(Time now) {
    const std::int64_t number = now.time_since_epoch() / options_.window;
    if (windows_.empty() || windows_.back().number < number) {
        windows_.emplace_back().number = number;
        while (windows_.size() > options_.windows ||
               windows_.front().number + static_cast<std::int64_t>(options_.windows) <= number) {
            windows_.pop_front();
        }
    }
    return windows_.back();
}

bool TailSampler::offer(RequestTrace trace) {
    const Reason reason = reason_of(trace, is_rare(path_of(trace)));
    ++offered_[static_cast<std::size_t>(reason)];
    if (trace.spans.size() > options_.max_spans) {
        trace.spans.resize(options_.max_spans);
        trace.spans.back().outcome += ", and more";
    }
    Reservoir& reservoir =
        window_at(trace.started + trace.duration).by_reason[static_cast<std::size_t>(reason)];
    ++reservoir.offered;
    const std::size_t room = std::max<std::size_t>(1, options_.max_traces / options_.windows);
    if (reservoir.kept.size() < room) {
        reservoir.kept.push_back(std::move(trace));
        return true;
    }
    const auto place = draw(reservoir.offered);
    if (place >= room) return false;
    reservoir.kept[place] = std::move(trace);
    return true;
}

void TailSampler::each(const std::function<bool(const RequestTrace&, Reason)>& visit) const {
    for (auto window = windows_.rbegin(); window != windows_.rend(); ++window) {
        for (std::size_t reason = 0; reason < kReasons; ++reason) {
            for (const RequestTrace& trace : window->by_reason[reason].kept) {
                if (!visit(trace, static_cast<Reason>(reason))) return;
            }
        }
    }
}

const RequestTrace* TailSampler::find(const std::string& id) const {
    const RequestTrace* found = nullptr;
    each([&](const RequestTrace& trace, Reason) {
        if (trace.id == id) found = &trace;
        return found == nullptr;
    });
    return found;
}

std::size_t TailSampler::size() const {
    std::size_t all = 0;
    each([&](const RequestTrace&, Reason) { return ++all > 0; });
    return all;
}

}  // namespace martenford::telemetry
