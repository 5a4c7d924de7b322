#pragma once

#include "base/result.hpp"
#include "base/time.hpp"
#include "control/command.hpp"

#include <string>
#include <string_view>

namespace damaskladder::control {

/// Contents of an entry of the replicated log: a command and the time assigned by the leader.
struct log_record {
    base::wall_time time;
    command entry;
};

std::string encode(const log_record& record);

/// Fails with corrupt or too_large.
base::result<log_record> decode_log_record(std::string_view bytes);

} // namespace damaskladder::control
