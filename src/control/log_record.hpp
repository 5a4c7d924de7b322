#pragma once

#include "base/result.hpp"
#include "base/time.hpp"
#include "control/command.hpp"

#include <string>
#include <string_view>

namespace damaskladder::control {

/// What one entry of the replicated log holds: a command and the time that the leader gave it.
struct log_record {
    base::wall_time time;
    command entry;
};

std::string encode(const log_record& record);

/// Fails with corrupt or too_large.
base::result<log_record> decode_log_record(std::string_view bytes);

} // namespace damaskladder::control
