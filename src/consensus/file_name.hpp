#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::consensus {

/// Name of a file, relative to the data folder.
using file_name = base::strong_id<struct file_name_tag, std::string>;

} // namespace damaskladder::consensus
