#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::load {

/// Value of Damaskladder-Reason, empty if there is none.
using refusal_word = base::strong_id<struct refusal_word_tag, std::string>;

} // namespace damaskladder::load
