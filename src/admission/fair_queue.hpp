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

/// Queue of the calls of one importance level. Workspaces are served by weight (start-time fair
/// queueing); calls of one workspace are served in FIFO order. pop() costs O(log workspaces).
class fair_queue {
public:
    /// Appends a call to the queue of its workspace.
    void push(const call_request& request, base::time_point now);

    /// Removes and returns the next call; nullopt if there is none. Calls of open routes are
    /// skipped unless include_open is set.
    std::optional<queued_call> pop(bool include_open);

    /// Removes one call; returns false if it is not queued here.
    bool erase(const base::workspace_id& workspace, ticket id);

    /// Removes and returns the newest call of the workspace with the most calls relative to its
    /// weight.
    std::optional<queued_call> evict();

    /// Removes and returns all calls that match the predicate; evaluates it once per call.
    std::vector<queued_call> extract_if(const std::function<bool(const queued_call&)>& predicate);

    /// Number of queued calls of the workspace.
    std::int64_t waiting(const base::workspace_id& workspace) const;

    /// Share of this level's service that the workspace gets when it competes with all workspaces
    /// that have queued calls.
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
    /// Workspaces with queued calls, ordered by start tag.
    std::set<schedule_key> m_schedule;
    double m_virtual_time = 0;
    double m_weight_sum = 0;
    std::int64_t m_size = 0;
};

} // namespace damaskladder::admission
