#include "quota/token_account.hpp"

#include <algorithm>

namespace damaskladder::quota {

void token_account::advance(base::time_point now)
{
    const auto accrued = m_accrual.advance(now);
    const auto credited = std::min(accrued, headroom());
    m_balance += credited;
    m_ledger.advance(now, headroom(), accrued - credited, rate());
}

void token_account::set_limits(token_rate rate, tokens bound)
{
    m_accrual.set_rate(rate);
    m_bound = std::clamp(bound, tokens(0), max_tokens);
    const auto counted = m_balance + m_out - m_foreign;
    m_balance -= std::clamp(counted - m_bound, tokens(0), m_balance);
    m_ledger.note(headroom());
}

tokens token_account::headroom() const
{
    return std::max(tokens(0), m_bound - (m_balance + m_out - m_foreign));
}

void token_account::used(tokens amount, base::time_point when)
{
    const auto over = m_balance + m_out - m_foreign - m_bound;
    m_out -= amount;
    // Use that only brings the count down to the bound leaves no room.
    const auto room = amount - std::clamp(over, tokens(0), amount);
    m_balance += m_ledger.reclaim(room, when);
}

void token_account::gone(tokens amount)
{
    m_out -= amount;
}

void token_account::refund(tokens amount, base::time_point when)
{
    m_balance += std::min(headroom(), m_ledger.refund(amount, when));
    m_ledger.note(headroom());
}

base::time_point token_account::absorb(tokens amount, base::time_point now)
{
    m_foreign -= amount;
    const auto since = m_ledger.occupy(amount, now);
    m_ledger.note(headroom());
    return since;
}

} // namespace damaskladder::quota
