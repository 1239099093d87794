// Hosts many balancers behind one wire. No decisions.
#pragma once

#include <iosfwd>
#include <map>
#include <string>

#include "wire.h"

namespace martenford::decision::wire {

class Host {
  public:
    /// The reply to one batch, without the line's end. Throws WireError on malformed input.
    std::string reply(const std::string& line);

  private:
    Reader reader_;
    std::map<std::uint32_t, Balancer> balancers_;
};

/// Answers batches, one flush a reply, until the input ends. Returns the exit code.
int serve(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace martenford::decision::wire
