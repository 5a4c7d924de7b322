#pragma once

#include "base/incarnation.hpp"
#include "base/sequence_number.hpp"

#include <bitset>

namespace damaskladder::wire {

/// Remembers which messages of one sender have arrived, so that a recorded message is not accepted
/// again. Messages may arrive in another order within the window.
class replay_window {
public:
    /// Whether the message is new. An earlier incarnation than the newest one seen is refused.
    bool accept(base::incarnation sender, base::sequence_number sequence);

private:
    static constexpr std::size_t window_size = 256;

    base::incarnation m_incarnation;
    std::uint64_t m_highest = 0;
    /// Bit sequence % window_size is set for the accepted ones in (m_highest - size, m_highest].
    std::bitset<window_size> m_seen;
};

} // namespace damaskladder::wire
