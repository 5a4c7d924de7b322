#include "wire/replay_window.hpp"

namespace damaskladder::wire {

bool replay_window::accept(base::incarnation sender, base::sequence_number sequence)
{
    if (sender < m_incarnation) {
        return false;
    }
    const auto number = sequence.value();
    if (sender > m_incarnation) {
        m_incarnation = sender;
        m_highest = 0;
        m_seen.reset();
    }
    if (number > m_highest) {
        if (number - m_highest >= window_size) {
            m_seen.reset();
        }
        else {
            for (auto skipped = m_highest + 1; skipped < number; ++skipped) {
                m_seen.reset(skipped % window_size);
            }
        }
        m_highest = number;
        m_seen.set(number % window_size);
        return true;
    }
    if (m_highest - number >= window_size || m_seen.test(number % window_size)) {
        return false;
    }
    m_seen.set(number % window_size);
    return true;
}

} // namespace damaskladder::wire
