#pragma once

#include "base/call_id.hpp"
#include "node/running_call.hpp"

#include <unordered_map>
#include <vector>

namespace damaskladder::node {

/// The calls that backend servers of this VM are running, by call id.
class running_calls {
public:
    /// Returns false if a call with this id is already running.
    bool add(const call_context& context, base::time_point deadline);

    /// Returns null if no such call is running.
    const running_call* find(base::call_id call) const;

    void onward_started(base::call_id call, exchange_id onward, base::time_point now);
    void onward_ended(base::call_id call, exchange_id onward, base::time_point now);

    /// Total time during which the call had onward calls in progress.
    base::duration onward_time(base::call_id call, base::time_point now) const;

    /// Removes a call and returns its onward calls that are still in progress.
    std::vector<exchange_id> remove(base::call_id call);

private:
    std::unordered_map<base::call_id, running_call> m_calls;
};

} // namespace damaskladder::node
