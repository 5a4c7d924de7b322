#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::node {

/// Identifies a rate token granted to a request, so that it is returned at most once.
using token_grant_id = base::strong_id<struct token_grant_id_tag, std::uint64_t>;

} // namespace damaskladder::node
