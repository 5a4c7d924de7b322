#pragma once

#include "consensus/file_layer.hpp"

#include <string>

namespace damaskladder::consensus {

/// Real files of an existing folder.
file_layer posix_file_layer(std::string folder);

} // namespace damaskladder::consensus
