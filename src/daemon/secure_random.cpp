#include "daemon/secure_random.hpp"

#include <sodium.h>

#include <array>
#include <cstddef>

namespace damaskladder::daemon {

namespace {

/// Buffers random values, because each call to libsodium costs a system call. There is one buffer
/// per thread, so that copies of a source never return the same values.
class random_block {
public:
    std::uint64_t next()
    {
        if (m_next == m_values.size()) {
            randombytes_buf(m_values.data(), sizeof m_values);
            m_next = 0;
        }
        return m_values[m_next++];
    }

private:
    std::array<std::uint64_t, 64> m_values{};
    std::size_t m_next = m_values.size();
};

} // namespace

base::random_source secure_random()
{
    return [] {
        thread_local random_block block;
        return block.next();
    };
}

} // namespace damaskladder::daemon
