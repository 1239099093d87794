// What the program tells people: each kind has a stable code and a name, and is bounded in how often it is
// told. The one table that docs/operate/events.md is made of. A pipe never
// blocks it: what it has no room for is counted. Another kind of standard error may.
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
    const char* code;  ///< "MF101": stays with its meaning for good
    const char* name;  ///< "package.what"
    Severity severity;
    unsigned max_lines_per_minute;  ///< lines a minute; what comes more often is counted, and told of with
                                    ///< the next one
    const char* meaning;
};
const std::vector<EventKind>& event_kinds();
/// The table as a page, for people.
std::string events_page();

using Field = std::pair<std::string_view, std::string>;
/// One line: "martenford: CODE text | key=value ...".
void log_event(Event event, const std::string& text, std::initializer_list<Field> fields = {});

}  // namespace martenford
