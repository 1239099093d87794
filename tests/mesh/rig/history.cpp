#include "mesh/rig/history.h"

#include <algorithm>

namespace martenford::rig {

namespace {

/// Of proper requests; one more in 500 is allowed.
constexpr std::size_t kMostDenied = 5;
/// A connection that ends so long after the request was sent has lost it, read or not. The rule's
/// `loss_slack_ms` is 200; a machine that is busy with other work adds to it.
constexpr Duration kLossSlack = 1s;
constexpr Duration kRevertSlack = 250ms;  // `revert_slack_ms`

std::string name(const Order& order) {
    return order.mark + " (version " + std::to_string(order.version) + " on " + std::to_string(order.base) +
           ")";
}
bool refused(const Sending& sending) {
    return sending.status / 100 == 4 && sending.status != 408 && sending.status != 429;
}

class Checker {
  public:
    explicit Checker(const History& history) : history_(history) {
        for (const Order& order : history.orders) by_mark_[order.mark] = &order;
    }
    std::vector<std::string> check() {
        check_end();
        ended_ = history_.last.status == 200;  // else nothing can be said of what was lost
        check_orders();
        check_refusals();
        check_reads();
        check_requests();
        check_marks();
        for (const auto& process : history_.ended_alone) broken("ended by itself: " + process);
        return std::move(broken_);
    }

  private:
    void broken(const std::string& what) { broken_.push_back(what); }
    bool in_force(const Order& order) const { return history_.last.marks.contains(order.mark); }

    /// The lineage that was read back at the end is one chain of changes that were sent, each on the one
    /// before.
    void check_end() {
        if (history_.last.status != 200) return broken("the configuration can't be read back");
        for (const auto& mark : history_.last.marks) {
            const auto order = by_mark_.find(mark);
            if (order == by_mark_.end())
                broken("in force and never sent: " + mark);
            else
                lineage_.push_back(order->second);
        }
        std::sort(lineage_.begin(), lineage_.end(),
                  [](const Order* a, const Order* b) { return a->version < b->version; });
        std::uint32_t at = 0;
        for (const Order* order : lineage_) {
            if (order->base != at) broken("not built on what it names: " + name(*order));
            at = order->version;
        }
        if (at != history_.last.version)
            broken("read back under another number: " + std::to_string(history_.last.version));
    }

    void check_orders() {
        std::map<std::uint32_t, const Order*> taken;
        for (const Order& order : history_.orders) {
            bool acknowledged = false;
            for (const Sending& sending : order.sendings) {
                if (refused(sending) && acknowledged)
                    broken("acknowledged, sent again and refused with " + std::to_string(sending.status) +
                           ": " + name(order));
                acknowledged |= sending.status == 200;
            }
            if (!acknowledged) continue;
            if (ended_ && !in_force(order)) broken("acknowledged and lost: " + name(order));
            if (const auto [other, first] = taken.emplace(order.base, &order); !first)
                broken("two acknowledged on one base: " + name(*other->second) + " and " + name(order));
        }
    }

    void check_refusals() {
        for (const Order& order : history_.orders) {
            for (const Sending& sending : order.sendings) {
                if (!refused(sending)) continue;
                if (in_force(order)) broken("refused and in force: " + name(order));
                // A refusal says that another version is current; its base was, from its acknowledgement or
                // a read until the change on top of it was first sent.
                if (known_since(order.base) < sending.sent && sending.answered < replaced_at(order.base))
                    broken("refused with " + std::to_string(sending.status) +
                           " on top of the current version: " + name(order));
            }
        }
    }
    Time known_since(std::uint32_t version) const {
        Time first = Time::max();
        for (const Order& order : history_.orders) {
            if (order.version != version || !in_force(order)) continue;
            for (const Sending& sending : order.sendings)
                if (sending.status == 200) first = std::min(first, sending.answered);
        }
        for (const Read& read : history_.reads)
            if (read.status == 200 && read.version == version) first = std::min(first, read.answered);
        return first;
    }
    Time replaced_at(std::uint32_t version) const {
        for (const Order* order : lineage_)
            if (order->base == version) return order->sendings.front().sent;
        return Time::max();
    }

