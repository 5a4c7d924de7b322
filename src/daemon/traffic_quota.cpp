#include "daemon/traffic_quota.hpp"

namespace damaskladder::daemon {

traffic_quota::traffic_quota(base::node_id self, base::incarnation incarnation, hooks callbacks)
    : m_hooks(std::move(callbacks)), m_buckets(quota::quota_options{}, std::move(self), incarnation)
{
}

void traffic_quota::acquire(const node::request_token& wanted, base::time_point now)
{
    const base::call_id call(++m_last_call);
    m_charges[call] = {wanted.exchange, wanted.workspace};
    m_by_exchange[wanted.exchange] = call;
    quota::node_effects effects;
    const auto verdict = m_buckets.take(wanted.workspace, call, wanted.deadline, now, effects);
    if (verdict.verdict != quota::take_verdict::wait) {
        answer(call, verdict);
    }
    perform(effects);
}

void traffic_quota::answer(base::call_id call, const quota::take_answer& verdict)
{
    const auto found = m_charges.find(call);
    if (found == m_charges.end()) {
        return;
    }
    const auto exchange = found->second.exchange;
    if (verdict.verdict == quota::take_verdict::taken) {
        m_hooks.deliver(node::token_granted{exchange, node::token_grant_id(call.value())});
        return;
    }
    m_charges.erase(found);
    m_by_exchange.erase(exchange);
    m_hooks.deliver(node::token_refused{exchange, verdict.retry_after});
}

void traffic_quota::refund(const node::return_token& wanted, base::time_point now)
{
    const base::call_id call(wanted.grant.value());
    const auto found = m_charges.find(call);
    if (found == m_charges.end()) {
        return;
    }
    const auto charged = found->second;
    m_charges.erase(found);
    m_by_exchange.erase(charged.exchange);
    quota::node_effects effects;
    m_buckets.return_token(charged.workspace, call, now, effects);
    perform(effects);
}

void traffic_quota::exchange_ended(node::exchange_id exchange)
{
    const auto found = m_by_exchange.find(exchange);
    if (found == m_by_exchange.end()) {
        return;
    }
    const auto call = found->second;
    m_by_exchange.erase(found);
    const auto charged = m_charges.extract(call);
    m_buckets.settle(charged.mapped().workspace, call);
}

void traffic_quota::receive(const quota::quota_message& message, base::time_point now)
{
    quota::node_effects effects;
    if (const auto* lent = std::get_if<quota::lend>(&message)) {
        m_buckets.on_lend(*lent, now, effects);
    }
    else if (const auto* recalled = std::get_if<quota::recall>(&message)) {
        m_buckets.on_recall(*recalled, now, effects);
    }
    perform(effects);
}

void traffic_quota::set_quotas(const std::vector<quota::workspace_quota>& quotas,
                               base::time_point now)
{
    quota::node_effects effects;
    m_buckets.set_quotas(quotas, now, effects);
    perform(effects);
}

void traffic_quota::set_holder(const std::optional<quota::holder_id>& holder, base::time_point now)
{
    quota::node_effects effects;
    m_buckets.set_holder(holder, now, effects);
    perform(effects);
}

void traffic_quota::stop(base::time_point now)
{
    quota::node_effects effects;
    m_buckets.stop(now, effects);
    perform(effects);
}

std::optional<base::time_point> traffic_quota::round(base::time_point now)
{
    if (now >= m_buckets.next_time()) {
        quota::node_effects effects;
        m_buckets.on_time(now, effects);
        perform(effects);
    }
    const auto next = m_buckets.next_time();
    return next == base::time_point::max() ? std::nullopt : std::optional(next);
}

void traffic_quota::perform(const quota::node_effects& effects)
{
    for (const auto& send : effects.sends) {
        m_hooks.send(send);
    }
    for (const auto& ended : effects.endings) {
        answer(ended.call, ended.answer);
    }
}

} // namespace damaskladder::daemon
