#pragma once

#include "base/time.hpp"
#include "quota/headroom_history.hpp"
#include "quota/token_accrual.hpp"
#include "quota/tokens.hpp"

namespace damaskladder::quota {

/// Keeps the tokens of one workspace in one domain within the domain's part of the burst.
///
/// Counted: the balance, what is lent to nodes, and transfers to other domains until they are
/// final. Not counted: transfers from other domains that still count there ("foreign"). The sum of
/// the counted tokens of all domains bounds the tokens that can be used anywhere.
class token_account {
public:
    explicit token_account(base::time_point start) : m_accrual(start), m_headroom_history(start) {}

    /// Accrues up to now; what finds no room is dropped. Precedes every other call.
    void advance(base::time_point now);

    /// Changes rate and bound from now on. Balance above the bound is dropped.
    void set_limits(token_rate rate, tokens bound);

    tokens balance() const { return m_balance; }
    tokens bound() const { return m_bound; }
    token_rate rate() const { return m_accrual.rate(); }
    /// Room for accrual and for foreign tokens to be absorbed.
    tokens headroom() const;

    /// Moves tokens from the balance to a node or another domain; they go on counting.
    void debit(tokens amount)
    {
        m_balance -= amount;
        m_outstanding += amount;
    }
    /// Moves tokens back to the balance.
    void credit_back(tokens amount)
    {
        m_balance += amount;
        m_outstanding -= amount;
    }
    /// Tokens that were lent and used, the latest by `when`.
    void record_use(tokens amount, base::time_point when);
    /// Tokens that were lent and are lost, or count in another domain's bound now.
    void write_off(tokens amount);
    /// Tokens reported as used by `when` that were not; credits what fits.
    void refund(tokens amount, base::time_point when);

    void credit_foreign(tokens amount)
    {
        m_balance += amount;
        m_foreign += amount;
    }
    /// Foreign tokens that count here from now on. Returns since when they had room here.
    base::time_point absorb(tokens amount, base::time_point now);
    /// Foreign tokens that leave the balance: returned, or lost.
    void drop_foreign(tokens amount)
    {
        m_balance -= amount;
        m_foreign -= amount;
    }

private:
    token_accrual m_accrual;
    headroom_history m_headroom_history;
    tokens m_bound;
    tokens m_balance;
    tokens m_outstanding;
    tokens m_foreign;
};

} // namespace damaskladder::quota
