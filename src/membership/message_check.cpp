#include "membership/message_check.hpp"

#include <algorithm>
#include <cstdint>
#include <string>

namespace damaskladder::membership {

namespace {

/// Far above any start count or Unix time in seconds. Incarnations can still be increased by
/// refutations without overflow.
constexpr base::incarnation largest_incarnation(std::uint64_t{1} << 62U);

class checker {
public:
    explicit checker(const membership_limits& limits) : m_limits(limits) {}

    bool operator()(const heartbeat& body) const
    {
        return body.incarnation <= largest_incarnation && valid_name(body.reply_to) &&
               valid_records(body.updates);
    }
    bool operator()(const member_update& body) const { return valid_records(body.records); }
    bool operator()(const probe& body) const { return valid_name(body.reply_to); }
    bool operator()(const observer_vote& body) const
    {
        return valid_name(body.subject) && body.incarnation <= largest_incarnation &&
               valid_name(body.reply_to);
    }
    bool operator()(const join& body) const { return valid_record(body.joiner); }
    bool operator()(const sync_request& body) const { return valid_name(body.reply_to); }
    bool operator()(const sync_records& body) const
    {
        return valid_name(body.reply_to) && valid_records(body.records);
    }

    bool operator()(const domain_hello& body) const
    {
        return valid_name(body.domain) && valid_name(body.sender.address) &&
               valid_endpoints(body.relays) &&
               (!body.subscription.has_value() || valid_subscription(*body.subscription)) &&
               body.others.size() <= m_limits.failure_domains &&
               std::all_of(body.others.begin(), body.others.end(),
                           [&](const domain_relays& other) { return valid_contact_points(other); });
    }
    bool operator()(const domain_update& body) const
    {
        return valid_name(body.domain) && valid_records(body.records);
    }
    bool operator()(const domain_summary& body) const
    {
        return valid_name(body.domain) && body.parts <= m_limits.parts_per_summary &&
               body.part < body.parts && valid_records(body.records);
    }
    bool operator()(const subscribe& body) const
    {
        return valid_name(body.reply_to) && valid_subscription(body.subscription) &&
               body.held.size() <= m_limits.failure_domains &&
               std::all_of(body.held.begin(), body.held.end(),
                           [&](const domain_digest& held) { return valid_name(held.domain); });
    }
    bool operator()(const domain_states& body) const
    {
        return body.states.size() <= m_limits.failure_domains &&
               std::all_of(body.states.begin(), body.states.end(), [&](const domain_state& state) {
                   return valid_contact_points(state.contact_points);
               });
    }
    bool operator()(const keep_endings& body) const
    {
        return valid_name(body.reply_to) && valid_endings(body.endings);
    }
    bool operator()(const endings_kept& body) const { return body.holder <= largest_incarnation; }
    bool operator()(const endings_query& body) const { return valid_name(body.reply_to); }
    bool operator()(const endings_reply& body) const
    {
        return body.endings.size() <= m_limits.kept_endings_per_node && valid_runs(body.endings);
    }

    bool valid_record(const member_record& item) const
    {
        return item.incarnation <= largest_incarnation && valid_name(item.node) &&
               valid_name(item.domain) && valid_name(item.messages) &&
               item.traffic.value().size() <= m_limits.text_length &&
               item.backends.size() <= m_limits.backends_per_node &&
               std::all_of(item.backends.begin(), item.backends.end(),
                           [&](const backend_server& backend) { return valid_backend(backend); }) &&
               valid_endings(item.run_endings);
    }

private:
    bool valid_endings(const std::vector<run_ending>& list) const
    {
        return list.size() <= m_limits.run_endings_per_node && valid_runs(list);
    }

    bool valid_runs(const std::vector<run_ending>& list) const
    {
        return std::all_of(list.begin(), list.end(),
                           [&](const run_ending& ending) { return valid_name(ending.instance); });
    }

    template <class Id>
    bool valid_name(const Id& id) const
    {
        const std::string& text = id.value();
        return !text.empty() && text.size() <= m_limits.text_length;
    }

    bool valid_endpoints(const std::vector<endpoint>& list) const
    {
        return list.size() <= m_limits.relays_per_domain &&
               std::all_of(list.begin(), list.end(), [&](const endpoint& one) {
                   return valid_name(one.address) &&
                          one.node.value().size() <= m_limits.text_length;
               });
    }

    bool valid_contact_points(const domain_relays& item) const
    {
        return valid_name(item.domain) && valid_endpoints(item.relays);
    }

    bool valid_subscription(const service_subscription& item) const
    {
        return item.services.size() <= m_limits.services_per_subscription &&
               std::all_of(item.services.begin(), item.services.end(),
                           [&](const base::service_id& service) { return valid_name(service); });
    }

    bool valid_backend(const backend_server& backend) const
    {
        return valid_name(backend.service) && backend.slots >= base::slot_count(0) &&
               backend.connections >= connection_count(0);
    }

    bool valid_records(const std::vector<member_record>& records) const
    {
        return records.size() <= m_limits.records_per_message &&
               std::all_of(records.begin(), records.end(),
                           [&](const member_record& item) { return valid_record(item); });
    }

    const membership_limits& m_limits;
};

} // namespace

bool acceptable(const member_record& record, const membership_limits& limits)
{
    return checker(limits).valid_record(record);
}

bool acceptable(const message& body, const membership_limits& limits)
{
    return std::visit(checker(limits), body);
}

} // namespace damaskladder::membership
