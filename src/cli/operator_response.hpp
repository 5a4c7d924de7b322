#pragma once

#include <string>

namespace damaskladder::cli {

/// Answer of a control replica to one request over HTTP.
struct operator_response {
    int status = 0;
    std::string body;
};

} // namespace damaskladder::cli
