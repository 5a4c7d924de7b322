#pragma once

#include "base/failure.hpp"

namespace damaskladder::consensus {

/// A write or sync failed. The replica no longer acknowledges anything; restart the process after
/// removing the cause.
struct storage_failed {
    base::failure cause;
};

} // namespace damaskladder::consensus
