#pragma once

#include <cstddef>

namespace damaskladder::http {

/// Limits what one connection reads in a row. The rest is read in a later round of the loop, so
/// that a peer that sends as fast as it is read does not keep timers and other connections waiting.
class reading_turn {
public:
    void add(std::size_t bytes) { m_bytes += bytes; }
    bool ended() const { return m_bytes >= max_bytes; }

private:
    static constexpr std::size_t max_bytes = std::size_t{64} * 1024;

    std::size_t m_bytes = 0;
};

} // namespace damaskladder::http