    void check_reads() {
        std::set<std::string> lost;
        for (const Read& read : history_.reads) {
            if (read.status != 200 && read.status != 404) continue;
            for (const Order& order : history_.orders) {
                for (const Sending& sending : order.sendings) {
                    if (sending.status == 200 && sending.answered < read.sent && read.version < order.version)
                        broken("read " + std::to_string(read.version) + " after the acknowledgement of " +
                               name(order));
                }
            }
            for (const auto& mark : read.marks)
                if (ended_ && !history_.last.marks.contains(mark)) lost.insert(mark);
        }
        for (const auto& mark : lost) broken("read and lost: " + mark);
    }

    void check_requests() {
        std::map<std::string, std::size_t> runs;
        std::set<std::string> broke;
        for (const Run& run : history_.runs) {
            ++runs[run.id];
            if (run.broke) broke.insert(run.id);
            const auto asked = history_.requests.find(run.id);
            if (asked == history_.requests.end()) broken("run and never asked: " + run.id);
            if (!run.intact) broken("run with another path or body: " + run.id);
        }
        std::size_t denied = 0;
        for (const auto& [id, request] : history_.requests) {
            const auto run = runs.find(id);
            const std::size_t times = run == runs.end() ? 0 : run->second;
            if (!request.repeatable && times > 1)
                broken("not repeatable and run " + std::to_string(times) + " times: " + id);
            const int status = request.status;
            if (!request.repeatable && times > 0 &&
                (status == 429 || status == 503 || status == 408 || status == 421))
                broken("run and promised not to be, with " + std::to_string(status) + ": " + id);
            if (!request.answered_id.empty() && request.answered_id != id)
                broken("the answer to " + request.answered_id + " came to " + id);
            if (status / 100 == 2) {
                if (times == 0) broken("a success that nobody ran: " + id);
                if (request.answered_id != id || request.seal.empty() ||
                    request.body != echo_of(id, request.seal))
                    broken("a success that is not its endpoint's answer: " + id);
            }
            const bool cut = status == 0 && (times > 0 || request.ended - request.sent > kLossSlack);
            const bool given_up = times > 0 && (status == 500 || status == 502 || status == 504);
            if (history_.planned && !broke.contains(id) && (cut || given_up))
                broken("lost in planned work, with " + std::to_string(status) + " after " +
                       std::to_string(
                           std::chrono::duration_cast<std::chrono::milliseconds>(request.ended - request.sent)
                               .count()) +
                       " ms, run " + std::to_string(times) + " times: " + id);
            denied +=
                request.mark.empty() && status / 100 == 4 && status != 408 && status != 421 && status != 429;
        }
        if (denied > kMostDenied + history_.requests.size() / 500)
            broken(std::to_string(denied) + " proper requests were denied");
    }

    /// By the routes that changes brought: which of them was in force where, and when.
    void check_marks() {
        std::map<std::string, std::vector<const Request*>> lives;
        for (const auto& [id, request] : history_.requests) {
            if (request.mark.empty()) continue;
            if (request.status == 200 && ended_ && !history_.last.marks.contains(request.mark))
                broken("in force and lost: " + request.mark + ", request " + id);
            if (request.status == 200 || request.status == 404) lives[request.life].push_back(&request);
        }
        for (auto& [life, requests] : lives) {
            std::sort(requests.begin(), requests.end(),
                      [](const Request* a, const Request* b) { return a->ended < b->ended; });
            std::uint32_t seen = 0;  // the newest version that was served
            Time since{};
            for (const Request* request : requests) {
                const auto order = by_mark_.find(request->mark);
                if (order == by_mark_.end() || !in_force(*order->second)) continue;
                const std::uint32_t version = order->second->version;
                if (request->status == 200 && version > seen) {
                    seen = version;
                    since = request->ended;
                }
                if (request->status == 404 && version <= seen && request->sent > since + kRevertSlack)
                    broken(life + " went back behind " + request->mark);
            }
        }
    }

    const History& history_;
    std::map<std::string, const Order*> by_mark_;
    std::vector<const Order*> lineage_;
    bool ended_ = false;
    std::vector<std::string> broken_;
};

}  // namespace

std::string echo_of(const std::string& id, const std::string& instance) {
    return "echo of " + id + " by " + instance + " " + std::string(200 + id.size() * 37, 'e');
}

std::vector<std::string> violations(const History& history) {
    return Checker(history).check();
}

}  // namespace martenford::rig
