#pragma once

#include <string>

namespace damaskladder::http {

/// One header field as received or to be sent. Names compare without regard to case.
struct header {
    std::string name;
    std::string value;

    friend bool operator==(const header&, const header&) = default;
};

} // namespace damaskladder::http
