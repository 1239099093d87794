// One real sidecar: a process of its own, its configuration file and its log.
#pragma once

#include <sys/types.h>

#include <array>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/address.h"
#include "core/loop.h"

namespace martenford::emulator {

class SidecarProcess : public std::enable_shared_from_this<SidecarProcess> {
  public:
    using Line = std::function<void(const std::string&)>;

    /// Starts `program` with this configuration in a file under `folder`, and with one of its own where `own`
    /// is not empty; `line` gets each line of its log. `directory`: its TMPDIR, where it finds an earlier
    /// process of its name and hands over to a later one; empty: it has none. Throws std::runtime_error where
    /// that fails.
    static std::shared_ptr<SidecarProcess> start(EventLoop& loop, const std::string& program,
                                                 const std::string& folder, const std::string& name,
                                                 const std::string& config, const std::string& own, Line line,
                                                 const std::string& directory = {});
    SidecarProcess(EventLoop& loop, std::string config_path, Line line);
    ~SidecarProcess();
    SidecarProcess(const SidecarProcess&) = delete;
    SidecarProcess& operator=(const SidecarProcess&) = delete;

    /// SIGKILL; it is reaped in the destructor at the latest.
    void kill();
    /// SIGTERM: it answers what it has taken, tells its fleet, and ends.
    void terminate() const;
    /// It stands still, as a process without a processor does: SIGSTOP, SIGCONT.
    void pause() const;
    void wake() const;
    /// Replaces its configuration, whole or not at all, and sends SIGHUP.
    void reload(const std::string& config);
    /// Whether it has ended, by itself or killed. Reaps it then.
    bool ended();
    bool was_killed() const { return killed_; }
    pid_t pid() const { return pid_; }
    /// Where it said that it listens; port 0: not yet.
    const Address& address() const { return address_; }
    /// Where it said that operators call.
    const Address& console() const { return console_; }
    /// Where it said that others of its fleet reach it, before any relay.
    const Address& fleet() const { return fleet_; }

  private:
    void read();
    void take(const std::string& line);
    void signal(int number) const;

    EventLoop& loop_;
    std::string config_path_, own_path_;
    Line line_;
    pid_t pid_ = 0;
    bool killed_ = false;
    Address address_, console_, fleet_;
    boost::asio::posix::stream_descriptor log_;
    std::string pending_;
    std::array<char, 4096> chunk_{};
};

}  // namespace martenford::emulator
