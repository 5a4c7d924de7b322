#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::consensus {

/// Random part of a replica's identity, generated when its data folder is created. A wiped folder
/// gets a new nonce, so a replica that has lost its votes cannot vote again under its old identity.
using identity_nonce = base::strong_id<struct identity_nonce_tag, std::uint64_t>;

/// Placeholder for a nonce that is not known yet; never generated.
inline constexpr identity_nonce unknown_nonce{};

} // namespace damaskladder::consensus
