// The operator's calls: checked, decided one at a time on the agreed register, and answered once that is
// certain. Pure. docs/control.md tells why no two under one number are both confirmed.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "calls/calls.h"
#include "mesh_config/mesh_config.h"
#include "passage/messages.h"
#include "raft/raft_node.h"

namespace martenford::guildhall {

class Clerk {
  public:
    explicit Clerk(raft::RaftNode& raft) : moot_(raft) {}

    void replace(Time now, const std::string& body, calls::Respond respond) {
        take(now, Call::Replace, body, std::move(respond));
    }
    void modify(Time now, const std::string& body, calls::Respond respond) {
        take(now, Call::Modify, body, std::move(respond));
    }
    void read(Time now, calls::Respond respond) { take(now, Call::Read, "", std::move(respond)); }
    /// After each turn of the register, once what it gave is on disk and out: looks at every call, in the
    /// order in which they came, and answers what can be answered now.
    void settle(Time now);
    /// The newest word that is known to be committed.
    const passage::Word& word();
    /// What is refused or taken, for the log.
    std::function<void(bool taken, std::uint32_t version, const std::string& why)> on_decided;
    /// The leader's `control` address, for a 307.
    std::function<std::string(const raft::Member&)> control_of;

  private:
    enum class Call { Replace, Modify, Read };
    /// One call. Undecided at first; then it waits for one of three things, or is answered.
    struct Job {
        Call call = Call::Read;
        std::string body;
        std::uint64_t digest = 0;  ///< of the call's kind and body
        calls::Respond respond;
        Time came{};
        std::uint32_t version = 0;
        raft::Term term = 0;  ///< in which it was decided
        /// A new word, made from the committed one with the first stamp: the register takes it, or not yet.
        std::optional<std::pair<raft::LogPosition, std::string>> next;
        /// The entry that holds the call's change: 200 once it is durable.
        std::optional<raft::LogPosition> holds;
        bool repeated = false;  ///< it was found there: no change of its own
        /// An answer that depends on what is current: given once a majority has said that this one still
        /// leads.
        std::optional<std::uint64_t> confirmation;
        calls::Response answer;
    };
    void take(Time now, Call call, const std::string& body, calls::Respond respond);
    std::optional<calls::Response> look_at(Time now, Job& job);
    void decide(Time now, Job& job);
    void propose(Time now, Job& job);
    void refuse(Time now, Job& job, unsigned status, const std::string& why, const std::string& logged = "");
    void answer_when_confirmed(Time now, Job& job, calls::Response answer);
    calls::Response elsewhere(Time now, Call call) const;
    bool is_settled() const {
        return moot_.persistent_state().committed_entry.position ==
               moot_.persistent_state().last_entry.position;
    }

    raft::RaftNode& moot_;
    std::deque<Job> jobs_;
    std::size_t held_ = 0;  // bytes of bodies in jobs_
    raft::LogPosition word_stamp_;
    bool readable_ = true;
    passage::Word word_;
};

}  // namespace martenford::guildhall
