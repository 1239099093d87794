// What operators may call, as text to text. Pure: what a call does is handed in.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace martenford {

class ConsoleCommands {
  public:
    struct Operations {
        std::function<bool()> ready;             ///< whether this process takes clients
        std::function<std::string()> telemetry;  ///< the figures, in lines
        std::function<bool()> evacuate;          ///< false where the process ends anyway
        std::function<bool()> activate;          ///< the same
        /// Calls of packages that are switched on: lines, or nothing where it is none of theirs.
        std::function<std::optional<std::string>(std::string_view line)> extra{};
    };
    explicit ConsoleCommands(Operations operations) : operations_(std::move(operations)) {}

    /// The whole reply to a call, its last line ended; `line` has no line end of its own. What is no call is
    /// answered NO and changes nothing.
    std::string reply(std::string_view line) const;

  private:
    Operations operations_;
};

}  // namespace martenford
