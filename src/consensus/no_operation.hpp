#pragma once

namespace damaskladder::consensus {

/// Appended by a new leader, because entries of earlier terms become committed only through an
/// entry of the current term.
struct no_operation {
    friend bool operator==(const no_operation&, const no_operation&) = default;
};

} // namespace damaskladder::consensus
