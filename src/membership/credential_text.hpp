#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::membership {

/// Secret with which a backend server announces itself. Never logged or sent on.
using credential_text = base::strong_id<struct credential_text_tag, std::string>;

} // namespace damaskladder::membership
