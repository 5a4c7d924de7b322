#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::lease {

/// Names what a lease is for, for example the right to accrue the tokens of a failure domain.
using lease_resource = base::strong_id<struct lease_resource_tag, std::string>;

} // namespace damaskladder::lease
