#include "bootstrap/listen.h"

#include <chrono>
#include <optional>

#include "bootstrap/startup_wait.h"
#include "event_log/event_log.h"

namespace martenford::bootstrap {
namespace {

using boost::system::error_code;
using event_log::Event;
using event_log::log_event;

/// How often a wait for the same port is logged.
constexpr std::chrono::seconds kWaitLogInterval{10};

struct ListenFailure {
    const ListenAddress* address = nullptr;
    error_code cause;
};

std::variant<std::vector<ListeningSocket>, ListenFailure> try_listen_on(
    const std::vector<ListenAddress>& addresses) {
    std::vector<ListeningSocket> sockets;
    for (const ListenAddress& wanted : addresses) {
        auto opened = ListeningSocket::open(wanted.address, wanted.sharing);
        if (const auto* cause = std::get_if<error_code>(&opened)) return ListenFailure{&wanted, *cause};
        sockets.push_back(std::get<ListeningSocket>(std::move(opened)));
    }
    return sockets;
}

/// Logs a wait when it begins, when its cause changes, and from time to time.
class WaitLog {
  public:
    void note(const ListenFailure& failure) {
        const auto now = std::chrono::steady_clock::now();
        const bool is_known = failure.address == last_.address && failure.cause == last_.cause;
        if (is_known && now < next_line_at_) return;
        last_ = failure;
        next_line_at_ = now + kWaitLogInterval;
        log_event(Event::StartDelayed, "waiting until it can listen",
                  {{"field", failure.address->field},
                   {"address", text_of(failure.address->address)},
                   {"what", failure.cause.message()}});
    }

  private:
    ListenFailure last_;
    std::chrono::steady_clock::time_point next_line_at_{};
};

}  // namespace

std::variant<std::vector<ListeningSocket>, ExitCode> listen_on(const std::vector<ListenAddress>& addresses) {
    WaitLog wait_log;
    for (;;) {
        auto opened = try_listen_on(addresses);
        if (auto* sockets = std::get_if<std::vector<ListeningSocket>>(&opened)) return std::move(*sockets);
        const auto& failure = std::get<ListenFailure>(opened);
        if (!may_pass(failure.cause)) {
            log_event(Event::BadSettings, failure.address->field + ": cannot listen on " +
                                              text_of(failure.address->address) + ": " +
                                              failure.cause.message());
            return ExitCode{kExitBadSettings};
        }
        wait_log.note(failure);
        if (!wait_unless_terminated(kStartRetryInterval)) return ExitCode{0};
    }
}

}  // namespace martenford::bootstrap
