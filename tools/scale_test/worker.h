// Worker processes, which run the simulated proxies, and the memory that they share with the measuring one.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

#include "options.h"
#include "simulated_proxy.h"
#include "topology.h"

namespace martenford::scale_test {

/// Memory that the measuring process and its workers share.
struct Board {
    std::atomic<double> churn_per_s = 0;      ///< endpoints to replace a second, over all proxies
    std::atomic<std::uint64_t> replaced = 0;  ///< endpoints replaced so far
    Gauge gauges[kMaxProxies];                ///< by a simulated proxy's number
};

/// Owns the mapping of a Board. A process forked afterwards inherits it.
class SharedBoard {
  public:
    /// Throws std::runtime_error if the system gives no shared memory.
    SharedBoard();
    ~SharedBoard();
    SharedBoard(const SharedBoard&) = delete;
    SharedBoard& operator=(const SharedBoard&) = delete;
    Board* operator->() { return board_; }
    Board& operator*() { return *board_; }

  private:
    Board* board_;
};

/// The body of a worker, called in the forked process: runs the simulated proxies with these numbers until
/// the process is killed or its parent ends.
[[noreturn]] void run_worker(const Options& options, const StepSize& size,
                             const std::vector<std::size_t>& proxy_numbers, Board& board);

}  // namespace martenford::scale_test
