#pragma once

#include "admission/cpu_load_shedder.hpp"
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
    admission::cpu_load_shedder processor{admission::cpu_load_shedder_options()};

    transfer_id next_transfer()
    {
        last_transfer = transfer_id(last_transfer.value() + 1);
        return last_transfer;
    }
};

} // namespace damaskladder::node
