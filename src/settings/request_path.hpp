#pragma once

#include <string_view>

namespace damaskladder::settings {

/// Whether a request path begins with '/' and no part of it is "." or "..", plain or
/// percent-encoded. A backend server that resolves such parts would serve a path other than the one
/// whose route was checked. Backslashes and encoded slashes are rejected for the same reason.
bool is_plain_request_path(std::string_view path);

} // namespace damaskladder::settings
