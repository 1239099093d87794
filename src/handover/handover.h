// Graceful restart of a sidecar: a later process takes over the listening socket of an earlier one through a
// local socket in a directory that both can access, and each process knows how long the other one exists. The
// reasons are in docs/upgrades.md.
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
    /// @param directory private to this sidecar
    /// @param name of the sidecar, the same for all of its processes
    Handover(EventLoop& loop, const std::string& directory, const std::string& name);
    ~Handover();

    /// Looks for an earlier process and calls `found` once: with a descriptor of its listener, which the
    /// callee has to close, or with nothing if no process answers.
    void find_earlier(std::function<void(std::optional<int>)> found);
    /// Makes this process available to a later one, and tells the earlier one that this process now accepts.
    /// @param listener returns the descriptor of the listening socket, -1 if there is none
    void announce(std::function<int()> listener);
    /// Sets the callback for the other process appearing (true) or exiting. The argument is whether any other
    /// process of this sidecar exists.
    void on_other_process_changed(std::function<void(bool)> changed) { on_changed_ = std::move(changed); }
    /// Whether another process of this sidecar exists.
    bool has_other_process() const { return earlier_ || later_; }
    /// Whether a later process accepts connections from the same listener.
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
