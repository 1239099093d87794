#include "telemetry/tail_sampler.h"

#include <algorithm>
#include <utility>

#include "policy/mechanics.h"

namespace martenford::telemetry {

TailSampler::TailSampler(const Options& options, std::uint64_t seed) : options_(options), random_(seed) {}

TailSampler::Reason TailSampler::reason_of(const Story& story, bool rare) {
    if (story.answer == "failed") return Reason::Failed;
    if (story.late) return Reason::Late;
    if (story.answer == "refused") return Reason::Refused;
    return rare ? Reason::Rare : Reason::Usual;
}

std::string TailSampler::path_of(const Story& story) {
    std::string path = story.klass + ":" + story.answer;
    for (const Step& step : story.steps) {
        if (!step.endpoint.empty()) path += "," + step.outcome;
    }
    return path;
}

/// Counts that age by half when their table is full: what is rare is rare lately.
bool TailSampler::is_rare(const std::string& path) {
    if (paths_.size() >= options_.most_paths && !paths_.contains(path)) {
        for (auto& [known, times] : paths_) times /= 2;
        std::erase_if(paths_, [](const auto& entry) { return entry.second == 0; });
        if (paths_.size() >= options_.most_paths) paths_.erase(paths_.begin());
    }
    return ++paths_[path] < options_.rare_below;
}

std::uint64_t TailSampler::draw(std::uint64_t below) {
    decision::Random random(random_);
    random_ = random.next();
    return random.below(below);
}

TailSampler::Stretch& TailSampler::stretch_at(Time now) {
    const std::int64_t number = now.time_since_epoch() / options_.stretch;
    if (stretches_.empty() || stretches_.back().number < number) {
        stretches_.emplace_back().number = number;
        while (stretches_.size() > options_.stretches ||
               stretches_.front().number + static_cast<std::int64_t>(options_.stretches) <= number) {
            stretches_.pop_front();
        }
    }
    return stretches_.back();
}

bool TailSampler::offer(Story story) {
    const Reason reason = reason_of(story, is_rare(path_of(story)));
    ++offered_[static_cast<std::size_t>(reason)];
    if (story.steps.size() > options_.most_steps) {
        story.steps.resize(options_.most_steps);
        story.steps.back().outcome += ", and more";
    }
    Reservoir& to = stretch_at(story.taken + story.took).by_reason[static_cast<std::size_t>(reason)];
    ++to.offered;
    const std::size_t room = std::max<std::size_t>(1, options_.most / options_.stretches);
    if (to.kept.size() < room) {
        to.kept.push_back(std::move(story));
        return true;
    }
    const auto place = draw(to.offered);
    if (place >= room) return false;
    to.kept[place] = std::move(story);
    return true;
}

void TailSampler::each(const std::function<bool(const Story&, Reason)>& see) const {
    for (auto stretch = stretches_.rbegin(); stretch != stretches_.rend(); ++stretch) {
        for (std::size_t reason = 0; reason < kReasons; ++reason) {
            for (const Story& story : stretch->by_reason[reason].kept) {
                if (!see(story, static_cast<Reason>(reason))) return;
            }
        }
    }
}

const Story* TailSampler::find(const std::string& id) const {
    const Story* found = nullptr;
    each([&](const Story& story, Reason) {
        if (story.id == id) found = &story;
        return found == nullptr;
    });
    return found;
}

std::size_t TailSampler::size() const {
    std::size_t all = 0;
    each([&](const Story&, Reason) { return ++all > 0; });
    return all;
}

}  // namespace martenford::telemetry
