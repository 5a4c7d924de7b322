#include "retry/allowance_ledger.hpp"

#include <algorithm>

namespace damaskladder::retry {
namespace {

constexpr base::retry_count none{0};

} // namespace

void allowance_ledger::open(base::call_id call, base::retry_count amount)
{
    m_calls.try_emplace(call, call_allowance{std::max(none, amount), {}});
}

base::retry_count allowance_ledger::delegate(base::call_id call, base::call_id onward)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return none;
    }
    const auto half = base::retry_count((found->second.remaining.value() + 1) / 2);
    return delegate_amount(found->second, onward, half);
}

base::retry_count allowance_ledger::delegate_all_but(base::call_id call, base::call_id onward,
                                                     base::retry_count reserved)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return none;
    }
    return delegate_amount(found->second, onward,
                           std::max(none, found->second.remaining - reserved));
}

void allowance_ledger::return_unused(base::call_id call, base::call_id onward,
                                     base::retry_count unused)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return;
    }
    auto delegation = found->second.delegated.find(onward);
    if (delegation == found->second.delegated.end()) {
        return;
    }
    found->second.remaining += std::clamp(unused, none, delegation->second);
    found->second.delegated.erase(delegation);
}

void allowance_ledger::forfeit(base::call_id call, base::call_id onward)
{
    return_unused(call, onward, none);
}

bool allowance_ledger::spend(base::call_id call)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end() || found->second.remaining <= none) {
        return false;
    }
    found->second.remaining -= base::retry_count(1);
    return true;
}

base::retry_count allowance_ledger::remaining(base::call_id call) const
{
    auto found = m_calls.find(call);
    return found == m_calls.end() ? none : found->second.remaining;
}

base::retry_count allowance_ledger::close(base::call_id call)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return none;
    }
    const base::retry_count unused = found->second.remaining;
    m_calls.erase(found);
    return unused;
}

base::retry_count allowance_ledger::delegate_amount(call_allowance& allowance, base::call_id onward,
                                                    base::retry_count amount)
{
    if (!allowance.delegated.try_emplace(onward, amount).second) {
        return none;
    }
    allowance.remaining -= amount;
    return amount;
}

} // namespace damaskladder::retry
