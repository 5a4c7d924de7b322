#pragma once

#include "consensus/replica_identity.hpp"

#include <vector>

namespace damaskladder::consensus {

/// Replicas that granted a vote or pre-vote. Each id counts once, with the first identity seen.
class vote_tally {
public:
    void clear() { m_granted.clear(); }
    void add(const replica_identity& voter);
    const std::vector<replica_identity>& granted() const { return m_granted; }

private:
    std::vector<replica_identity> m_granted;
};

} // namespace damaskladder::consensus
