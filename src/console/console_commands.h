// The commands of the operators' console, text in and text out. Free of I/O: the operations are passed in.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace martenford {

class ConsoleCommands {
  public:
    struct Operations {
        std::function<bool()> ready;             ///< whether this process accepts clients
        std::function<std::string()> telemetry;  ///< the metrics, as lines
        std::function<bool()> evacuate;          ///< false if the process is stopping
        std::function<bool()> activate;          ///< false if the process is stopping
        /// Commands of optional features. Returns lines, or nothing for an unknown command.
        std::function<std::optional<std::string>(std::string_view line)> extra{};
    };
    explicit ConsoleCommands(Operations operations) : operations_(std::move(operations)) {}

    /// Returns the complete reply to a command; its last line ends with a line feed, `line` must not. Unknown
    /// commands are answered with NO and change nothing.
    std::string reply(std::string_view line) const;

  private:
    Operations operations_;
};

}  // namespace martenford
