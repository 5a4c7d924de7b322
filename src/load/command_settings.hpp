#pragma once

#include "http/address.hpp"
#include "load/cause_name.hpp"
#include "load/run_offset.hpp"

#include <string>

namespace damaskladder::load {

/// An HTTP call at a fixed time of the run, for example to slow down a stand-in backend server.
struct command_settings {
    cause_name name;
    run_offset at{0};
    http::address target;
    std::string method = "PUT";
    std::string path;
    /// Whether the call ends a cause of overload; recovery is then measured from it.
    bool ends_cause = false;
};

} // namespace damaskladder::load
