#include "state.h"

#include <fmt/format.h>

#include <iostream>
#include <vector>

#include "emulator/state_model.h"

namespace martenford::emulator {

namespace {

/// As large as an override with a reason; written long enough ago that all have it.
std::vector<replica::NamedEntry> many(std::size_t count, replica::WallTime wall) {
    std::vector<replica::NamedEntry> result;
    for (std::size_t i = 0; i < count; ++i) {
        replica::Version version;
        version.dot = {7 + i % 13, 1 + i};
        version.timestamp = replica::timestamp_of(wall - 60'000) + i;
        version.value = fmt::format("value {} of an entry", i * 7919);
        version.written_by = fmt::format("sidecar-{}", i % 300);
        version.reason = "seen to fail";
        replica::NamedEntry entry;
        entry.name = {"measured", fmt::format("10.{}.{}.{}:8080", i >> 16, i >> 8 & 255, i & 255)};
        entry.entry.write(std::move(version));
        result.push_back(std::move(entry));
    }
    return result;
}

}  // namespace

int measure_state(const StateWords& words) {
    StateModel::Options options;
    options.members = words.members;
    options.seed = words.seed;
    options.count_bytes = true;
    StateModel model(options);
    const auto all = many(words.entries, model.wall(0));
    std::size_t plain = 0;
    for (const replica::NamedEntry& entry : all) plain += bytes_of(entry).size();
    std::size_t lacking = 0;
    for (std::size_t i = 0; i < words.members; ++i) {
        std::vector<replica::NamedEntry> own;
        for (std::size_t n = 0; n < all.size(); ++n) {
            const bool lacks = i == 0 && static_cast<double>(n * 7919 % all.size()) <
                                             words.behind * static_cast<double>(all.size());
            lacking += lacks ? 1 : 0;
            if (!lacks) own.push_back(all[n]);
        }
        model.start(i, 0, std::move(own));
    }
    if (words.behind == 0.0) {
        model.run_for(std::chrono::seconds(2));
        model.put(words.members / 2, "overrides", "10.0.0.1:80", "exclude");
    }
    const auto bytes = model.figures().bytes;
    const Time from = model.now();
    const bool equal = model.run_until([&] { return model.all_equal(); }, std::chrono::minutes(10));
    const Time to = model.now();
    const auto spent = model.figures().bytes - bytes;
    model.run_for(std::chrono::seconds(2));
    const auto before = model.figures().bytes;
    model.run_for(std::chrono::seconds(10));
    const double idle =
        static_cast<double>(model.figures().bytes - before) / 10.0 / static_cast<double>(words.members);
    if (words.head)
        std::cout
            << "members\tentries\tlacking\tequal\tall_know_s\tkb_until_then\tall_entries_kb\tidle_bytes_s\n";
    std::cout << fmt::format("{}\t{}\t{}\t{}\t{:.2f}\t{:.1f}\t{:.1f}\t{:.1f}\n", words.members, words.entries,
                             lacking, equal ? "yes" : "no",
                             static_cast<double>((to - from) / std::chrono::milliseconds(1)) / 1000.0,
                             static_cast<double>(spent) / 1024.0, static_cast<double>(plain) / 1024.0, idle);
    return equal ? 0 : 1;
}

}  // namespace martenford::emulator
