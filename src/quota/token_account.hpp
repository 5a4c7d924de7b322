#pragma once

#include "base/time.hpp"
#include "quota/headroom_history.hpp"
#include "quota/token_accrual.hpp"
#include "quota/tokens.hpp"

namespace damaskladder::quota {

/// Keeps the tokens of one workspace in one domain within the domain's part of the burst.
///
/// Counted are the balance, tokens lent to nodes, and transfers to other domains until they are
/// final. Not counted are transfers from other domains that are still counted there ("foreign"
/// tokens). The tokens that can be used anywhere never exceed the sum of the counted tokens of all
/// domains.
class token_account {
public:
    explicit token_account(base::time_point start) : m_accrual(start), m_headroom_history(start) {}

    /// Accrues up to now and drops accrual above the bound. Call it before every other call.
    void advance(base::time_point now);

    /// Sets the rate and bound from now on. Drops balance above the bound.
    void set_limits(token_rate rate, tokens bound);

    tokens balance() const { return m_balance; }
    tokens bound() const { return m_bound; }
    token_rate rate() const { return m_accrual.rate(); }
    /// Tokens that can be accrued or absorbed before the bound is reached.
    tokens headroom() const;

    /// Moves tokens from the balance to a node or another domain. They remain counted.
    void debit(tokens amount)
    {
        m_balance -= amount;
        m_outstanding += amount;
    }
    /// Moves tokens that a node or another domain returned to the balance.
    void credit_back(tokens amount)
    {
        m_balance += amount;
        m_outstanding -= amount;
    }
    /// Records that `amount` of the tokens lent were used, the latest by `when`.
    void record_use(tokens amount, base::time_point when);
    /// Removes tokens that were lent and are lost, or that now count in another domain's bound.
    void write_off(tokens amount);
    /// Takes back a report that `amount` was used by `when`, and credits what fits below the bound.
    void refund(tokens amount, base::time_point when);

    void credit_foreign(tokens amount)
    {
        m_balance += amount;
        m_foreign += amount;
    }
    /// Counts foreign tokens in this domain's bound from now on. Returns since when there was
    /// headroom for them.
    base::time_point absorb(tokens amount, base::time_point now);
    /// Removes foreign tokens that were returned or lost from the balance.
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
