// Optional features from martenford's own configuration file, beside the platform's configuration. A feature
// is off unless the file has its section. docs/operate/configuration.md describes the fields.
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
    std::size_t max_total = 0;     ///< to all endpoints together; 0: half of the platform's socket limit
    std::size_t per_endpoint = 0;  ///< 0: limited by max_total alone
};

struct Features {
    std::optional<subset::Options> subset;
    std::optional<outlier::Options> outliers;
    std::optional<double> caution_share;  ///< [membership] doubt_above: removal of more of a tier is doubted
    ConnectionOptions connections;
    std::optional<fleet::Options> fleet;
    std::optional<replica::Options> state;  ///< requires `fleet`
    std::optional<ledger::Options> ledger;
    std::optional<telemetry::Options> telemetry;
};

/// Throws TomlError: one line with file, line, column and the problem.
Features read_features(std::string_view text, const std::string& file);
Features load_features(const std::string& path);

/// Options for the membership's caution about removals. It lasts two fifths of the drain grace; the rest is
/// left for delays on the network and in the event loop.
Membership::Options membership_options(const Features& features, const decision::Settings& settings);

/// Builds the decision module with the decorators that `features` enables. Throws std::invalid_argument, as
/// decision::validate() does. `outliers` receives the outlier policy, which the returned policy owns; it is
/// left as it is if there is none.
std::unique_ptr<Policy> make_policy(const decision::Settings& settings, std::uint64_t seed,
                                    const Features& features, Counters& counters,
                                    outlier::OutlierPolicy** outliers = nullptr);

}  // namespace martenford
