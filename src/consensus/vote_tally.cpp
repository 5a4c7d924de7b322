#include "consensus/vote_tally.hpp"

#include <algorithm>

namespace damaskladder::consensus {

void vote_tally::add(const replica_identity& voter)
{
    const bool known =
        std::any_of(m_granted.begin(), m_granted.end(),
                    [&](const replica_identity& each) { return each.id == voter.id; });
    if (!known) {
        m_granted.push_back(voter);
    }
}

} // namespace damaskladder::consensus
