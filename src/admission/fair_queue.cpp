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
        flow.next_due = std::max(flow.next_due, m_virtual_time);
        m_weight_sum += weight_value(flow.weight);
        m_turns.emplace(flow.next_due, request.workspace);
    }
    flow.calls.push_back({request.id, now, request.deadline, request.open});
    ++m_size;
}

std::optional<queued_call> fair_queue::pop(bool take_open)
{
    for (auto next = m_turns.begin(); next != m_turns.end(); ++next) {
        auto flow = m_flows.find(next->second);
        if (!take_open && flow->second.calls.front().open) {
            continue;
        }
        m_virtual_time = std::max(m_virtual_time, next->first);
        m_turns.erase(next);
        flow->second.next_due += 1.0 / weight_value(flow->second.weight);
        m_turns.emplace(flow->second.next_due, flow->first);
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
    removed_one(flow);
    return true;
}

std::optional<queued_call> fair_queue::evict()
{
    auto longest = m_flows.end();
    double most = 0;
    for (auto flow = m_flows.begin(); flow != m_flows.end(); ++flow) {
        const double length =
            static_cast<double>(flow->second.calls.size()) / weight_value(flow->second.weight);
        if (length > most) {
            most = length;
            longest = flow;
        }
    }
    if (longest == m_flows.end()) {
        return std::nullopt;
    }
    const queued_call victim = longest->second.calls.back();
    longest->second.calls.pop_back();
    removed_one(longest);
    return victim;
}

std::vector<queued_call>
fair_queue::take_if(const std::function<bool(const queued_call&)>& predicate)
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
            left_turns(flow);
        }
    }
    m_size -= static_cast<std::int64_t>(taken.size());
    if (m_size == 0) {
        forget_all();
    }
    return taken;
}

std::int64_t fair_queue::waiting(const base::workspace_id& workspace) const
{
    auto flow = m_flows.find(workspace);
    return flow == m_flows.end() ? 0 : static_cast<std::int64_t>(flow->second.calls.size());
}

double fair_queue::share_of(const base::workspace_id& workspace, base::share_weight weight) const
{
    const double own = weight_value(weight);
    const double others = waiting(workspace) > 0 ? m_weight_sum - own : m_weight_sum;
    return own / (own + std::max(0.0, others));
}

queued_call fair_queue::take_front(flow_map::iterator flow)
{
    const queued_call call = flow->second.calls.front();
    flow->second.calls.pop_front();
    removed_one(flow);
    return call;
}

void fair_queue::removed_one(flow_map::iterator flow)
{
    --m_size;
    if (flow->second.calls.empty()) {
        left_turns(*flow);
    }
    if (m_size == 0) {
        forget_all();
    }
}

void fair_queue::left_turns(const flow_map::value_type& flow)
{
    m_weight_sum -= weight_value(flow.second.weight);
    m_turns.erase(turn(flow.second.next_due, flow.first));
}

void fair_queue::forget_all()
{
    // Nobody waits, so there is capacity for all and no turn is owed.
    m_flows.clear();
    m_turns.clear();
    m_virtual_time = 0;
    m_weight_sum = 0;
}

} // namespace damaskladder::admission
