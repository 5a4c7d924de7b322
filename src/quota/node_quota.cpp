#include "quota/node_quota.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::quota {

node_quota::node_quota(quota_options options, base::node_id self, base::incarnation incarnation)
    : m_options(options), m_self(std::move(self)), m_incarnation(incarnation)
{
}

void node_quota::set_quotas(const std::vector<workspace_quota>& quotas, base::time_point now,
                            node_effects& effects)
{
    const auto wanted = [&](const base::workspace_id& workspace) {
        return std::any_of(quotas.begin(), quotas.end(), [&](const workspace_quota& quota) {
            return quota.workspace == workspace;
        });
    };
    for (auto entry = m_buckets.begin(); entry != m_buckets.end();) {
        if (wanted(entry->first)) {
            ++entry;
            continue;
        }
        entry->second.on_time(base::time_point::max(), effects.endings);
        entry = m_buckets.erase(entry);
    }
    for (const auto& quota : quotas) {
        const auto [entry, added] = m_buckets.try_emplace(quota.workspace, m_options, quota, now);
        entry->second.set_quota(quota);
    }
}

void node_quota::set_holder(const std::optional<holder_id>& holder, base::time_point now,
                            node_effects& effects)
{
    if (holder == m_holder) {
        return;
    }
    m_holder = holder;
    for (auto& [workspace, bucket] : m_buckets) {
        bucket.reset();
    }
    flush(now, effects);
}

take_answer node_quota::take(const base::workspace_id& workspace, base::call_id call,
                             base::time_point deadline, base::time_point now, node_effects& effects)
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end()) {
        return {take_verdict::refused, m_options.max_retry_after};
    }
    const auto answer = found->second.take(call, deadline, now);
    if (found->second.due(now)) {
        flush(now, effects);
    }
    return answer;
}

return_verdict node_quota::return_token(const base::workspace_id& workspace, base::call_id call,
                                        base::time_point now, node_effects& effects)
{
    const auto found = m_buckets.find(workspace);
    return found == m_buckets.end() ? return_verdict::not_charged
                                    : found->second.return_token(call, now, effects.endings);
}

void node_quota::settle(const base::workspace_id& workspace, base::call_id call)
{
    const auto found = m_buckets.find(workspace);
    if (found != m_buckets.end()) {
        found->second.settle(call);
    }
}

void node_quota::on_lend(const lend& message, base::time_point now, node_effects& effects)
{
    if (message.holder != m_holder || message.incarnation != m_incarnation) {
        return;
    }
    for (const auto& line : message.lines) {
        const auto found = m_buckets.find(line.workspace);
        if (found != m_buckets.end()) {
            found->second.on_lend(line, now, effects.endings);
        }
    }
    flush(now, effects);
}

void node_quota::on_recall(const recall& message, base::time_point now, node_effects& effects)
{
    if (message.holder == m_holder) {
        close_all(now, effects);
        m_holder.reset();
    }
}

void node_quota::stop(base::time_point now, node_effects& effects)
{
    close_all(now, effects);
    m_holder.reset();
}

void node_quota::on_time(base::time_point now, node_effects& effects)
{
    for (auto& [workspace, bucket] : m_buckets) {
        bucket.on_time(now, effects.endings);
    }
    flush(now, effects);
}

base::time_point node_quota::next_time() const
{
    auto time = base::time_point::max();
    for (const auto& [workspace, bucket] : m_buckets) {
        // Without a holder no line can be sent, so only waits can time out.
        time = std::min(time, m_holder ? bucket.next_time() : bucket.next_wait_end());
    }
    return time;
}

/// Sends one message if any bucket is due, with lines for all buckets that are due or should
/// piggyback.
void node_quota::flush(base::time_point now, node_effects& effects)
{
    const bool due = std::any_of(m_buckets.begin(), m_buckets.end(),
                                 [&](const auto& entry) { return entry.second.due(now); });
    if (!due || !m_holder) {
        return;
    }
    borrow message{m_self, m_incarnation, *m_holder, {}};
    for (auto& [workspace, bucket] : m_buckets) {
        if (bucket.due(now) || bucket.should_piggyback(now)) {
            message.lines.push_back(bucket.make_line(now));
        }
    }
    effects.sends.push_back({m_holder->node, std::move(message)});
}

void node_quota::close_all(base::time_point now, node_effects& effects)
{
    if (!m_holder) {
        return;
    }
    borrow message{m_self, m_incarnation, *m_holder, {}};
    for (auto& [workspace, bucket] : m_buckets) {
        message.lines.push_back(bucket.close(now));
    }
    effects.sends.push_back({m_holder->node, std::move(message)});
}

} // namespace damaskladder::quota
