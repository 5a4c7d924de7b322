#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::propagation {

/// Orders the lists of control replicas: increases with each change of the members of the
/// replicated log. 0 stands for no list.
using replica_list_version = base::strong_id<struct replica_list_version_tag, std::uint64_t>;

} // namespace damaskladder::propagation
