// Real proxies of one service, and a controller, that are restarted by plan while clients download large
// answers through them. Clients and endpoints run in the loop of the test. Judges what the clients saw:
// around a planned restart, and with no unplanned fault near, every request that was read is answered whole
// or refused.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "mesh/rig/proxy_fleet.h"

namespace martenford::rig {

/// One request of a client, and what came of it.
struct Download {
    std::string id;
    std::size_t proxy = 0;
    Time sent{}, deadline{}, ended{};
    Response response;
};

class ShutdownWorld {
  public:
    explicit ShutdownWorld(std::uint64_t seed, std::size_t proxies = 4);
    ~ShutdownWorld();
    ShutdownWorld(const ShutdownWorld&) = delete;
    ShutdownWorld& operator=(const ShutdownWorld&) = delete;

    /// Returns once every proxy has served a request. Throws std::runtime_error if that takes too long.
    void start();
    /// Runs until all downloads have ended, all proxies run and all faults are over.
    void settle();

    /// Sends a request to a proxy; the client gives up after `time_remaining`.
    void download(std::size_t proxy, Duration time_remaining);
    /// Keeps `connections` downloads under way at each proxy, until stop_clients().
    void start_clients(std::size_t connections, Duration time_remaining);
    void stop_clients() { clients_run_ = false; }
    /// Answers of `size` bytes are sent by `piece` bytes each Endpoint::kPieceInterval from now on.
    void set_answers(std::size_t size, std::size_t piece);

    /// Answers of the endpoint beside `proxy` are lost: an unplanned fault.
    void lose_answers(std::size_t proxy, Duration duration);
    /// Planned stops and the other unplanned faults.
    [[nodiscard]] ProxyFleet& fleet() { return fleet_; }

    [[nodiscard]] const std::vector<Download>& downloads() const { return downloads_; }
    /// Rules that were violated, one line each; empty if none was.
    [[nodiscard]] std::vector<std::string> violations();
    /// Counts of downloads by outcome, for people.
    [[nodiscard]] std::string summary() const;

  private:
    void start_endpoint(std::size_t i);
    void send(std::size_t proxy, Duration time_remaining, const std::function<void()>& then);
    void keep_busy(std::size_t proxy, Duration time_remaining);
    [[nodiscard]] bool is_lost(const Download& download) const;
    [[nodiscard]] std::size_t below(std::size_t end) { return random_() % end; }

    std::mt19937_64 random_;
    ProxyFleet fleet_;
    EventLoop& loop_ = fleet_.loop();
    Counters counters_;
    std::vector<std::unique_ptr<Endpoint>> endpoints_;  // by proxy
    std::map<std::size_t, Time> loses_answers_until_;   // by the endpoint's proxy
    std::set<std::string> reached_;                     // ids of requests that reached an endpoint
    std::list<Connection> connections_;
    std::vector<Download> downloads_;
    std::size_t open_downloads_ = 0, answer_size_ = 0, answer_piece_ = 0;
    std::uint64_t last_id_ = 0;
    bool clients_run_ = false;
};

}  // namespace martenford::rig
