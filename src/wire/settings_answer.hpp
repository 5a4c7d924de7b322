#pragma once

#include "base/settings_version.hpp"
#include "base/time.hpp"

#include <optional>
#include <string>

namespace damaskladder::wire {

/// Message: the leader's answer to settings_poll. The version was the newest accepted one at some
/// time after the poll arrived.
struct settings_answer {
    base::time_point poll_sent_at;
    base::settings_version version;
    /// The whole tree as INI, if the node had another version.
    std::optional<std::string> tree;
};

} // namespace damaskladder::wire
