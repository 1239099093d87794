// Two processes of one sidecar, one after the other: the later takes over the earlier's listening socket
// through a local socket in a directory that both see, and each knows for how long the other is there.
// docs/upgrades.md has the reasons.
#pragma once

#include <boost/asio/local/stream_protocol.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/loop.h"

namespace martenford {

class Handover {
  public:
    /// `directory`: private to this sidecar; `name`: the sidecar's, the same for each of its processes.
    Handover(EventLoop& loop, const std::string& directory, const std::string& name);
    ~Handover();

    /// Looks for an earlier process and calls `found` once: with a descriptor of its listener, which is the
    /// callee's to close, or with nothing where none answers.
    void find_earlier(std::function<void(std::optional<int>)> found);
    /// Lets a later process find this one, which listens at `listener`, and tells the earlier one to go by
    /// that.
    void announce(std::function<int()> listener);
    /// Called whenever the other process comes or goes.
    void on_other_process_changed(std::function<void(bool)> changed) { on_changed_ = std::move(changed); }
    /// Whether another process of this sidecar is there.
    bool has_other_process() const { return earlier_ || later_; }
    /// Whether a later process accepts from the same listener.
    bool replaced() const { return later_ && later_ready_; }

  private:
    using Local = asio::local::stream_protocol;

    void finish_search(std::optional<int> listener);
    void await_listener();
    void accept();
    void hand_over_to(Local::socket socket);
    void await_later();
    void await_earlier();
    std::string path(const std::string& name) const;

    EventLoop& loop_;
    int directory_ = -1;
    std::string name_;
    std::function<void(std::optional<int>)> on_found_;
    std::function<int()> listener_;
    std::function<void(bool)> on_changed_;
    std::optional<Local::acceptor> acceptor_;
    std::shared_ptr<Local::socket> earlier_, later_;
    Timer timer_;
    char earlier_byte_ = 0;
    bool later_ready_ = false;
    char later_byte_ = 0;
};

}  // namespace martenford
