#pragma once

#include "daemon/dialect.hpp"

namespace damaskladder::daemon {

/// The system's own HTTP interface, see section 2 of docs/design.md.
dialect own_dialect();

} // namespace damaskladder::daemon
