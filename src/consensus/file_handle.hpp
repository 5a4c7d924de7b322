#pragma once

#include "base/strong_id.hpp"

namespace damaskladder::consensus {

/// Open file of a file_layer.
using file_handle = base::strong_id<struct file_handle_tag, int>;

} // namespace damaskladder::consensus
