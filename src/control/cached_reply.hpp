#pragma once

#include "base/change_id.hpp"
#include "control/change_reply.hpp"
#include "control/content_hash.hpp"
#include "control/log_position.hpp"

namespace damaskladder::control {

/// The answer that a change got, kept so that a resend gets the same one.
struct cached_reply {
    base::change_id change;
    content_hash content;
    log_position position;
    change_reply answer;

    friend bool operator==(const cached_reply&, const cached_reply&) = default;
};

} // namespace damaskladder::control
