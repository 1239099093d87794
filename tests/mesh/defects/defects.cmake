# Defects that the explorer must find: each replaces one text of a file of src/raft, which must stand there exactly once.
# Included by ../CMakeLists.txt, which makes a program and a test of each, and at build time by seed.cmake, which applies
# one. seeded_defect(NAME FILE WHAT OLD NEW)

# ---- election.cpp

seeded_defect(unsynced_vote election.cpp "a vote goes out before it is on disk"
[[        state_.voted_for = message.from.id;
        must_persist_ = true;
]] [[        state_.voted_for = message.from.id;
]])

seeded_defect(unsynced_candidacy election.cpp "a candidate's new term and its vote for itself are not persisted"
[[        state_.voted_for = self_.id;
        must_persist_ = true;
]] [[        state_.voted_for = self_.id;
]])

seeded_defect(unsynced_term election.cpp "a term that was learned from a message is not persisted"
[[        state_.voted_for = 0;
        must_persist_ = true;
]] [[        state_.voted_for = 0;
]])

seeded_defect(two_votes_in_a_term election.cpp "the vote that was given in this term is forgotten"
[[const bool vote_free = state_.voted_for == 0 || state_.voted_for == message.from.id;]]
[[const bool vote_free = true;]])

seeded_defect(vote_for_the_behind election.cpp "a vote does not require that the candidate's log is up to date"
[[const bool up_to_date = message.last_position >= state_.last_entry.position;]]
[[const bool up_to_date = true;]])

seeded_defect(old_majority_not_asked election.cpp "an election in joint consensus takes no majority of the outgoing voters"
[[    for (const auto* voters : {&state_.last_entry.voters, &state_.last_entry.outgoing_voters}) {
        const auto granted]] [[    for (const auto* voters : {&state_.last_entry.voters}) {
        const auto granted]])

seeded_defect(history_lost election.cpp "a new leader starts from its committed entry, not from its last entry"
[[    append(now, state_.last_entry.voters, state_.last_entry.outgoing_voters, state_.last_entry.value);]]
[[    append(now, state_.last_entry.voters, state_.last_entry.outgoing_voters, state_.committed_entry.value);]])

# ---- raft_node.cpp

seeded_defect(wiped_voter_votes raft_node.cpp "a node that lost its disk answers messages to its former id"
[[    if (message.to != self_.id) return;
]] [[]])

# ---- replication.cpp

seeded_defect(unsynced_entry replication.cpp "an entry is acknowledged before it is on disk"
[[        state_.last_entry = *message.entry;
        must_persist_ = true;
]] [[        state_.last_entry = *message.entry;
]])

seeded_defect(old_majority_not_waited_for replication.cpp "an entry is committed without a majority of the outgoing voters"
[[        if (voters->empty()) continue;
]] [[        if (voters->empty() || voters == &state_.last_entry.outgoing_voters) continue;
]])

seeded_defect(committed_before_majority replication.cpp "an entry is committed before a majority has it"
[[progress.has_last_entry = peer->second.match_position == state_.last_entry.position;]]
[[progress.has_last_entry = true;]])

seeded_defect(own_copy_before_sync replication.cpp "the leader counts its own copy before it is on disk"
[[progress.has_last_entry = persisted_position_ == state_.last_entry.position;]]
[[progress.has_last_entry = true;]])

seeded_defect(answer_before_commit replication.cpp "an operator is answered 200 as soon as the leader has the entry"
[[    if (role_ != Role::Leader || state_.committed_entry.position < position) return false;
]] [[    if (role_ == Role::Leader) return true;
]])

seeded_defect(answer_before_copies replication.cpp "an operator is answered 200 with as few copies as a configuration that still grows commits with"
[[    return replicas_survive_failures(holders, voters_with_locations(), options_.fault_tolerance);]]
[[    return true;]])

seeded_defect(ack_for_the_wrong_entry replication.cpp "an acknowledgement of an older entry is taken for the last one"
[[    peer.match_position = message.last_position;]]
[[    peer.match_position = state_.last_entry.position;]])

seeded_defect(commit_told_too_far replication.cpp "a follower takes its last entry for committed because a later one is"
[[    if (message.commit_position == state_.last_entry.position &&
        state_.committed_entry.position < state_.last_entry.position) {]]
[[    if (message.commit_position >= state_.last_entry.position &&
        state_.committed_entry.position < state_.last_entry.position) {]])

seeded_defect(older_entry_accepted replication.cpp "a delayed entry replaces a newer one"
[[    if (message.entry && message.entry->position > state_.last_entry.position) {]]
[[    if (message.entry && message.entry->position != state_.last_entry.position) {]])

seeded_defect(lease_from_arrival replication.cpp "the leader's lease counts from when a reply is read"
[[    if (request_sent_at <= now) peer.acknowledged_at = std::max(peer.acknowledged_at, request_sent_at);]]
[[    if (request_sent_at <= now) peer.acknowledged_at = now;]])

seeded_defect(touch_from_arrival replication.cpp "a follower counts contact from when the leader's message is read"
[[        quorum_contact_at_ = std::max(quorum_contact_at_, *contact_sent_at);]]
[[        quorum_contact_at_ = now;]])

seeded_defect(stale_confirmation replication.cpp "a reply to an earlier heartbeat round confirms a later one"
[[    confirmed_heartbeat_round_ = std::max(confirmed_heartbeat_round_, quorum.heartbeat_round);]]
[[    confirmed_heartbeat_round_ = heartbeat_round_;]])

# ---- membership.cpp

seeded_defect(swap_without_overlap membership.cpp "a configuration replaces another in one step, without joint consensus"
[[    append(now, std::move(chosen), voters, state_.last_entry.value);]]
[[    append(now, std::move(chosen), {}, state_.last_entry.value);]])

seeded_defect(change_ends_uncommitted membership.cpp "the outgoing voters are dropped before the joint configuration is committed"
[[    if (!in_joint_consensus() || !has_leader_lease(now) || !is_last_entry_committed()) return;]]
[[    if (!in_joint_consensus() || !has_leader_lease(now)) return;]])

seeded_defect(change_on_uncommitted membership.cpp "a change of the voters begins on an uncommitted entry"
[[    if (in_joint_consensus() || !has_leader_lease(now) || !is_last_entry_committed()) return;]]
[[    if (in_joint_consensus() || !has_leader_lease(now)) return;]])

seeded_defect(leaver_goes_first membership.cpp "a leaving member ends before its vote and its copy are with others"
[[    return leaving_ && role_ == Role::Follower && !is_voter() && !in_joint_consensus() &&
]] [[    return leaving_ && role_ == Role::Follower && !in_joint_consensus() &&
]])

# ---- read_index.cpp

seeded_defect(own_entry_not_needed read_index.cpp "a new leader answers before an entry of its own term is committed"
[[    return role_ == Role::Leader && !persist_failed_ && state_.committed_entry.position.term == state_.term &&
]] [[    return role_ == Role::Leader && !persist_failed_ &&
]])

# ---- first_start.cpp

seeded_defect(lone_first_voter first_start.cpp "a first voter that hears nobody takes itself for the only one"
[[        if (!successor) return;
        voters.push_back(successor->member);
    }
    if (may_all_fail(voters, options_.fault_tolerance)) return;
]] [[        if (successor) voters.push_back(successor->member);
    }
]])
