#include "retry/allowance_ledger.hpp"

#include <algorithm>

namespace damaskladder::retry {
namespace {

constexpr base::retry_count none{0};

} // namespace

void allowance_ledger::open(base::call_id call, base::retry_count amount)
{
    m_calls.try_emplace(call, held_allowance{std::max(none, amount), {}});
}

base::retry_count allowance_ledger::lend(base::call_id call, base::call_id onward)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return none;
    }
    const auto half = base::retry_count((found->second.left.value() + 1) / 2);
    return lend_amount(found->second, onward, half);
}

base::retry_count allowance_ledger::lend_all_but(base::call_id call, base::call_id onward,
                                                 base::retry_count kept)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return none;
    }
    return lend_amount(found->second, onward, std::max(none, found->second.left - kept));
}

void allowance_ledger::give_back(base::call_id call, base::call_id onward, base::retry_count unused)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return;
    }
    auto loan = found->second.lent.find(onward);
    if (loan == found->second.lent.end()) {
        return;
    }
    found->second.left += std::clamp(unused, none, loan->second);
    found->second.lent.erase(loan);
}

void allowance_ledger::lost(base::call_id call, base::call_id onward)
{
    give_back(call, onward, none);
}

bool allowance_ledger::spend(base::call_id call)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end() || found->second.left <= none) {
        return false;
    }
    found->second.left -= base::retry_count(1);
    return true;
}

base::retry_count allowance_ledger::left(base::call_id call) const
{
    auto found = m_calls.find(call);
    return found == m_calls.end() ? none : found->second.left;
}

base::retry_count allowance_ledger::close(base::call_id call)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return none;
    }
    const base::retry_count unused = found->second.left;
    m_calls.erase(found);
    return unused;
}

base::retry_count allowance_ledger::lend_amount(held_allowance& held, base::call_id onward,
                                                base::retry_count amount)
{
    if (!held.lent.try_emplace(onward, amount).second) {
        return none;
    }
    held.left -= amount;
    return amount;
}

} // namespace damaskladder::retry
