// The data plane's process: a proxy beside one endpoint. Forwards its clients' requests to the proxies of
// other endpoints (outbound), and admits what other proxies send to its own endpoint (inbound).
#pragma once

#include "bootstrap/settings.h"

namespace martenford::proxy {

/// Runs the proxy until SIGTERM or SIGINT has ended it gracefully. The settings must have the `inbound`,
/// `outbound`, `readiness` and `control` addresses. Throws boost::system::system_error if one of them can't
/// be listened on.
void run_proxy(const bootstrap::Settings& settings);

}  // namespace martenford::proxy
