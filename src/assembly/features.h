// What our own configuration file switches on, beside the platform's configuration. Everything is off unless
// its section stands there. docs/operate/configuration.md has the fields in words.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "config/toml_reader.h"
#include "core/counters.h"
#include "core/policy.h"
#include "fleet/options.h"
#include "ledger/options.h"
#include "membership/membership.h"
#include "outlier/outlier_policy.h"
#include "replica/options.h"
#include "subset/subset_policy.h"
#include "telemetry/options.h"

namespace martenford {

struct ConnectionOptions {
    std::size_t max_total = 0;     ///< to all endpoints together; 0: half of the platform's sockets
    std::size_t per_endpoint = 0;  ///< 0: as many as the whole allows
};

struct Features {
    std::optional<subset::Options> subset;
    std::optional<outlier::Options> outliers;
    std::optional<double> caution_share;  ///< of [membership]: the share of a tier whose removal is doubted
    ConnectionOptions connections;
    std::optional<fleet::Options> fleet;
    std::optional<replica::Options> state;  ///< needs `fleet`
    std::optional<ledger::Options> ledger;
    std::optional<telemetry::Options> telemetry;
};

/// Throws TomlError: one line with file, line, column and what is wrong.
Features read_features(std::string_view text, const std::string& file);
Features load_features(const std::string& path);

/// The doubt as the membership takes it. Its length is two fifths of the drain grace: what is late on the way
/// or in the loop has the rest.
Membership::Options membership_options(const Features& features, const decision::Settings& settings);

/// The decision module with what is switched on around it. Throws std::invalid_argument, as
/// decision::validate() does. `outliers`: gets the one within, which lives as long; null where there is
/// none.
std::unique_ptr<Policy> make_policy(const decision::Settings& settings, std::uint64_t seed,
                                    const Features& features, Counters& counters,
                                    outlier::OutlierPolicy** outliers = nullptr);

}  // namespace martenford
