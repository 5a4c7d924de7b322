#include "quota/token_account.hpp"

#include <algorithm>

namespace damaskladder::quota {

void token_account::advance(base::time_point now)
{
    const auto accrued = m_accrual.advance(now);
    const auto credited = std::min(accrued, headroom());
    m_balance += credited;
    m_headroom_history.advance(now, headroom(), accrued - credited, rate());
}

void token_account::set_limits(token_rate rate, tokens bound)
{
    m_accrual.set_rate(rate);
    m_bound = std::clamp(bound, tokens(0), max_tokens);
    const auto counted = m_balance + m_outstanding - m_foreign;
    m_balance -= std::clamp(counted - m_bound, tokens(0), m_balance);
    m_headroom_history.record_headroom(headroom());
}

tokens token_account::headroom() const
{
    return std::max(tokens(0), m_bound - (m_balance + m_outstanding - m_foreign));
}

void token_account::record_use(tokens amount, base::time_point when)
{
    const auto over = m_balance + m_outstanding - m_foreign - m_bound;
    m_outstanding -= amount;
    // While the count is above the bound, use only lowers it to the bound and creates no headroom.
    const auto room = amount - std::clamp(over, tokens(0), amount);
    m_balance += m_headroom_history.reclaim(room, when);
}

void token_account::write_off(tokens amount)
{
    m_outstanding -= amount;
}

void token_account::refund(tokens amount, base::time_point when)
{
    m_balance += std::min(headroom(), m_headroom_history.refund(amount, when));
    m_headroom_history.record_headroom(headroom());
}

base::time_point token_account::absorb(tokens amount, base::time_point now)
{
    m_foreign -= amount;
    const auto since = m_headroom_history.reserve(amount, now);
    m_headroom_history.record_headroom(headroom());
    return since;
}

} // namespace damaskladder::quota
