#pragma once

#include "base/message_address.hpp"
#include "membership/member_record.hpp"

#include <vector>

namespace damaskladder::membership {

/// Records of a table, tombstones included, in answer to a join or a sync_request. The receiver
/// sends back what it knows better.
struct sync_records {
    base::message_address reply_to;
    std::vector<member_record> records;

    friend bool operator==(const sync_records&, const sync_records&) = default;
};

} // namespace damaskladder::membership
