#include "consensus/vote_tally.hpp"

#include <algorithm>

namespace damaskladder::consensus {

void vote_tally::add(const replica_identity& voter)
{
    const bool already_counted =
        std::any_of(m_granted.begin(), m_granted.end(),
                    [&](const replica_identity& each) { return each.id == voter.id; });
    if (!already_counted) {
        m_granted.push_back(voter);
    }
}

} // namespace damaskladder::consensus
