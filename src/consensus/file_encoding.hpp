#pragma once

#include "consensus/entry.hpp"
#include "consensus/hard_state.hpp"
#include "consensus/replica_id.hpp"
#include "consensus/replica_identity.hpp"
#include "consensus/stored_snapshot.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskladder::consensus {

/// Encoding of the files in the data folder. Decoders return nullopt unless the bytes are exactly
/// what the encoder would have written. The encoding of messages between replicas is separate.
std::string encode_entry(const entry& value);
std::optional<entry> decode_entry(std::string_view bytes);

std::string encode_hard_state(const hard_state& value);
std::optional<hard_state> decode_hard_state(std::string_view bytes);

std::string encode_identity(const replica_identity& value);
std::optional<replica_identity> decode_identity(std::string_view bytes);

std::string encode_formation(const std::vector<replica_id>& initial_replicas);
std::optional<std::vector<replica_id>> decode_formation(std::string_view bytes);

std::string encode_snapshot(const stored_snapshot& value);
std::optional<stored_snapshot> decode_snapshot(std::string_view bytes);

} // namespace damaskladder::consensus
