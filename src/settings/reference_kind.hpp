#pragma once

#include <cstdint>

namespace damaskladder::settings {

/// Names that are unique in the whole tree, and that other entries may refer to.
enum class reference_kind : std::uint8_t {
    workspace,
    key,
    key_hash,
    prefix,
    lease_voter,
    service,
};

} // namespace damaskladder::settings
