#include "membership/endings_confirmation.hpp"

#include <algorithm>
#include <functional>

namespace damaskladder::membership {

void endings_confirmation::begin_list()
{
    m_newest = endings_number(m_newest.value() + 1);
    m_next_send.clear();
}

void endings_confirmation::on_kept(const base::node_id& node, endings_number number,
                                   base::incarnation incarnation)
{
    if (number > m_newest) {
        return;
    }
    receipt& last = m_receipts[node];
    if (incarnation > last.incarnation) {
        last = {incarnation, number};
    }
    else if (incarnation == last.incarnation) {
        last.number = std::max(last.number, number);
    }
}

bool endings_confirmation::holds_newest(const holder& observer) const
{
    const auto found = m_receipts.find(observer.node);
    return found != m_receipts.end() && found->second.incarnation >= observer.incarnation &&
           found->second.number == m_newest;
}

std::vector<base::node_id> endings_confirmation::due(const std::vector<holder>& observers,
                                                     base::time_point now)
{
    std::vector<base::node_id> receivers;
    for (const holder& observer : observers) {
        base::time_point& next = m_next_send[observer.node];
        if (now >= next && !holds_newest(observer)) {
            next = now + m_resend_interval;
            receivers.push_back(observer.node);
        }
    }
    return receivers;
}

endings_number endings_confirmation::held_by_majority(const std::vector<holder>& observers) const
{
    if (observers.empty()) {
        return {};
    }
    std::vector<endings_number> held;
    for (const holder& observer : observers) {
        const auto found = m_receipts.find(observer.node);
        const bool known =
            found != m_receipts.end() && found->second.incarnation >= observer.incarnation;
        held.push_back(known ? found->second.number : endings_number());
    }
    std::sort(held.begin(), held.end(), std::greater<>());
    return held[held.size() / 2];
}

} // namespace damaskladder::membership
