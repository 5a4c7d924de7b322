#pragma once

#include "consensus/replica_identity.hpp"

#include <vector>

namespace damaskladder::consensus {

/// The replicas that granted a vote or pre-vote; each id counts once, with its first identity.
class vote_tally {
public:
    void clear() { m_granted.clear(); }
    void add(const replica_identity& voter);
    const std::vector<replica_identity>& granted() const { return m_granted; }

private:
    std::vector<replica_identity> m_granted;
};

} // namespace damaskladder::consensus
