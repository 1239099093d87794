#include "worker.h"

#include <sys/mman.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <new>
#include <random>
#include <stdexcept>

namespace martenford::scale_test {

namespace {

/// How often a worker replaces endpoints while churn is asked for.
constexpr Duration kChurnInterval = 50ms;
/// How often it looks whether churn is asked for. Longer: a proxy alone in its process would otherwise seem
/// to wake up twice as often.
constexpr Duration kChurnPollInterval = 500ms;
/// Time between the end of an endpoint and the start of the next.
constexpr Duration kEndpointRestartDelay = 300ms;
/// First ticks are spread over this time, as those of proxies started at different moments.
constexpr unsigned kMaxFirstTickMs = 500;

SimulatedProxy::Options proxy_options(const Options& options, const StepSize& size, std::size_t number) {
    SimulatedProxy::Options out;
    out.node = "proxy-" + std::to_string(number);
    out.inbound_address = simulated_proxy_ip(options.net, number) + ":" + std::to_string(kControlPort + 2);
    out.service = service_name(number % size.config.services);
    out.zone = zone_name(number);
    for (std::size_t i = 0; i < std::min(kMaxSeeds, size.controllers); ++i)
        out.controllers.push_back(
            *parse_address(controller_ip(options.net, i) + ":" + std::to_string(kInternalPort)));
    return out;
}

}  // namespace

SharedBoard::SharedBoard() {
    void* memory = ::mmap(nullptr, sizeof(Board), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
    if (memory == MAP_FAILED) throw std::runtime_error("no shared memory");
    board_ = new (memory) Board;
}

SharedBoard::~SharedBoard() {
    ::munmap(board_, sizeof(Board));
}

void run_worker(const Options& options, const StepSize& size, const std::vector<std::size_t>& proxy_numbers,
                Board& board) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    EventLoop loop;
    std::mt19937 random{std::random_device{}()};
    std::map<std::size_t, std::unique_ptr<SimulatedProxy>> proxies;
    for (const std::size_t number : proxy_numbers) {
        SimulatedProxy::Options one = proxy_options(options, size, number);
        one.first_tick = std::chrono::milliseconds(random() % kMaxFirstTickMs);
        proxies[number] = std::make_unique<SimulatedProxy>(loop, one, board.gauges[number]);
    }
    // Replacements due, of which the whole part is made. A random start: not all workers at once.
    double due = static_cast<double>(random() % 100) / 100;
    Timer churn_timer(loop);
    std::function<void()> step = [&] {
        churn_timer.set(loop.now() + (board.churn_per_s > 0 ? kChurnInterval : kChurnPollInterval), step);
        due += board.churn_per_s * std::chrono::duration<double>(kChurnInterval).count() *
               static_cast<double>(proxy_numbers.size()) / static_cast<double>(size.proxies);
        for (; due >= 1; due -= 1) {
            SimulatedProxy* proxy = proxies.at(proxy_numbers[random() % proxy_numbers.size()]).get();
            proxy->end_endpoint();
            loop.add(loop.now() + kEndpointRestartDelay, [proxy] { proxy->replace_endpoint(); });
            ++board.replaced;
        }
    };
    step();
    loop.run();
    ::_exit(0);
}

}  // namespace martenford::scale_test
