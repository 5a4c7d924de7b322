#pragma once

#include "node/call_context.hpp"
#include "node/node_view.hpp"
#include "node/refusal_reason.hpp"

namespace damaskladder::node {

/// Returns `refusal`, or stale_settings if the call was admitted by newer settings than those of
/// this node, which may lack what they added.
inline refusal_reason final_or_stale(refusal_reason refusal, const call_context& admitted,
                                     const node_view& view)
{
    const bool behind = view.settings_version < admitted.settings;
    return behind ? refusal_reason::stale_settings : refusal;
}

} // namespace damaskladder::node
