# Defects that the explorer must find: each replaces one text of src/raft/raft_node.cpp, which must stand there exactly
# once. Included by ../CMakeLists.txt, which makes a test of each, and at build time by seed.cmake, which applies one.

seeded_defect(unsynced_vote "a vote goes out before it is on disk"
[[        state_.voted_for = message.from.id;
        must_persist_ = true;
]] [[        state_.voted_for = message.from.id;
]])

seeded_defect(unsynced_candidacy "a candidate's new term and its vote for itself are not persisted"
[[        state_.voted_for = self_.id;
        must_persist_ = true;
]] [[        state_.voted_for = self_.id;
]])

seeded_defect(unsynced_term "a term that was heard of is not persisted"
[[        state_.voted_for = 0;
        must_persist_ = true;
]] [[        state_.voted_for = 0;
]])

seeded_defect(unsynced_entry "an entry is acknowledged before it is on disk"
[[        state_.last_entry = *message.entry;
        must_persist_ = true;
]] [[        state_.last_entry = *message.entry;
]])

seeded_defect(wiped_voter_votes "what came after a lost disk answers what that one was asked"
[[    if (message.to != self_.id) return;
]] [[]])

seeded_defect(two_votes_in_a_term "the vote that was given in this term is forgotten"
[[const bool free = state_.voted_for == 0 || state_.voted_for == message.from.id;]]
[[const bool free = true;]])

seeded_defect(vote_for_the_behind "the vote doesn't ask whether the candidate has all"
[[const bool has_all = message.last_position >= state_.last_entry.position;]]
[[const bool has_all = true;]])

seeded_defect(old_majority_not_asked "an election while members change asks no majority of the outgoing set"
[[    for (const auto* set : {&state_.last_entry.voters, &state_.last_entry.outgoing_voters}) {
        const auto count]] [[    for (const auto* set : {&state_.last_entry.voters}) {
        const auto count]])

seeded_defect(old_majority_not_waited_for "an entry is committed without a majority of the outgoing set"
[[        if (set->empty()) continue;
]] [[        if (set->empty() || set == &state_.last_entry.outgoing_voters) continue;
]])

seeded_defect(swap_without_overlap "one set follows another in one step"
[[    append(now, std::move(chosen), voters, state_.last_entry.value);]]
[[    append(now, std::move(chosen), {}, state_.last_entry.value);]])

seeded_defect(change_ends_uncommitted "the old set goes before the change is committed"
[[    if (state_.last_entry.outgoing_voters.empty() || !has_leader_lease(now) ||
        state_.committed_entry.position != state_.last_entry.position)
        return;]]
[[    if (state_.last_entry.outgoing_voters.empty() || !has_leader_lease(now)) return;]])

seeded_defect(change_on_uncommitted "a change of members begins on an uncommitted entry"
[[    if (!has_leader_lease(now) || state_.committed_entry.position != state_.last_entry.position ||
        !state_.last_entry.outgoing_voters.empty())
        return;
    std::vector<VoterCandidate> candidates;]]
[[    if (!has_leader_lease(now) || !state_.last_entry.outgoing_voters.empty()) return;
    std::vector<VoterCandidate> candidates;]])

seeded_defect(committed_before_majority "an entry is committed before a majority has it"
[[holds.push_back(peer->second.match_position == state_.last_entry.position);]]
[[holds.push_back(true);]])

seeded_defect(own_copy_before_sync "the leader counts its own copy before it is on disk"
[[holds.push_back(persisted_position_ == state_.last_entry.position);]]
[[holds.push_back(true);]])

seeded_defect(answer_before_commit "a 200 goes out as soon as the leader holds the entry"
[[    if (role_ != Role::Leader || state_.committed_entry.position < stamp) return false;
]] [[    if (role_ == Role::Leader) return true;
]])

seeded_defect(answer_before_copies "a 200 goes out with as few copies as a set that still grows commits with"
[[    return replicas_survive_failures(holders, voters_with_locations(), options_.fault_tolerance);]]
[[    return true;]])

seeded_defect(ack_for_the_wrong_entry "an acknowledgement of an older entry is taken for the newest"
[[    peer.match_position = message.last_position;]]
[[    peer.match_position = state_.last_entry.position;]])

seeded_defect(commit_told_too_far "a follower takes its own newest for committed because a later one is"
[[    if (message.commit_position == state_.last_entry.position &&
        state_.committed_entry.position < state_.last_entry.position) {]]
[[    if (message.commit_position >= state_.last_entry.position &&
        state_.committed_entry.position < state_.last_entry.position) {]])

seeded_defect(history_lost "a new leader starts from what it knows as committed, not from what it holds"
[[    append(now, state_.last_entry.voters, state_.last_entry.outgoing_voters, state_.last_entry.value);]]
[[    append(now, state_.last_entry.voters, state_.last_entry.outgoing_voters, state_.committed_entry.value);]])

seeded_defect(older_entry_accepted "a late entry takes the place of a newer one"
[[    if (message.entry && message.entry->position > state_.last_entry.position) {]]
[[    if (message.entry && message.entry->position != state_.last_entry.position) {]])

seeded_defect(own_entry_not_needed "a new leader answers before an entry of its own term is committed"
[[    return role_ == Role::Leader && !persist_failed_ && state_.committed_entry.position.term == state_.term &&
]] [[    return role_ == Role::Leader && !persist_failed_ &&
]])

seeded_defect(lease_from_arrival "the leader's lease counts from when an answer is read"
[[    if (asked <= now) peer.acknowledged_at = std::max(peer.acknowledged_at, asked);]]
[[    if (asked <= now) peer.acknowledged_at = now;]])

seeded_defect(touch_from_arrival "a follower counts contact from when the leader's word is read"
[[        quorum_contact_at_ =
            std::max(quorum_contact_at_,
                     contact_sent_at_[contact_sent_at_.size() - 1 - static_cast<std::size_t>(ago)]);]]
[[        quorum_contact_at_ = now;]])

seeded_defect(stale_confirmation "an answer to an earlier question confirms a later one"
[[    confirmed_round_ = std::max(confirmed_round_, reached.round);]]
[[    confirmed_round_ = round_;]])

seeded_defect(leaver_goes_first "a leaving member ends before its place and its copy are with others"
[[    return leaving_ && role_ == Role::Follower && !is_voter() && state_.last_entry.outgoing_voters.empty() &&
]] [[    return leaving_ && role_ == Role::Follower && state_.last_entry.outgoing_voters.empty() &&
]])
