#include "membership/message_size.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace damaskladder::membership {

namespace {

constexpr std::int64_t flag_size = 1;
constexpr std::int64_t digest_size = 9;

/// CBOR integer: a type byte, followed by 0 (for values below 24), 1, 2, 4 or 8 bytes.
std::int64_t size_of_number(std::uint64_t value)
{
    if (value < 24) {
        return 1;
    }
    if (value < 0x100) {
        return 2;
    }
    if (value < 0x10000) {
        return 3;
    }
    return value < 0x100000000 ? 5 : 9;
}

std::int64_t size_of_text(const std::string& text)
{
    return size_of_number(text.size()) + static_cast<std::int64_t>(text.size());
}

std::int64_t size_of_backend(const backend_server& backend)
{
    return 1 + size_of_text(backend.service.value()) + size_of_number(backend.port.value()) +
           size_of_number(static_cast<std::uint64_t>(backend.slots.value())) +
           size_of_number(static_cast<std::uint64_t>(backend.connections.value())) + 2 * flag_size;
}

std::int64_t size_of_ending(const run_ending& ending)
{
    return 1 + size_of_text(ending.instance.value()) + 1 +
           size_of_number(ending.position.started_ms) + size_of_number(ending.position.sequence) +
           flag_size;
}

std::int64_t size_of_endings(const std::vector<run_ending>& endings)
{
    std::int64_t size = size_of_number(endings.size());
    for (const run_ending& ending : endings) {
        size += size_of_ending(ending);
    }
    return size;
}

std::int64_t size_of_record(const member_record& record)
{
    std::int64_t size =
        1 + size_of_text(record.node.value()) + size_of_text(record.domain.value()) +
        size_of_number(record.incarnation.value()) + size_of_number(record.version.value()) +
        flag_size + size_of_text(record.messages.value()) + size_of_text(record.traffic.value()) +
        flag_size;
    size += size_of_number(record.backends.size());
    for (const backend_server& backend : record.backends) {
        size += size_of_backend(backend);
    }
    return size + size_of_endings(record.run_endings);
}

std::int64_t size_of_records(const std::vector<member_record>& records)
{
    std::int64_t size = size_of_number(records.size());
    for (const member_record& record : records) {
        size += size_of_record(record);
    }
    return size;
}

std::int64_t size_of_endpoints(const std::vector<endpoint>& list)
{
    std::int64_t size = 1;
    for (const endpoint& one : list) {
        size += 1 + size_of_text(one.node.value()) + size_of_text(one.address.value());
    }
    return size;
}

std::int64_t size_of_contact_points(const domain_relays& contact_points)
{
    return 1 + size_of_text(contact_points.domain.value()) +
           size_of_endpoints(contact_points.relays);
}

std::int64_t size_of_subscription(const service_subscription& subscription)
{
    std::int64_t size = flag_size + size_of_number(subscription.services.size());
    for (const base::service_id& service : subscription.services) {
        size += size_of_text(service.value());
    }
    return size;
}

struct size_visitor {
    std::int64_t operator()(const heartbeat& body) const
    {
        return size_of_number(body.incarnation.value()) + size_of_number(body.sequence.value()) +
               size_of_text(body.reply_to.value()) + digest_size + size_of_records(body.updates);
    }
    std::int64_t operator()(const member_update& body) const
    {
        return size_of_records(body.records);
    }
    std::int64_t operator()(const probe& body) const { return size_of_text(body.reply_to.value()); }
    std::int64_t operator()(const observer_vote& body) const
    {
        return size_of_text(body.subject.value()) + size_of_number(body.incarnation.value()) +
               flag_size + size_of_text(body.reply_to.value());
    }
    std::int64_t operator()(const join& body) const
    {
        return size_of_record(body.joiner) + 2 * flag_size;
    }
    std::int64_t operator()(const sync_request& body) const
    {
        return size_of_text(body.reply_to.value()) +
               static_cast<std::int64_t>(bucket_digests::count) * digest_size;
    }
    std::int64_t operator()(const sync_records& body) const
    {
        return size_of_text(body.reply_to.value()) + size_of_records(body.records);
    }
    std::int64_t operator()(const domain_hello& body) const
    {
        std::int64_t size = size_of_text(body.domain.value()) + size_of_endpoints({body.sender}) +
                            size_of_endpoints(body.relays) + 3 * digest_size + flag_size;
        size +=
            body.subscription.has_value() ? size_of_subscription(*body.subscription) : flag_size;
        for (const domain_relays& other : body.others) {
            size += size_of_contact_points(other);
        }
        return size;
    }
    std::int64_t operator()(const domain_update& body) const
    {
        return size_of_text(body.domain.value()) + size_of_records(body.records);
    }
    std::int64_t operator()(const domain_summary& body) const
    {
        return size_of_text(body.domain.value()) + size_of_number(body.summary.value()) +
               size_of_number(body.part) + size_of_number(body.parts) +
               size_of_records(body.records);
    }
    std::int64_t operator()(const subscribe& body) const
    {
        std::int64_t size = size_of_text(body.reply_to.value()) +
                            size_of_subscription(body.subscription) + digest_size;
        for (const domain_digest& held : body.held) {
            size += size_of_text(held.domain.value()) + digest_size;
        }
        return size;
    }
    std::int64_t operator()(const domain_states& body) const
    {
        std::int64_t size = flag_size + size_of_number(body.states.size());
        for (const domain_state& state : body.states) {
            size += size_of_contact_points(state.contact_points) + flag_size;
        }
        return size;
    }
    std::int64_t operator()(const keep_endings& body) const
    {
        return size_of_number(body.process.value()) + size_of_number(body.number.value()) +
               size_of_endings(body.endings) + size_of_text(body.reply_to.value());
    }
    std::int64_t operator()(const endings_kept& body) const
    {
        return size_of_number(body.process.value()) + size_of_number(body.number.value()) +
               size_of_number(body.holder.value());
    }
    std::int64_t operator()(const endings_query& body) const
    {
        return size_of_number(body.process.value()) + size_of_text(body.reply_to.value());
    }
    std::int64_t operator()(const endings_reply& body) const
    {
        return size_of_number(body.process.value()) + size_of_endings(body.endings);
    }
};

} // namespace

base::byte_count encoded_size(const message& body)
{
    constexpr std::int64_t frame_size = 3;
    return base::byte_count(frame_size + std::visit(size_visitor{}, body));
}

} // namespace damaskladder::membership
