#pragma once

#include "base/status_code.hpp"

#include <cstdint>
#include <string>

namespace damaskladder::retry {

/// Cached copy of a complete answer, for repeats of the request. Headers are stored in the encoding
/// that the front end needs to send them again; no decision reads them.
struct kept_answer {
    base::status_code status;
    std::string headers;
    std::string body;

    std::int64_t size() const { return static_cast<std::int64_t>(headers.size() + body.size()); }
};

} // namespace damaskladder::retry
