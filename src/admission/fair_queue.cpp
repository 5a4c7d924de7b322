#include "admission/fair_queue.hpp"

#include <algorithm>
#include <iterator>

namespace damaskladder::admission {
namespace {

double weight_value(base::share_weight weight)
{
    return static_cast<double>(std::max(1, weight.value()));
}

} // namespace

void fair_queue::push(const call_request& request, base::time_point now)
{
    auto& flow = m_flows[request.workspace];
    if (flow.calls.empty()) {
        flow.weight = request.weight;
        flow.start_tag = std::max(flow.start_tag, m_virtual_time);
        m_weight_sum += weight_value(flow.weight);
        m_schedule.emplace(flow.start_tag, request.workspace);
    }
    flow.calls.push_back({request.id, now, request.deadline, request.open});
    ++m_size;
}

std::optional<queued_call> fair_queue::pop(bool include_open)
{
    for (auto next = m_schedule.begin(); next != m_schedule.end(); ++next) {
        auto flow = m_flows.find(next->second);
        if (!include_open && flow->second.calls.front().open) {
            continue;
        }
        m_virtual_time = std::max(m_virtual_time, next->first);
        m_schedule.erase(next);
        flow->second.start_tag += 1.0 / weight_value(flow->second.weight);
        m_schedule.emplace(flow->second.start_tag, flow->first);
        return take_front(flow);
    }
    return std::nullopt;
}

bool fair_queue::erase(const base::workspace_id& workspace, ticket id)
{
    auto flow = m_flows.find(workspace);
    if (flow == m_flows.end()) {
        return false;
    }
    auto& calls = flow->second.calls;
    auto found = std::find_if(calls.begin(), calls.end(),
                              [&](const queued_call& call) { return call.id == id; });
    if (found == calls.end()) {
        return false;
    }
    calls.erase(found);
    after_removal(flow);
    return true;
}

std::optional<queued_call> fair_queue::evict()
{
    auto longest = m_flows.end();
    double max_length = 0;
    for (auto flow = m_flows.begin(); flow != m_flows.end(); ++flow) {
        const double length =
            static_cast<double>(flow->second.calls.size()) / weight_value(flow->second.weight);
        if (length > max_length) {
            max_length = length;
            longest = flow;
        }
    }
    if (longest == m_flows.end()) {
        return std::nullopt;
    }
    const queued_call victim = longest->second.calls.back();
    longest->second.calls.pop_back();
    after_removal(longest);
    return victim;
}

std::vector<queued_call>
fair_queue::extract_if(const std::function<bool(const queued_call&)>& predicate)
{
    std::vector<queued_call> taken;
    for (auto& flow : m_flows) {
        auto& calls = flow.second.calls;
        const auto before = taken.size();
        for (auto call = calls.begin(); call != calls.end();) {
            if (predicate(*call)) {
                taken.push_back(*call);
                call = calls.erase(call);
            }
            else {
                ++call;
            }
        }
        if (calls.empty() && taken.size() > before) {
            deactivate(flow);
        }
    }
    m_size -= static_cast<std::int64_t>(taken.size());
    if (m_size == 0) {
        reset();
    }
    return taken;
}

std::int64_t fair_queue::waiting(const base::workspace_id& workspace) const
{
    auto flow = m_flows.find(workspace);
    return flow == m_flows.end() ? 0 : static_cast<std::int64_t>(flow->second.calls.size());
}

double fair_queue::share_fraction(const base::workspace_id& workspace,
                                  base::share_weight weight) const
{
    const double own_weight = weight_value(weight);
    const double other_weights = waiting(workspace) > 0 ? m_weight_sum - own_weight : m_weight_sum;
    return own_weight / (own_weight + std::max(0.0, other_weights));
}

queued_call fair_queue::take_front(flow_map::iterator flow)
{
    const queued_call call = flow->second.calls.front();
    flow->second.calls.pop_front();
    after_removal(flow);
    return call;
}

void fair_queue::after_removal(flow_map::iterator flow)
{
    --m_size;
    if (flow->second.calls.empty()) {
        deactivate(*flow);
    }
    if (m_size == 0) {
        reset();
    }
}

void fair_queue::deactivate(const flow_map::value_type& flow)
{
    m_weight_sum -= weight_value(flow.second.weight);
    m_schedule.erase(schedule_key(flow.second.start_tag, flow.first));
}

void fair_queue::reset()
{
    // An empty queue means that there is capacity for all workspaces, so no share is carried over.
    m_flows.clear();
    m_schedule.clear();
    m_virtual_time = 0;
    m_weight_sum = 0;
}

} // namespace damaskladder::admission
