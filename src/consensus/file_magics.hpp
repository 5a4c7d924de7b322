#pragma once

#include <string_view>

namespace damaskladder::consensus {

/// Leading magic bytes of files that are replaced as a whole; the last digit is the format version.
inline constexpr std::string_view identity_magic = "DLIDENT1";
inline constexpr std::string_view formation_magic = "DLFORMS1";
inline constexpr std::string_view vote_magic = "DLVOTES1";
inline constexpr std::string_view snapshot_magic = "DLSNAPS1";

} // namespace damaskladder::consensus
