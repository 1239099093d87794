// Events that the program logs. Each kind has a stable code and name and a limit on its lines per minute.
// docs/operate/events.md is generated from this table. Logging to a pipe never blocks: a line that the pipe
// has no room for is dropped and counted. Logging to another kind of standard error may block.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace martenford {

enum class Event {
    Listening,
    ConsoleListening,
    TakeoverStarted,
    NoSuccessor,
    Evacuates,
    Activates,
    ConfigRejected,
    PortUnavailable,
    DiscoveryAddressChanged,
    DiscoveryResync,
    DiscoveryCallFailed,
    DiscoveryListSuspicious,
    EntriesSkipped,
    JournalWriterLost,
    JournalRecovered,
    JournalBypassed,
    FleetListening,
    FleetCannotListen,
    FleetJoined,
    FleetLeft,
    FleetDied,
    FleetMassLoss,
    FleetReturned,
    FleetDuplicateName,
    FleetProcessPaused,
    FleetSuspicionRefuted,
    StateCaughtUp,
    StateNotPersisted,
    StatePersisted,
    StateCopyRejected,
    LogLinesLost
};

enum class Severity { Info, Warning, Error };

struct EventKind {
    Event event;
    const char* code;  ///< "MF101"; never changes its meaning
    const char* name;  ///< "package.what"
    Severity severity;
    unsigned max_lines_per_minute;  ///< further lines are suppressed; the next line that is written gives
                                    ///< their number
    const char* meaning;
};
const std::vector<EventKind>& event_kinds();
/// The table as a Markdown page.
std::string events_page();

using Field = std::pair<std::string_view, std::string>;
/// Writes one line: "martenford: CODE text | key=value ...".
void log_event(Event event, const std::string& text, std::initializer_list<Field> fields = {});

}  // namespace martenford
