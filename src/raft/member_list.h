// Private helper of the raft package: look-up in a list of members.
#pragma once

#include <algorithm>
#include <vector>

#include "raft/voter_selection.h"

namespace martenford::raft {

/// Returns whether `members` has one with this id.
[[nodiscard]] inline bool contains_member(const std::vector<Member>& members, MemberId id) {
    return std::any_of(members.begin(), members.end(), [&](const Member& member) { return member.id == id; });
}

}  // namespace martenford::raft
