#include "membership/message_check.hpp"

#include <algorithm>
#include <cstdint>
#include <string>

namespace damaskladder::membership {

namespace {

/// Far above any start count or wall second; leaves room for refutations without overflow.
constexpr base::incarnation largest_incarnation(std::uint64_t{1} << 62U);

class checker {
public:
    explicit checker(const membership_limits& limits) : m_limits(limits) {}

    bool operator()(const heartbeat& body) const
    {
        return body.incarnation <= largest_incarnation && name(body.reply_to) && list(body.news);
    }
    bool operator()(const news& body) const { return list(body.records); }
    bool operator()(const probe& body) const { return name(body.reply_to); }
    bool operator()(const observer_vote& body) const
    {
        return name(body.subject) && body.incarnation <= largest_incarnation && name(body.reply_to);
    }
    bool operator()(const join& body) const { return record(body.joiner); }
    bool operator()(const sync_request& body) const { return name(body.reply_to); }
    bool operator()(const sync_records& body) const
    {
        return name(body.reply_to) && list(body.records);
    }

    bool operator()(const domain_hello& body) const
    {
        return name(body.domain) && name(body.sender.address) && endpoints(body.relays) &&
               (!body.wanted.has_value() || wanted(*body.wanted)) &&
               body.others.size() <= m_limits.failure_domains &&
               std::all_of(body.others.begin(), body.others.end(),
                           [&](const domain_relays& other) { return place(other); });
    }
    bool operator()(const domain_news& body) const
    {
        return name(body.domain) && list(body.records);
    }
    bool operator()(const domain_summary& body) const
    {
        return name(body.domain) && body.parts <= m_limits.parts_per_summary &&
               body.part < body.parts && list(body.records);
    }
    bool operator()(const subscribe& body) const
    {
        return name(body.reply_to) && wanted(body.wanted) &&
               body.held.size() <= m_limits.failure_domains &&
               std::all_of(body.held.begin(), body.held.end(),
                           [&](const domain_digest& held) { return name(held.domain); });
    }
    bool operator()(const domain_states& body) const
    {
        return body.states.size() <= m_limits.failure_domains &&
               std::all_of(body.states.begin(), body.states.end(),
                           [&](const domain_state& state) { return place(state.place); });
    }

    bool record(const member_record& item) const
    {
        return item.incarnation <= largest_incarnation && name(item.node) && name(item.domain) &&
               name(item.messages) && item.traffic.value().size() <= m_limits.text_length &&
               item.backends.size() <= m_limits.backends_per_node &&
               std::all_of(item.backends.begin(), item.backends.end(),
                           [&](const backend_server& backend) { return server(backend); });
    }

private:
    template <class Id>
    bool name(const Id& id) const
    {
        const std::string& text = id.value();
        return !text.empty() && text.size() <= m_limits.text_length;
    }

    bool endpoints(const std::vector<endpoint>& list) const
    {
        return list.size() <= m_limits.relays_per_domain &&
               std::all_of(list.begin(), list.end(), [&](const endpoint& one) {
                   return name(one.address) && one.node.value().size() <= m_limits.text_length;
               });
    }

    bool place(const domain_relays& item) const
    {
        return name(item.domain) && endpoints(item.relays);
    }

    bool wanted(const service_subscription& item) const
    {
        return item.services.size() <= m_limits.services_per_subscription &&
               std::all_of(item.services.begin(), item.services.end(),
                           [&](const base::service_id& service) { return name(service); });
    }

    bool server(const backend_server& backend) const
    {
        return name(backend.service) && backend.slots >= base::slot_count(0) &&
               backend.connections >= connection_count(0);
    }

    bool list(const std::vector<member_record>& records) const
    {
        return records.size() <= m_limits.records_per_message &&
               std::all_of(records.begin(), records.end(),
                           [&](const member_record& item) { return record(item); });
    }

    const membership_limits& m_limits;
};

} // namespace

bool acceptable(const member_record& record, const membership_limits& limits)
{
    return checker(limits).record(record);
}

bool acceptable(const message& body, const membership_limits& limits)
{
    return std::visit(checker(limits), body);
}

} // namespace damaskladder::membership
