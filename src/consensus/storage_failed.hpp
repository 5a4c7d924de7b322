#pragma once

#include "base/failure.hpp"

namespace damaskladder::consensus {

/// A write or sync failed. The replica acknowledges nothing any more; restart the process after
/// the cause is removed.
struct storage_failed {
    base::failure cause;
};

} // namespace damaskladder::consensus
