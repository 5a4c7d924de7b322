#pragma once

#include "daemon/dialect.hpp"

namespace damaskladder::daemon {

/// The system's own interface, see docs/design.md section 2.
dialect own_dialect();

} // namespace damaskladder::daemon
