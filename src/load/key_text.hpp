#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::load {

/// A workspace's key, empty for none. It is sent in requests and never written to a report or
/// message.
using key_text = base::strong_id<struct key_text_tag, std::string>;

} // namespace damaskladder::load
