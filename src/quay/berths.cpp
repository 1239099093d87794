#include "quay/berths.h"

namespace martenford::quay {

using Kind = Berths::Step::Kind;

std::vector<Berths::Step> Berths::apply(const rolls::View& view, const std::vector<std::string>& nodes) {
    std::vector<Step> steps;
    for (const std::string& node : nodes) {
        const auto known = view.all().find(node);
        const rolls::Place* place = known == view.all().end() ? nullptr : &known->second.place;
        const bool there = place && !place->instance.empty() && place->state != rolls::State::Absent;
        // Another process beside the same endpoint is another gate: what the last one knew is lost.
        const std::string key = there ? place->gate + " " + place->instance + " " + place->service + " " +
                                            std::to_string(place->life)
                                      : "";
        const auto held = held_.find(node);
        if (held != held_.end() && held->second.key != key) {
            // A stall that lives and says that its endpoint leaves still answers for what is out there.
            // Guards against breaking off work of a stall that ends in order.
            if (!place || place->life != held->second.life)
                steps.push_back({Kind::Withdraw, held->second.id});
            steps.push_back({Kind::Remove, held->second.id});
            held_.erase(held);
        }
        if (!there) continue;
        Held& now = held_[node];
        if (now.key.empty()) now = {EndpointId{++last_}, key, place->life, false};
        const bool silent = known->second.silent;
        steps.push_back({Kind::Place,
                         now.id,
                         {place->service, place->zone, place->state == rolls::State::Ready, silent},
                         place->gate,
                         place->instance,
                         place->life});
        if (silent && !now.silent) steps.push_back({Kind::Withdraw, now.id});
        now.silent = silent;
    }
    return steps;
}

}  // namespace martenford::quay
