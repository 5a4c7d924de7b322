#pragma once

#include "base/call_id.hpp"
#include "node/running_call.hpp"

#include <unordered_map>
#include <vector>

namespace damaskladder::node {

/// The calls that run at backend servers of this VM, by call id.
class running_calls {
public:
    /// False if a call with this id runs already.
    bool add(const call_context& context, base::time_point deadline);

    /// Null if no such call runs here.
    const running_call* find(base::call_id call) const;

    void onward_started(base::call_id call, exchange_id onward, base::time_point now);
    void onward_ended(base::call_id call, exchange_id onward, base::time_point now);

    /// Time during which the call had onward calls under way.
    base::duration onward_time(base::call_id call, base::time_point now) const;

    /// Takes a call out and returns the onward calls still under way.
    std::vector<exchange_id> remove(base::call_id call);

private:
    std::unordered_map<base::call_id, running_call> m_calls;
};

} // namespace damaskladder::node
