#pragma once

#include <string_view>

namespace damaskladder::settings {

/// Whether a request path begins with '/' and no part of it is "." or "..", plain or
/// percent-encoded. A backend server that resolves such parts would serve another path than the one
/// whose route was checked. Backslashes and encoded slashes are refused for the same reason.
bool is_plain_request_path(std::string_view path);

} // namespace damaskladder::settings
