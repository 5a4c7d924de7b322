#pragma once

#include "admission/processor_guard.hpp"
#include "node/running_calls.hpp"
#include "node/traffic_options.hpp"
#include "node/transfer_id.hpp"
#include "retry/allowance_ledger.hpp"

namespace damaskladder::node {

/// What the entry part and the gatekeeper part of one traffic machine share: onward calls come in
/// at the entry part and belong to calls that the gatekeeper part runs.
struct traffic_state {
    traffic_options options;
    retry::allowance_ledger ledger;
    running_calls calls;
    transfer_id last_transfer;
    bool stopping = false;
    /// Of the thread that serves the requests; sheds only with traffic_options::guard_processor.
    admission::processor_guard processor{admission::processor_guard_options()};

    transfer_id next_transfer()
    {
        last_transfer = transfer_id(last_transfer.value() + 1);
        return last_transfer;
    }
};

} // namespace damaskladder::node
