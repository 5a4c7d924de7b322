#pragma once

#include "consensus/config_id.hpp"
#include "consensus/member.hpp"

#include <cstddef>
#include <vector>

namespace damaskladder::consensus {

/// The members of the cluster. Takes effect as soon as its entry is appended to the log, before it
/// is committed.
struct configuration {
    config_id id;
    std::vector<member> members;

    friend bool operator==(const configuration&, const configuration&) = default;

    /// Returns the member with this id, or null.
    const member* find(const replica_id& replica) const;
    /// True if a voter has exactly this identity; the id alone is not enough.
    bool is_voter(const replica_identity& identity) const;
    std::size_t voter_count() const;
    /// Number of voters that form a majority.
    std::size_t quorum() const { return voter_count() / 2 + 1; }
};

} // namespace damaskladder::consensus
