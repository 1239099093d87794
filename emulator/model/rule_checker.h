// Watches the four rules from outside the sidecars: by what clients sent and got, what reached endpoints and
// what discovery told. Pure: each call carries its time.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/scheduler.h"

namespace martenford::emulator {

enum class Rule { NoneLost, NoDoubleEffect, DrainsKept, ColdSpared };
constexpr std::array<const char*, 4> kRuleNames = {"no request is lost", "no effect happens twice",
                                                   "drains are kept", "a cold endpoint is not pushed over"};

struct RuleFigures {
    Duration answer_slack = 20ms;  ///< past the deadline
    Duration drain_grace = 1s;
    double fall_multiple = 3.0;
    Duration tip_after = 1s;
    Duration wire_slack{};  ///< by which sockets may tell two machines' events in the wrong order
};

class RuleChecker {
  public:
    struct Verdict {
        std::uint64_t breaches = 0;
        std::vector<std::string> examples;  ///< the first few
    };
    /// How an attempt ended, as the endpoint knows it.
    enum class Ran { Never, Maybe };

    RuleChecker(const RuleFigures& figures, const std::vector<decision::RequestClass>& classes)
        : figures_(figures), classes_(classes) {}

    // ---- requests. An id is open from taken() until it is answered and its attempts are over.

    void taken(const std::string& id, std::uint32_t sidecar, std::uint32_t class_index, Time at,
               Time deadline);
    /// Refused is a claim that trying again is harmless. `genuine`: what was served is what an endpoint made
    /// for this request.
    void served(const std::string& id, Time at, bool genuine);
    void refused(const std::string& id, Time at);
    void failed(const std::string& id, Time at);
    /// Its client has gone: no answer is owed any more.
    void left(const std::string& id, Time at);
    /// What it held is the clients' to repeat.
    void sidecar_died(std::uint32_t sidecar);

    // ---- attempts. The number returned goes with attempt_over().

    std::size_t attempt(const std::string& id, std::uint32_t node, std::uint32_t pod, Time first_byte,
                        Time last_byte);
    void attempt_over(const std::string& id, std::size_t number, Ran ran);

    // ---- what sidecars have been told

    void told(std::uint32_t sidecar, std::uint32_t node, decision::Availability state, Time at);
    /// Work that has reached a cold endpoint, also what it turned away. True: it falls over by this.
    bool cold_work(std::uint32_t sidecar, std::uint32_t node, double work, double capacity, Time at);
    void forget_node(std::uint32_t node);
    /// An effect that must happen once at most was seen to happen again.
    void double_effect(const std::string& id, Time at);

    /// What is still owed past its deadline by now is lost.
    void finish(Time now);

    const Verdict& verdict(Rule rule) const { return verdicts_[static_cast<std::size_t>(rule)]; }
    bool all_kept() const;
    std::size_t open() const { return requests_.size() - closed_.size(); }

  private:
    struct Sent {
        std::uint32_t node = 0, pod = 0;
        Time last_byte{};
        bool over = false;
        Ran ran = Ran::Maybe;
    };
    struct Request {
        std::uint32_t sidecar = 0, class_index = 0;
        Time deadline{};
        bool owed = true, closed = false;
        Time answered_at{};
        std::vector<Sent> sent;
    };
    struct Push {
        Time at{};
        double work = 0.0, capacity = 0.0;
        bool told = false;
    };
    struct ColdNode {
        std::deque<Push> pushes;
        Time first{};
    };
    void breach(Rule rule, Time at, const std::string& what);
    Request* answered(const std::string& id, Time at, const char* what);
    void forget_if_over(const std::string& id);

    RuleFigures figures_;
    std::vector<decision::RequestClass> classes_;
    std::array<Verdict, 4> verdicts_;
    std::unordered_map<std::string, Request> requests_;
    std::deque<std::pair<Time, std::string>> closed_;  // answered and over, in order
    /// Of a node and a sidecar, as one number.
    static std::uint64_t pair_of(std::uint32_t node, std::uint32_t sidecar) {
        return (std::uint64_t{node} << 32) | sidecar;
    }
    std::unordered_map<std::uint64_t, Time> stop_;  // by pair: told to stop sending
    std::vector<std::vector<bool>> known_;          // by node, then sidecar: told that it serves
    std::map<std::uint32_t, ColdNode> cold_;
};

}  // namespace martenford::emulator
