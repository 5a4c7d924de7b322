#pragma once

#include "consensus/file_name.hpp"
#include "consensus/log_index.hpp"
#include "consensus/segment_number.hpp"

#include <optional>

namespace damaskladder::consensus {

/// Names of the files in a data folder.
file_name identity_file();
file_name formation_file();
file_name vote_file();
file_name segment_file(segment_number number);
file_name snapshot_file(log_index last_index);
/// Name under which a file is written before it is renamed into place.
file_name temporary_file(const file_name& name);

bool is_temporary(const file_name& name);
std::optional<segment_number> segment_of(const file_name& name);
std::optional<log_index> snapshot_of(const file_name& name);

} // namespace damaskladder::consensus
