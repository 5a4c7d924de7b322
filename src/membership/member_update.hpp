#pragma once

#include "membership/member_record.hpp"

#include <vector>

namespace damaskladder::membership {

/// Changed records that must reach callers without delay. Each node to which they are new forwards
/// them immediately.
struct member_update {
    std::vector<member_record> records;

    friend bool operator==(const member_update&, const member_update&) = default;
};

} // namespace damaskladder::membership
