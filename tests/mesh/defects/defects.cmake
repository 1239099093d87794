# Defects that the explorer must find: each replaces one text of src/moot/moot.cpp, which must stand there exactly
# once. Included by ../CMakeLists.txt, which makes a test of each, and at build time by seed.cmake, which applies one.

seeded_defect(unsynced_vote "a vote goes out before it is on disk"
[[        disk_.voted_for = message.from.id;
        dirty_ = true;
]] [[        disk_.voted_for = message.from.id;
]])

seeded_defect(unsynced_candidacy "a candidate's new term and its vote for itself are not persisted"
[[        disk_.voted_for = self_.id;
        dirty_ = true;
]] [[        disk_.voted_for = self_.id;
]])

seeded_defect(unsynced_term "a term that was heard of is not persisted"
[[        disk_.voted_for = 0;
        dirty_ = true;
]] [[        disk_.voted_for = 0;
]])

seeded_defect(unsynced_entry "an entry is acknowledged before it is on disk"
[[        disk_.newest = *message.entry;
        dirty_ = true;
]] [[        disk_.newest = *message.entry;
]])

seeded_defect(wiped_voter_votes "what came after a lost disk answers what that one was asked"
[[    if (message.to != self_.id) return;
]] [[]])

seeded_defect(two_votes_in_a_term "the vote that was given in this term is forgotten"
[[const bool free = disk_.voted_for == 0 || disk_.voted_for == message.from.id;]]
[[const bool free = true;]])

seeded_defect(vote_for_the_behind "the vote doesn't ask whether the candidate has all"
[[const bool has_all = message.newest >= disk_.newest.stamp;]]
[[const bool has_all = true;]])

seeded_defect(old_majority_not_asked "an election while members change asks no majority of the outgoing set"
[[    for (const auto* set : {&disk_.newest.voters, &disk_.newest.outgoing}) {
        const auto count]] [[    for (const auto* set : {&disk_.newest.voters}) {
        const auto count]])

seeded_defect(old_majority_not_waited_for "an entry is committed without a majority of the outgoing set"
[[        if (set->empty()) continue;
]] [[        if (set->empty() || set == &disk_.newest.outgoing) continue;
]])

seeded_defect(swap_without_overlap "one set follows another in one step"
[[    append(now, std::move(chosen), voters, disk_.newest.value);]]
[[    append(now, std::move(chosen), {}, disk_.newest.value);]])

seeded_defect(change_ends_uncommitted "the old set goes before the change is committed"
[[    if (disk_.newest.outgoing.empty() || !leads(now) || disk_.committed.stamp != disk_.newest.stamp) return;]]
[[    if (disk_.newest.outgoing.empty() || !leads(now)) return;]])

seeded_defect(change_on_uncommitted "a change of members begins on an uncommitted entry"
[[    if (!leads(now) || disk_.committed.stamp != disk_.newest.stamp || !disk_.newest.outgoing.empty()) return;
    std::vector<Candidate> candidates;]]
[[    if (!leads(now) || !disk_.newest.outgoing.empty()) return;
    std::vector<Candidate> candidates;]])

seeded_defect(committed_before_majority "an entry is committed before a majority has it"
[[holds.push_back(peer->second.holds == disk_.newest.stamp);]]
[[holds.push_back(true);]])

seeded_defect(answer_before_copies "a 200 goes out once it is committed, however few copies outlive a loss"
[[    return copies_outlive(holders, voters(), options_.tolerance);]]
[[    return true;]])

seeded_defect(ack_for_the_wrong_entry "an acknowledgement of an older entry is taken for the newest"
[[    peer.holds = message.newest;]]
[[    peer.holds = disk_.newest.stamp;]])

seeded_defect(commit_told_too_far "a follower takes its own newest for committed because a later one is"
[[    if (message.committed == disk_.newest.stamp && disk_.committed.stamp < disk_.newest.stamp) {]]
[[    if (message.committed >= disk_.newest.stamp && disk_.committed.stamp < disk_.newest.stamp) {]])

seeded_defect(history_lost "a new leader starts from what it knows as committed, not from what it holds"
[[    append(now, disk_.newest.voters, disk_.newest.outgoing, disk_.newest.value);]]
[[    append(now, disk_.newest.voters, disk_.newest.outgoing, disk_.committed.value);]])

seeded_defect(older_entry_accepted "a late entry takes the place of a newer one"
[[    if (message.entry && message.entry->stamp > disk_.newest.stamp) {]]
[[    if (message.entry && message.entry->stamp != disk_.newest.stamp) {]])

seeded_defect(own_entry_not_needed "a new leader answers before an entry of its own term is committed"
[[    return role_ == Role::Leader && !disk_broken_ && disk_.committed.stamp.term == disk_.term &&
]] [[    return role_ == Role::Leader && !disk_broken_ &&
]])

seeded_defect(lease_from_arrival "the leader's lease counts from when an answer is read"
[[    if (asked <= now) peer.answered = std::max(peer.answered, asked);]]
[[    if (asked <= now) peer.answered = now;]])

seeded_defect(lease_from_victory "a new leader's lease counts from when the last vote is read"
[[    quorum_at_ = stood_;]] [[    quorum_at_ = now;]])

seeded_defect(touch_from_arrival "a follower counts contact from when the leader's word is read"
[[        contact_ = std::max(contact_, asks_[asks_.size() - 1 - static_cast<std::size_t>(ago)]);]]
[[        contact_ = now;]])

seeded_defect(stale_confirmation "an answer to an earlier question confirms a later one"
[[    confirmed_ = std::max(confirmed_, reached.round);]]
[[    confirmed_ = round_;]])

seeded_defect(leaver_goes_first "a leaving member ends before its place and its copy are with others"
[[    return leaving_ && role_ == Role::Follower && !is_voter() && disk_.newest.outgoing.empty() &&
]] [[    return leaving_ && role_ == Role::Follower && disk_.newest.outgoing.empty() &&
]])
