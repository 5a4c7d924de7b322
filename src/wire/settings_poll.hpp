#pragma once

#include "base/message_address.hpp"
#include "base/settings_version.hpp"
#include "base/time.hpp"

namespace damaskladder::wire {

/// Message: a node asks a control replica for newer settings and for proof that its own are the
/// newest.
struct settings_poll {
    base::settings_version have;
    /// Where to send the answer.
    base::message_address from;
    /// Time of the poll on the sender's clock; comes back with the answer.
    base::time_point sent_at;
};

} // namespace damaskladder::wire
