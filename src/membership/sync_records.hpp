#pragma once

#include "base/message_address.hpp"
#include "membership/member_record.hpp"

#include <vector>

namespace damaskladder::membership {

/// Records of a table, including tombstones, in answer to a join or a sync_request. The receiver
/// returns the records of which it has newer versions.
struct sync_records {
    base::message_address reply_to;
    std::vector<member_record> records;

    friend bool operator==(const sync_records&, const sync_records&) = default;
};

} // namespace damaskladder::membership
