// The mesh of one step: its controllers, the workers with the simulated proxies, and the real proxies.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "load.h"
#include "options.h"
#include "processes.h"
#include "topology.h"
#include "worker.h"

namespace martenford::scale_test {

/// Time for one event, in s; after it the run goes on without it.
constexpr double kEventTimeout = 30;

/// Waits `s` seconds and does nothing else.
void sleep_seconds(double s);

/// Whether all proxies reached a state, and when.
struct Reached {
    double after_s;    ///< NaN where it was not all of them in time
    double share = 1;  ///< of the proxies that were there at the end
};

/// Starts the processes of one step; ends them with itself. Every call blocks; one thread.
class Mesh {
  public:
    /// Starts the controllers. Throws std::runtime_error where a process can't be started.
    Mesh(const Options& options, const StepSize& size);

    /// Puts the next version of the configuration; retries while no leader is elected. Returns the
    /// seconds until it was acknowledged, NaN if not within kEventTimeout. Throws std::runtime_error if the
    /// configuration is rejected or a controller has ended.
    [[nodiscard]] double put_configuration();
    /// Starts the workers and the real proxies.
    void start_proxies();
    /// Waits; sends the heartbeats of the real proxies' endpoints meanwhile.
    void wait(double s);
    /// Waits until `is_reached` holds for each simulated proxy outside the lost zone.
    [[nodiscard]] Reached wait_for_proxies(const std::function<bool(const Gauge&)>& is_reached,
                                           double timeout_s = kEventTimeout);

    [[nodiscard]] Snapshot snapshot();
    /// Loads by role: the leader, the median follower, the mean proxy of each kind.
    [[nodiscard]] Roles load_by_role(const Snapshot& before, const Snapshot& after) const;

    void kill_controllers();
    /// Restarts killed controllers on their data directories.
    void restart_controllers();
    /// Kills the processes of one zone: a fifth of the proxies, and a controller that doesn't lead.
    void kill_zone();
    void restart_zone();
    /// Whether each worker's proxies are of one zone, so that a zone can be killed.
    [[nodiscard]] bool has_workers_by_zone() const;

    [[nodiscard]] Board& board() { return *board_; }
    [[nodiscard]] std::size_t proxy_count() const { return size_.proxies + size_.real; }
    /// The version of the configuration acknowledged last.
    [[nodiscard]] std::uint32_t version() const { return version_; }

  private:
    enum class FirstBoot { Yes, No };

    void start_controller(std::size_t index, FirstBoot first_boot);
    void start_worker(std::size_t index);
    void start_real_proxy(std::size_t index);
    void send_heartbeats();
    /// Throws std::runtime_error if a controller has ended.
    void check_controllers() const;
    [[nodiscard]] std::string settings(const std::string& name, const std::string& ip, FirstBoot first_boot,
                                       const std::string& zone) const;
    [[nodiscard]] std::vector<std::string> process_names() const;
    static std::string worker_name(std::size_t index) { return "worker-" + std::to_string(index); }

    const Options& options_;
    const StepSize size_;
    SharedBoard board_;
    Processes processes_;
    std::vector<std::string> controllers_, real_proxies_;      // names
    std::vector<std::vector<std::size_t>> numbers_by_worker_;  // of the simulated proxies
    std::string leader_ip_;                                    // empty: not known
    std::uint32_t version_ = 0;
    Clock::time_point heartbeat_sent_at_{};
    std::uint64_t heartbeats_ = 0;
    std::optional<std::size_t> lost_zone_;
    std::size_t lost_controller_ = 0;
};

}  // namespace martenford::scale_test
