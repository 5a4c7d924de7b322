#pragma once

#include <string>

namespace damaskladder::http {

/// One header field. Names are case-insensitive.
struct header {
    std::string name;
    std::string value;

    friend bool operator==(const header&, const header&) = default;
};

} // namespace damaskladder::http
