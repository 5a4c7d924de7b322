#pragma once

#include "http/header_list.hpp"

#include <functional>
#include <string_view>

namespace damaskladder::daemon {

/// Removes every header field that holds a key: as its whole value or as one of the words, list
/// items, quoted strings or parameter values in it, or as the user or password of the Basic scheme.
/// Keys of more than max_key_size bytes do not exist and are not looked for.
void remove_fields_with_keys(http::header_list& headers,
                             const std::function<bool(std::string_view)>& is_key);

} // namespace damaskladder::daemon
