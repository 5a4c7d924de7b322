#pragma once

#include "http/header_list.hpp"
#include "routing/load_report.hpp"

#include <optional>
#include <string>

namespace damaskladder::daemon {

/// Value of the load field between nodes: "busy/limit/microseconds". The run time is omitted if it
/// is unknown.
std::string load_field(const routing::load_report& report);

/// Reads the load field of another node's answer; nullopt if it is absent, malformed or out of
/// range. "busy/limit" is accepted from nodes that report no run time.
std::optional<routing::load_report> read_load(const http::header_list& headers);

} // namespace damaskladder::daemon
