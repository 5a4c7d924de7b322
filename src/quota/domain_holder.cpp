#include "quota/domain_holder.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace damaskladder::quota {

namespace {

/// Timer interval while a node waits or a round of requests to peers is open: a fraction of the
/// timeouts it checks.
constexpr base::duration busy_interval = std::chrono::milliseconds(5);
/// Timer interval otherwise. Returns, resends and prefetch requests need no better resolution.
constexpr base::duration idle_interval = std::chrono::milliseconds(50);

} // namespace

domain_holder::domain_holder(quota_options options, holder_id self, domain_share share,
                             base::time_point lease_end, base::time_point now)
    : m_options(options),
      m_self(std::move(self)),
      m_shares(options.share_increase_delay),
      m_lease_end(lease_end)
{
    m_shares.change(share, now);
}

void domain_holder::set_lease_end(base::time_point end)
{
    m_lease_end = std::max(m_lease_end, end);
    for (auto& [workspace, pool] : m_pools) {
        pool.set_lease_end(m_lease_end);
    }
}

void domain_holder::set_quotas(base::settings_version version,
                               const std::vector<workspace_quota>& quotas, base::time_point now)
{
    if (version <= m_version) {
        return;
    }
    m_version = version;
    m_quotas = quotas;
    for (auto& [known, known_pool] : m_pools) {
        const bool wanted =
            std::any_of(quotas.begin(), quotas.end(),
                        [&, &id = known](const auto& quota) { return quota.workspace == id; });
        if (!wanted) {
            // The pool is kept, without accrual, until its tokens are drained.
            known_pool.set_limits({known, token_rate(0), tokens(0)}, token_rate(0), tokens(0), now);
        }
    }
    for (const auto& quota : quotas) {
        const auto [entry, added] =
            m_pools.try_emplace(quota.workspace, m_options, m_self, quota, now);
        if (added) {
            entry->second.set_lease_end(m_lease_end);
            entry->second.set_peers(m_peers, now);
        }
    }
    apply_limits(now);
}

void domain_holder::set_share(domain_share share, base::time_point now)
{
    m_shares.change(share, now);
    apply_limits(now);
}

void domain_holder::set_peers(std::vector<holder_id> peers, base::time_point now)
{
    m_peers = std::move(peers);
    for (auto& [workspace, pool] : m_pools) {
        pool.set_peers(m_peers, now);
    }
}

quota_sends domain_holder::on_borrow(const borrow& message, base::time_point now)
{
    holder_effects effects(m_self);
    if (lease_valid(now) && message.holder == m_self) {
        for (const auto& line : message.lines) {
            if (auto* found = pool(line.workspace)) {
                found->on_line(message.node, message.incarnation, line, now, effects);
            }
        }
    }
    return effects.take();
}

quota_sends domain_holder::on_transfer_request(const transfer_request& message,
                                               base::time_point now)
{
    holder_effects effects(m_self);
    auto* found = pool(message.workspace);
    if (lease_valid(now) && message.lender == m_self && found != nullptr) {
        found->on_transfer_request(message, now, effects);
    }
    return effects.take();
}

quota_sends domain_holder::on_transfer(const transfer& message, base::time_point now)
{
    holder_effects effects(m_self);
    auto* found = pool(message.workspace);
    if (lease_valid(now) && message.borrower == m_self && found != nullptr) {
        found->on_transfer(message, now, effects);
    }
    return effects.take();
}

quota_sends domain_holder::on_transfer_ack(const transfer_ack& message, base::time_point now)
{
    holder_effects effects(m_self);
    auto* found = pool(message.workspace);
    if (lease_valid(now) && message.lender == m_self && found != nullptr) {
        found->on_transfer_ack(message, now, effects);
    }
    return effects.take();
}

quota_sends domain_holder::on_time(base::time_point now)
{
    holder_effects effects(m_self);
    if (lease_valid(now)) {
        if (m_shares.remove_expired(now)) {
            apply_limits(now);
        }
        for (auto& [workspace, pool] : m_pools) {
            pool.on_time(now, effects);
        }
    }
    return effects.take();
}

quota_sends domain_holder::stop(base::time_point now)
{
    m_stopped = true;
    holder_effects effects(m_self);
    std::set<base::node_id> nodes;
    for (auto& [workspace, pool] : m_pools) {
        pool.stop();
        const auto known = pool.nodes();
        nodes.insert(known.begin(), known.end());
    }
    if (lease_valid(now)) {
        for (const auto& node : nodes) {
            effects.send(node, recall{m_self});
        }
    }
    return effects.take();
}

bool domain_holder::drained(base::time_point now) const
{
    return m_stopped && std::all_of(m_pools.begin(), m_pools.end(),
                                    [&](const auto& entry) { return entry.second.drained(now); });
}

base::time_point domain_holder::next_time(base::time_point now) const
{
    const bool busy = std::any_of(m_pools.begin(), m_pools.end(),
                                  [](const auto& entry) { return entry.second.busy(); });
    return std::min(m_shares.next_time(), now + (busy ? busy_interval : idle_interval));
}

tokens domain_holder::balance(const base::workspace_id& workspace) const
{
    const auto found = m_pools.find(workspace);
    return found == m_pools.end() ? tokens(0) : found->second.balance();
}

void domain_holder::apply_limits(base::time_point now)
{
    for (const auto& quota : m_quotas) {
        if (auto* found = pool(quota.workspace)) {
            found->set_limits(quota, m_shares.of(quota.rate), m_shares.of(quota.burst), now);
        }
    }
}

workspace_pool* domain_holder::pool(const base::workspace_id& workspace)
{
    const auto found = m_pools.find(workspace);
    return found == m_pools.end() ? nullptr : &found->second;
}

} // namespace damaskladder::quota
