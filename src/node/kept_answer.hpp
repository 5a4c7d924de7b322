#pragma once

#include "node/status_code.hpp"

#include <string>

namespace damaskladder::node {

/// Copy of a whole answer, kept for repeats of the request. Headers are in the form that the front
/// end needs to send them again; the traffic machine does not read them.
struct kept_answer {
    status_code status;
    std::string headers;
    std::string body;
};

} // namespace damaskladder::node
