#pragma once

#include "admission/cpu_load_shedder.hpp"
#include "node/call_context.hpp"
#include "node/running_calls.hpp"
#include "node/traffic_options.hpp"
#include "node/transfer_id.hpp"
#include "node/tree_admission.hpp"
#include "retry/allowance_ledger.hpp"

#include <optional>

namespace damaskladder::node {

/// State shared by the entry half and the gatekeeper half of a traffic machine. Onward calls arrive
/// at the entry half, and their parent calls are in the gatekeeper half.
struct traffic_state {
    traffic_options options;
    retry::allowance_ledger ledger;
    running_calls calls;
    transfer_id last_transfer;
    bool stopping = false;
    /// Time by which every request that arrives must be answered; none before stop_scheduled.
    std::optional<base::time_point> serving_end = {};
    /// Observes the thread that serves the requests. It sheds only with
    /// traffic_options::guard_processor.
    admission::cpu_load_shedder processor{admission::cpu_load_shedder_options()};
    tree_admission trees{options};

    /// Time limit for the body of a call's answer.
    base::duration response_time(const call_context& context) const
    {
        return context.streaming ? options.max_streaming_time : options.max_response_time;
    }

    transfer_id next_transfer()
    {
        last_transfer = transfer_id(last_transfer.value() + 1);
        return last_transfer;
    }
};

} // namespace damaskladder::node
