// Runs many balancers behind one JSON-lines connection.
#pragma once

#include <iosfwd>
#include <map>
#include <string>

#include "wire.h"

namespace martenford::decision::wire {

class Host {
  public:
    /// Returns the reply to one batch, without the newline. Throws WireError on malformed input.
    std::string reply(const std::string& line);

  private:
    Reader reader_;
    std::map<std::uint32_t, Balancer> balancers_;
};

/// Answers batches until the input ends and flushes after each reply. Returns the exit code.
int serve(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace martenford::decision::wire
