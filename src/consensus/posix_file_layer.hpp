#pragma once

#include "consensus/file_layer.hpp"

#include <string>

namespace damaskladder::consensus {

/// file_layer on an existing folder of the file system.
file_layer posix_file_layer(std::string folder);

} // namespace damaskladder::consensus
