#pragma once

#include <string>

namespace damaskladder::cli {

/// HTTP response of a control replica to an operator's request.
struct operator_response {
    int status = 0;
    std::string body;
};

} // namespace damaskladder::cli
