#include "daemon/secure_random.hpp"

#include <sodium.h>

namespace damaskladder::daemon {

base::random_source secure_random()
{
    return [] {
        std::uint64_t value = 0;
        randombytes_buf(&value, sizeof value);
        return value;
    };
}

} // namespace damaskladder::daemon
