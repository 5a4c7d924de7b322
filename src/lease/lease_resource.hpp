#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::lease {

/// Name of a leased resource, for example the right to accrue the tokens of a failure domain.
using lease_resource = base::strong_id<struct lease_resource_tag, std::string>;

} // namespace damaskladder::lease
