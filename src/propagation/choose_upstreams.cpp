#include "propagation/choose_upstreams.hpp"

namespace damaskladder::propagation {

std::vector<peer> choose_upstreams(const upstream_candidates& known)
{
    if (known.leader) {
        return {*known.leader};
    }
    return known.relays.empty() ? known.replicas : known.relays;
}

} // namespace damaskladder::propagation
