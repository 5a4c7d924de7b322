#pragma once

#include "admission/ticket.hpp"
#include "admission/verdict_kind.hpp"

namespace damaskladder::admission {

/// Decision on one offered call. Each offered call gets exactly one, unless its caller disconnects
/// first.
struct verdict {
    ticket id;
    verdict_kind kind = verdict_kind::shed;

    friend bool operator==(const verdict&, const verdict&) = default;
};

} // namespace damaskladder::admission
