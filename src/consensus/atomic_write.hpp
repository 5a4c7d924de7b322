#pragma once

#include "base/result.hpp"
#include "consensus/file_layer.hpp"

#include <string_view>

namespace damaskladder::consensus {

/// Replaces a file atomically: writes a temporary file, syncs it, renames it and syncs the folder.
/// After a crash the file has either its old or its new content.
base::result<void> write_atomically(const file_layer& files, const file_name& name,
                                    std::string_view content);

} // namespace damaskladder::consensus
