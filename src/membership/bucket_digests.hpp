#pragma once

#include "membership/table_digest.hpp"

#include <array>
#include <cstddef>

namespace damaskladder::membership {

/// Digests of a table partitioned by node id, so that a repair transfers only the buckets that
/// differ.
struct bucket_digests {
    static constexpr std::size_t count = 32;
    std::array<table_digest, count> digests{};

    friend bool operator==(const bucket_digests&, const bucket_digests&) = default;
};

} // namespace damaskladder::membership
