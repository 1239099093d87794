// Many processes of the program that form one fleet, with faults in them and between them, and a history of
// what each believed: each process dates its own beliefs by the machine's monotonic clock, so that all have
// one clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/loop.h"
#include "emulator/relay_net.h"
#include "emulator/sidecar_process.h"

namespace martenford::emulator {

class FleetRig {
  public:
    struct Options {
        std::string program;
        std::size_t members = 5;
        std::size_t seeds = 2;  ///< members that all know from the start
        std::uint64_t seed = 1;
        std::string fleet;   ///< more fields of [fleet], as TOML; {name} is the member's
        std::string folder;  ///< for the files of processes
        bool directories =
            false;  ///< one for each name: a second process of a name takes over from the first
        std::size_t sockets = 512;  ///< told to each as its limit
    };
    /// One that a member knows, as its console says.
    struct Believed {
        std::string name, boot, state;
        bool doubled = false;
    };
    /// What a member came to hold of another, or what was done to one ("killed", "stopped", ...).
    struct Entry {
        Time at{};
        std::size_t observer = 0;
        std::size_t subject = 0;
        std::string boot, what;
        bool done = false;  ///< a fault, and no belief
    };

    FleetRig(EventLoop& loop, Options options);
    ~FleetRig();

    /// `name`: another than "n" and its number, as a copied configuration has.
    void start(std::size_t member, const std::string& name = {});
    void start_all();
    void kill(std::size_t member);
    void stop(std::size_t member);
    void wake(std::size_t member);
    /// SIGTERM.
    void end(std::size_t member);
    RelayNet& net() { return net_; }
    /// All of them but these.
    std::set<std::size_t> others(const std::set<std::size_t>& group) const;
    std::set<std::size_t> all() const { return others({}); }

    /// Runs until `so` holds, looked at after each poll of the members; false where it does not within
    /// `most`.
    bool await(const std::function<bool()>& so, Duration most);
    void run_for(Duration time);

    /// What it answers to one call of its console; nothing where it does not. Runs the loop meanwhile.
    std::optional<std::string> call(std::size_t member, const std::string& line);
    /// Where clients reach it.
    const Address& address(std::size_t member) const { return members_[member].process->address(); }
    /// Where operators call it.
    const Address& console(std::size_t member) const { return members_[member].process->console(); }
    bool is_up(std::size_t member) const { return members_[member].process != nullptr; }
    const std::vector<Believed>& beliefs(std::size_t member) const { return members_[member].beliefs; }
    /// How many it holds to be in this state; itself among the alive.
    std::size_t holds(std::size_t member, const std::string& state) const;
    /// Its word on the one that runs under this number now; empty: it knows none.
    std::string holds_of(std::size_t observer, std::size_t subject) const;
    /// Whether all that are up hold just those that are up to be alive.
    bool all_agree() const;
    /// A field of what it says of itself, such as "health"; 0 where it has none.
    double own(std::size_t member, const std::string& field) const;
    const std::vector<std::string>& log(std::size_t member) const { return members_[member].log; }
    const std::vector<Entry>& history() const { return history_; }
    /// As JSON, a line each.
    void write_history(const std::string& path) const;
    /// Ended by itself: the first such; nothing while all are as they should be.
    std::optional<std::size_t> crashed();
    /// What each holds of each, as text.
    std::string beliefs_text() const;

  private:
    struct Member {
        std::shared_ptr<SidecarProcess> process;
        std::size_t starts = 0;
        std::string boot;
        bool stopped = false, ending = false, asking = false;
        std::vector<Believed> beliefs;
        std::set<std::string> alive;  ///< boots of those
        std::map<std::string, std::string> own;
        std::uint64_t last_turn = 0;
        std::vector<std::string> log;
    };
    class Question;
    void poll();
    void ask(std::size_t member);
    void take_members(std::size_t member, const std::string& reply);
    void take_turns(std::size_t member, const std::string& reply);
    void done(std::size_t member, const std::string& what);

    EventLoop& loop_;
    const Options options_;
    RelayNet net_;
    std::vector<Member> members_;
    std::vector<std::shared_ptr<SidecarProcess>> ended_;
    std::map<std::string, std::size_t> by_boot_;
    std::vector<Entry> history_;
    Timer poll_;
    std::size_t polled_ = 0;
};

}  // namespace martenford::emulator
