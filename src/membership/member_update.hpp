#pragma once

#include "membership/member_record.hpp"

#include <vector>

namespace damaskladder::membership {

/// Records that callers must learn at once; forwarded by each node that did not know them.
struct member_update {
    std::vector<member_record> records;

    friend bool operator==(const member_update&, const member_update&) = default;
};

} // namespace damaskladder::membership
