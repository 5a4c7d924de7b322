#pragma once

#include "base/incarnation.hpp"
#include "base/sequence_number.hpp"

#include <bitset>

namespace damaskladder::wire {

/// Sliding window of the sequence numbers received from one sender, which prevents replays.
/// Messages may arrive out of order within the window.
class replay_window {
public:
    /// Records the message and returns whether it is new. Messages from an earlier incarnation than
    /// the latest one seen are rejected.
    bool accept(base::incarnation sender, base::sequence_number sequence);

private:
    static constexpr std::size_t window_size = 256;

    base::incarnation m_incarnation;
    std::uint64_t m_highest = 0;
    /// Bit (sequence % window_size) is set for each accepted sequence number in
    /// (m_highest - window_size, m_highest].
    std::bitset<window_size> m_seen;
};

} // namespace damaskladder::wire
