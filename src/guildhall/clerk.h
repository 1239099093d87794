// The operator's calls: checked, decided one at a time on the agreed register, and answered once that is
// certain. Pure.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "calls/calls.h"
#include "charter/charter.h"
#include "moot/moot.h"
#include "passage/messages.h"

namespace martenford::guildhall {

class Clerk {
  public:
    explicit Clerk(moot::Moot& moot) : moot_(moot) {}

    void replace(Time now, const std::string& body, calls::Respond respond) {
        change(now, body, true, std::move(respond));
    }
    void modify(Time now, const std::string& body, calls::Respond respond) {
        change(now, body, false, std::move(respond));
    }
    void read(Time now, calls::Respond respond);
    /// After each turn of the register: answers what can be answered now.
    void settle(Time now);
    /// The newest word that is known to be committed.
    const passage::Word& word();
    /// What is refused or taken, for the log.
    std::function<void(bool taken, std::uint32_t version, const std::string& why)> on_decided;
    /// The leader's `control` address, for a 307.
    std::function<std::string(const moot::Member&)> control_of;

  private:
    struct Job {
        std::string body;
        bool whole = false, reads = false;
        calls::Respond respond;
        Time until{};
        // Once decided:
        std::optional<std::uint64_t> confirmation;  // an answer that waits for a majority's word that we lead
        calls::Response answer;
        std::optional<moot::Stamp> proposed;
        std::uint32_t version = 0;
    };
    void change(Time now, const std::string& body, bool whole, calls::Respond respond);
    void decide(Time now, Job& job);
    void answer_when_confirmed(Time now, Job& job, calls::Response answer);
    calls::Response elsewhere(Time now) const;

    moot::Moot& moot_;
    std::deque<Job> jobs_;
    moot::Stamp word_stamp_;
    passage::Word word_;
};

}  // namespace martenford::guildhall
