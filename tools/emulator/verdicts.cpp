#include "verdicts.h"

#include <fmt/format.h>

#include <iostream>
#include <memory>
#include <random>
#include <vector>

#include "emulator/state_model.h"
#include "outlier/outlier_policy.h"
#include "replica/endpoint_overrides.h"

namespace martenford::emulator {

namespace {

using decision::EndpointId;

constexpr std::uint32_t kBad = 1, kSound = 2;  // the one that fails; the one that liars accuse

/// In place of the module: the draws below choose.
class NoModule : public Policy {
  public:
    void start(Time, std::vector<decision::Action>&) override {}
    void handle(Time, const decision::Event&, std::vector<decision::Action>&) override {}
};

struct Played {
    std::uint64_t bad = 0, sound_out = 0;
    double all_off_s = -1.0;  ///< when all kept off the bad one for the first time
};

std::string uid_of(std::uint32_t endpoint) {
    return fmt::format("s-{}", endpoint);
}

Played play(const VerdictWords& words, std::uint64_t seed, bool shared) {
    StateModel::Options options;
    options.members = words.sidecars;
    options.seed = seed;
    StateModel model(options);
    model.start_all();
    model.run_for(std::chrono::seconds(1));
    std::mt19937_64 random(seed);
    const auto unit = [&] { return static_cast<double>(random() >> 11) * 0x1p-53; };
    Counters counters;
    struct Sidecar {
        std::unique_ptr<outlier::OutlierPolicy> policy;
        std::unique_ptr<replica::EndpointOverrides> endpoint_overrides;
        std::vector<EndpointId> to_tell;
    };
    std::vector<Sidecar> sidecars(words.sidecars);
    std::vector<decision::Action> ignored;
    auto list = std::make_shared<decision::EndpointList>();
    for (std::uint32_t e = 1; e <= words.endpoints; ++e) {
        decision::Endpoint endpoint;
        endpoint.id = EndpointId{e};
        list->push_back(endpoint);
    }
    for (std::size_t i = 0; i < sidecars.size(); ++i) {
        Sidecar& s = sidecars[i];
        s.policy = std::make_unique<outlier::OutlierPolicy>(std::make_unique<NoModule>(), outlier::Options{},
                                                            counters);
        s.endpoint_overrides = std::make_unique<replica::EndpointOverrides>(
            model.copy(i), model.copy(i).self().name, "", seed + i);
        s.policy->on_ejected([&s](EndpointId id, std::uint32_t) { s.to_tell.push_back(id); });
        s.policy->handle(model.now(), decision::DiscoveryUpdate{decision::DiscoveryUpdate::Kind::Full, list},
                         ignored);
    }
    const auto tell = [&](std::size_t i, std::uint32_t endpoint) {
        model.copy(i).write(model.now(), model.wall(i),
                            sidecars[i].endpoint_overrides->verdict(uid_of(endpoint), 3, model.wall(i)));
        model.copy(i).tick(model.now(), model.wall(i));
        model.run_for(Duration{});
    };
    Played played;
    constexpr Duration kStep = std::chrono::milliseconds(100);
    const Time from = model.now();
    std::vector<std::size_t> warned(words.sidecars, 0);
    for (std::size_t step = 0; step < words.seconds * 10; ++step) {
        for (std::size_t i = 0; i < sidecars.size(); ++i) {
            Sidecar& s = sidecars[i];
            for (double left = words.rate / 10.0; left > 0.0; left -= 1.0) {
                if (unit() >= left) continue;
                std::uint32_t target = 0;
                do target = 1 + static_cast<std::uint32_t>(random() % words.endpoints);
                while (s.policy->ejected(EndpointId{target}));
                const bool fails = target == kBad && unit() < words.fails;
                played.bad += fails ? 1 : 0;
                decision::Outcome outcome;
                outcome.endpoint = EndpointId{target};
                outcome.status = fails ? decision::Status::Error : decision::Status::Ok;
                s.policy->handle(model.now(), outcome, ignored);
            }
            if (s.policy->ejected(EndpointId{kSound})) ++played.sound_out;
            if (!shared) continue;
            for (const EndpointId id : std::exchange(s.to_tell, {})) tell(i, static_cast<std::uint32_t>(id));
            if (i < words.liars && step % 100 == 0) tell(i, kSound);
            // As a change of the table does, once for each new verdict.
            for (const std::uint32_t endpoint : {kBad, kSound}) {
                std::size_t verdicts = 0;
                model.copy(i).for_each_with_prefix(
                    {"verdicts", uid_of(endpoint) + '/'},
                    [&](const replica::EntryName&, const replica::Entry&) { ++verdicts; });
                const std::size_t seen = endpoint == kBad ? verdicts : 0;
                const bool news =
                    endpoint == kSound ? step % 100 == 1 : std::exchange(warned[i], seen) != seen;
                if (news &&
                    s.endpoint_overrides->ejected_by_others(uid_of(endpoint), model.wall(i), words.sidecars))
                    s.policy->note_peer_ejection(EndpointId{endpoint});
            }
        }
        model.run_for(kStep);
        bool all = true;
        for (const Sidecar& s : sidecars) all = all && s.policy->ejected(EndpointId{kBad});
        if (all && played.all_off_s < 0.0)
            played.all_off_s =
                static_cast<double>((model.now() - from) / std::chrono::milliseconds(1)) / 1000.0;
    }
    return played;
}

}  // namespace

int measure_verdicts(const VerdictWords& words) {
    std::cout << "seed\tbad_alone\tbad_shared\tall_off_alone_s\tall_off_shared_s\tsound_out_share\n";
    double alone_sum = 0.0, shared_sum = 0.0;
    for (std::uint64_t seed = 1; seed <= words.seeds; ++seed) {
        const Played alone = play(words, seed, false), shared = play(words, seed, true);
        alone_sum += static_cast<double>(alone.bad);
        shared_sum += static_cast<double>(shared.bad);
        std::cout << fmt::format(
            "{}\t{}\t{}\t{:.1f}\t{:.1f}\t{:.4f}\n", seed, alone.bad, shared.bad, alone.all_off_s,
            shared.all_off_s,
            static_cast<double>(shared.sound_out) / static_cast<double>(words.seconds * 10 * words.sidecars));
    }
    std::cout << fmt::format("mean\t{:.1f}\t{:.1f}\n", alone_sum / static_cast<double>(words.seeds),
                             shared_sum / static_cast<double>(words.seeds));
    return 0;
}

}  // namespace martenford::emulator
