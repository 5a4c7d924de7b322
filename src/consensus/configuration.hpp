#pragma once

#include "consensus/config_id.hpp"
#include "consensus/member.hpp"

#include <cstddef>
#include <vector>

namespace damaskladder::consensus {

/// The replicas of the cluster. In force from the moment it is written, committed or not.
struct configuration {
    config_id id;
    std::vector<member> members;

    friend bool operator==(const configuration&, const configuration&) = default;

    /// The member with this id, or null.
    const member* find(const replica_id& replica) const;
    /// True if exactly this identity is a voter.
    bool is_voter(const replica_identity& identity) const;
    std::size_t voter_count() const;
    /// Smallest number of voters that is a majority.
    std::size_t quorum() const { return voter_count() / 2 + 1; }
};

} // namespace damaskladder::consensus
