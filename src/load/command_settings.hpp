#pragma once

#include "http/address.hpp"
#include "load/cause_name.hpp"
#include "load/run_offset.hpp"

#include <string>

namespace damaskladder::load {

/// An HTTP call at a time of the run, for example to make a stand-in backend server slow.
struct command_settings {
    cause_name name;
    run_offset at{0};
    http::address target;
    std::string method = "PUT";
    std::string path;
    /// The call ends a cause of overload, so recovery is measured from it.
    bool ends_cause = false;
};

} // namespace damaskladder::load
