#pragma once

#include "base/change_id.hpp"
#include "control/change_reply.hpp"
#include "control/content_hash.hpp"
#include "control/log_position.hpp"

namespace damaskladder::control {

/// Reply to a change, cached so that a resend gets the same reply.
struct cached_reply {
    base::change_id change;
    content_hash content;
    log_position position;
    change_reply answer;

    friend bool operator==(const cached_reply&, const cached_reply&) = default;
};

} // namespace damaskladder::control
