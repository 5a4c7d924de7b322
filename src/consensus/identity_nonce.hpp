#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::consensus {

/// Random part of a replica's identity, drawn when its data folder is created. A wiped folder gets
/// a new one, so that a replica that forgot its votes cannot vote again under its old identity.
using identity_nonce = base::strong_id<struct identity_nonce_tag, std::uint64_t>;

/// Stands for "not known yet"; never drawn.
inline constexpr identity_nonce unknown_nonce{};

} // namespace damaskladder::consensus
