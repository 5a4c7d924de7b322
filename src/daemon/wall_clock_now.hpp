#pragma once

#include "base/time.hpp"

namespace damaskladder::daemon {

/// Current calendar time.
inline base::wall_time wall_clock_now()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return base::wall_time(std::chrono::duration_cast<base::wall_clock::duration>(since_epoch));
}

} // namespace damaskladder::daemon
