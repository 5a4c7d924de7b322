#pragma once

#include <string_view>

namespace damaskladder::consensus {

/// First bytes of the files that are written whole; the digit is the version of the format.
inline constexpr std::string_view identity_magic = "DLIDENT1";
inline constexpr std::string_view vote_magic = "DLVOTES1";
inline constexpr std::string_view snapshot_magic = "DLSNAPS1";

} // namespace damaskladder::consensus
