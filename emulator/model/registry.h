// Discovery as the platform's protocol tells it: versions of a tier's list, watches on them, silence and
// delay. Pure but for the scheduler; whoever carries it to a sidecar (a socket, or a simulated way) asks
// here.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/scheduler.h"
#include "martenford/decision/balancer.h"

namespace martenford::emulator {

struct Listing {
    std::string uid, address, zone = "a", kind = "std";
    std::uint32_t pod = 0;
    decision::Availability state = decision::Availability::Ready;
    std::int64_t boot_ms = 0;  ///< Unix time; 0: long ago
    std::uint32_t node = 0;    ///< index in the emulated fleet; told to nobody
};

struct ListAnswer {
    std::uint64_t revision = 0;
    bool all = false;
    std::vector<Listing> entries;
};

/// One tier's list.
class Registry {
  public:
    /// Nothing: the call failed, discovery is silent.
    using Done = std::function<void(const ListAnswer*)>;
    using WatchId = std::uint64_t;

    /// Where lists are pushed, calls during a silence are not failed: they wait.
    Registry(Scheduler& scheduler, bool asked) : scheduler_(scheduler), asked_(asked) {}

    /// Enters or changes what is listed; watches are answered at once.
    void change(const Listing& listing);
    /// Changes that come during a silence are told after it. When it begins, watches end where calls are
    /// asked.
    void silence(bool silent);
    bool silent() const { return silent_; }

    /// The whole list as it is now.
    ListAnswer all() const;
    /// GET /api/targets: answered at once or, where a `since` is given, when something newer is there or
    /// `wait` is up. `done` is called once, also before this returns, unless the watch is dropped.
    WatchId ask(std::optional<std::uint64_t> since, Duration wait, Done done);
    void drop(WatchId id);
    std::size_t watches() const { return watches_.size(); }

  private:
    struct Watch {
        std::optional<std::uint64_t> since;
        Done done;
        std::optional<Scheduler::Key> timer;
    };
    struct Entry {
        Listing listing;
        std::uint64_t revision = 0;
    };
    ListAnswer since(std::uint64_t revision) const;
    void answer(WatchId id);
    void serve();

    Scheduler& scheduler_;
    bool asked_, silent_ = false;
    std::uint64_t revision_ = 1, last_watch_ = 0;
    std::map<std::string, Entry> entries_;               // by uid; those that are gone are kept for watches
    std::multimap<std::uint64_t, std::string> changes_;  // uids by the revision of their newest change
    std::map<WatchId, Watch> watches_;
};

}  // namespace martenford::emulator
