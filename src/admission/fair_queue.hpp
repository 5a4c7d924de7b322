#pragma once

#include "admission/call_request.hpp"
#include "admission/queued_call.hpp"
#include "admission/workspace_flow.hpp"
#include "base/workspace_id.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace damaskladder::admission {

/// The waiting calls of one importance level. Workspaces take turns by weight (start-time fair
/// queueing); calls of one workspace keep their order. A turn costs O(log workspaces).
class fair_queue {
public:
    /// Adds a call at the end of its workspace's calls.
    void push(const call_request& request, base::time_point now);

    /// Takes the call whose turn it is; nothing if there is none. Without take_open, calls of open
    /// routes stay.
    std::optional<queued_call> pop(bool include_open);

    /// Takes out one call, if it waits here.
    bool erase(const base::workspace_id& workspace, ticket id);

    /// Takes out the newest call of the workspace with the most calls by weight.
    std::optional<queued_call> evict();

    /// Takes out all calls for which the predicate holds; looks at each call once.
    std::vector<queued_call> extract_if(const std::function<bool(const queued_call&)>& predicate);

    /// Calls that wait for the workspace.
    std::int64_t waiting(const base::workspace_id& workspace) const;

    /// Share of the level that the workspace has while it and those with waiting calls compete.
    double share_fraction(const base::workspace_id& workspace, base::share_weight weight) const;

    std::int64_t size() const { return m_size; }

private:
    using flow_map = std::unordered_map<base::workspace_id, workspace_flow>;
    using schedule_key = std::pair<double, base::workspace_id>;

    queued_call take_front(flow_map::iterator flow);
    void after_removal(flow_map::iterator flow);
    void deactivate(const flow_map::value_type& flow);
    void reset();

    flow_map m_flows;
    /// Workspaces with waiting calls by the virtual time at which they are due.
    std::set<schedule_key> m_schedule;
    double m_virtual_time = 0;
    double m_weight_sum = 0;
    std::int64_t m_size = 0;
};

} // namespace damaskladder::admission
