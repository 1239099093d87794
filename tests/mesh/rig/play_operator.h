// An operator of a play: reads the configuration, changes it, and retries as the platform's documentation
// asks.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "mesh/rig/history.h"
#include "mesh/rig/standins.h"
#include "mesh_config/json_reader.h"

namespace martenford::rig {

/// What an operator needs of its play.
class OperatorEnvironment {
  public:
    using Done = std::function<void(Response&&)>;
    virtual EventLoop& loop() = 0;
    virtual History& history() = 0;
    /// Returns true once no further change is to be sent.
    virtual bool stopping() const = 0;
    /// Returns a random number below `end`.
    virtual std::size_t random_below(std::size_t end) = 0;
    /// Calls a random controller; follows redirects to the leader.
    virtual void call_controller(const std::string& method, const std::string& path, const std::string& body,
                                 Duration timeout, Done done) = 0;

  protected:
    ~OperatorEnvironment() = default;
};

/// Time after which a caller takes a controller or proxy for unavailable.
constexpr Duration kCallTimeout = 1s;

/// Returns the read that a response to /v1/configuration/read is.
ConfigRead parse_config_read(const Response& response, Time sent);

/// Sends one configuration change after another until the play stops.
class Operator {
  public:
    Operator(OperatorEnvironment& environment, int number) : environment_(environment), number_(number) {}
    void start() { read_config(); }
    [[nodiscard]] bool is_idle() const { return idle_; }
    [[nodiscard]] std::size_t acknowledged() const { return acknowledged_; }
    [[nodiscard]] Duration slowest_change() const { return slowest_change_; }

  private:
    struct PendingChange {
        std::size_t index = 0;  // in History::changes
        std::string path, body;
        Time give_up_at{};
        int attempts = 0;
    };
    using PendingChangePtr = std::shared_ptr<PendingChange>;

    void read_config();
    void propose(const ConfigRead& base, const mesh_config::Json& document);
    void write_body(const ConfigChange& change, const mesh_config::Json& document, PendingChange& pending);
    void send(const PendingChangePtr& pending, Duration backoff);
    void finish(const PendingChangePtr& pending, int status);
    void resend(const PendingChangePtr& pending);
    void after(Duration delay, std::function<void()> action);

    OperatorEnvironment& environment_;
    const int number_;
    int last_change_ = 0;
    bool idle_ = true;
    std::size_t acknowledged_ = 0;
    Duration slowest_change_{};
};

}  // namespace martenford::rig
