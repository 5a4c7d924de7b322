#include "node/running_calls.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::node {

bool running_calls::add(const call_context& context, base::time_point deadline)
{
    return m_calls.try_emplace(context.call, running_call{context, deadline, {}, {}, {}}).second;
}

const running_call* running_calls::find(base::call_id call) const
{
    auto found = m_calls.find(call);
    return found == m_calls.end() ? nullptr : &found->second;
}

void running_calls::onward_started(base::call_id call, exchange_id onward, base::time_point now)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return;
    }
    if (found->second.onward.empty()) {
        found->second.onward_since = now;
    }
    found->second.onward.push_back(onward);
}

void running_calls::onward_ended(base::call_id call, exchange_id onward, base::time_point now)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return;
    }
    running_call& parent = found->second;
    const auto erased = std::remove(parent.onward.begin(), parent.onward.end(), onward);
    if (erased == parent.onward.end()) {
        return;
    }
    parent.onward.erase(erased, parent.onward.end());
    if (parent.onward.empty()) {
        parent.onward_time += now - parent.onward_since;
    }
}

base::duration running_calls::onward_time(base::call_id call, base::time_point now) const
{
    const running_call* found = find(call);
    if (found == nullptr) {
        return base::duration::zero();
    }
    const bool has_onward = !found->onward.empty();
    return found->onward_time + (has_onward ? now - found->onward_since : base::duration::zero());
}

std::vector<exchange_id> running_calls::remove(base::call_id call)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return {};
    }
    std::vector<exchange_id> onward = std::move(found->second.onward);
    m_calls.erase(found);
    return onward;
}

} // namespace damaskladder::node
