#pragma once

#include "base/result.hpp"

#include <cstddef>
#include <string>

namespace damaskladder::wire {

/// Maximum size of decompressed bytes.
constexpr std::size_t max_decompressed_size = std::size_t{32} * 1024 * 1024;

/// Compresses settings and lists of members; entries of one kind repeat their names.
/// Bytes that would not become smaller are returned as they are.
std::string compress(std::string bytes);

/// Reverses compress(). Bytes of a process that does not compress are returned as they are: neither
/// CBOR containers nor INI text begins like compressed bytes. Fails with corrupt if the bytes are
/// damaged or announce more than max_decompressed_size.
base::result<std::string> decompress(std::string bytes);

} // namespace damaskladder::wire
