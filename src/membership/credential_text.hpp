#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::membership {

/// Secret that authenticates the announcements of a backend server. Never logged or forwarded.
using credential_text = base::strong_id<struct credential_text_tag, std::string>;

} // namespace damaskladder::membership
