// Quorums and texts of the explorer.
#include "mesh/register_explorer_model.h"

#include <algorithm>

namespace martenford::explorer {

bool holds_majority(const std::vector<Member>& voters, const std::function<bool(MemberId)>& has) {
    const auto count =
        std::count_if(voters.begin(), voters.end(), [&](const Member& m) { return has(m.id); });
    return static_cast<std::size_t>(count) >= voters.size() / 2 + 1;
}
bool is_quorum(const LogEntry& entry, const std::function<bool(MemberId)>& has) {
    return holds_majority(entry.voters, has) &&
           (entry.outgoing_voters.empty() || holds_majority(entry.outgoing_voters, has));
}
bool same_voters(const LogEntry& a, const LogEntry& b) {
    return a.voters == b.voters && a.outgoing_voters == b.outgoing_voters;
}
std::string text_of(const LogPosition& position) {
    return std::to_string(position.term) + "." + std::to_string(position.index);
}
std::string text_of(const LogEntry& entry) {
    std::string text = text_of(entry.position) + " {";
    for (const Member& m : entry.voters) text += " " + std::to_string(m.id);
    if (!entry.outgoing_voters.empty()) text += " |";
    for (const Member& m : entry.outgoing_voters) text += " " + std::to_string(m.id);
    return text + " } '" +
           (entry.value.size() > 24 ? "..." + entry.value.substr(entry.value.size() - 24) : entry.value) +
           "'";
}
std::string text_of(const Message& message) {
    static const char* const kKinds[] = {"RequestVote", "RequestVoteReply", "AppendEntries",
                                         "AppendEntriesReply", "TimeoutNow"};
    const auto kind = static_cast<std::size_t>(message.kind);
    return std::string(kind < std::size(kKinds) ? kKinds[kind] : "?") +
           (message.pre_vote ? " pre-vote" : "") + " term " + std::to_string(message.term) +
           (message.granted ? " granted" : "") + " last " + text_of(message.last_position) + " committed " +
           text_of(message.commit_position) + " round " + std::to_string(message.round) +
           (message.entry ? " entry " + text_of(*message.entry) : "");
}

}  // namespace martenford::explorer
