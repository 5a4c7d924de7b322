#include "consensus/file_encoding.hpp"

#include "base/byte_reader.hpp"
#include "base/byte_writer.hpp"

#include <memory>
#include <utility>
#include <variant>

namespace damaskladder::consensus {

namespace {

/// First byte of an encoded entry payload.
enum class payload_kind : std::uint8_t { no_operation = 0, command = 1, configuration = 2 };

/// Upper bound well above the size of any configuration; limits memory use while decoding a damaged
/// file.
constexpr std::uint32_t max_decoded_members = 1000;

void put_identity(base::byte_writer& out, const replica_identity& value)
{
    out.text(value.id.value()).u64(value.nonce.value());
}

replica_identity get_identity(base::byte_reader& in)
{
    const replica_id id{std::string(in.text())};
    const identity_nonce nonce(in.u64());
    return {id, nonce};
}

void put_configuration(base::byte_writer& out, const configuration& value)
{
    out.u64(value.id.value()).u32(static_cast<std::uint32_t>(value.members.size()));
    for (const member& each : value.members) {
        put_identity(out, each.identity);
        out.u8(static_cast<std::uint8_t>(each.role));
    }
}

std::optional<configuration> get_configuration(base::byte_reader& in)
{
    configuration value{config_id(in.u64()), {}};
    const std::uint32_t count = in.u32();
    if (count > max_decoded_members) {
        return std::nullopt;
    }
    for (std::uint32_t i = 0; i < count && in.ok(); ++i) {
        const replica_identity identity = get_identity(in);
        const std::uint8_t role = in.u8();
        if (role > static_cast<std::uint8_t>(member_role::voter)) {
            return std::nullopt;
        }
        value.members.push_back({identity, static_cast<member_role>(role)});
    }
    return in.ok() ? std::optional(std::move(value)) : std::nullopt;
}

std::optional<entry_payload> get_payload(base::byte_reader& in)
{
    switch (static_cast<payload_kind>(in.u8())) {
    case payload_kind::no_operation:
        return no_operation{};
    case payload_kind::command:
        return command{std::string(in.rest())};
    case payload_kind::configuration:
        if (auto members = get_configuration(in)) {
            return std::move(*members);
        }
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::string encode_entry(const entry& value)
{
    base::byte_writer out;
    out.reserve(static_cast<std::size_t>(size_of(value).value()));
    out.u64(value.index.value()).u64(value.term.value());
    if (const auto* content = std::get_if<command>(&value.payload)) {
        out.u8(static_cast<std::uint8_t>(payload_kind::command)).raw(content->bytes);
    }
    else if (const auto* members = std::get_if<configuration>(&value.payload)) {
        out.u8(static_cast<std::uint8_t>(payload_kind::configuration));
        put_configuration(out, *members);
    }
    else {
        out.u8(static_cast<std::uint8_t>(payload_kind::no_operation));
    }
    return out.take();
}

std::optional<entry> decode_entry(std::string_view bytes)
{
    base::byte_reader in(bytes);
    const log_index index(in.u64());
    const term_number term(in.u64());
    if (!in.ok()) {
        return std::nullopt;
    }
    auto payload = get_payload(in);
    if (!payload || !in.finished() || index == log_index()) {
        return std::nullopt;
    }
    return entry{index, term, std::move(*payload)};
}

std::string encode_hard_state(const hard_state& value)
{
    base::byte_writer out;
    out.u64(value.term.value()).u8(value.vote ? 1 : 0);
    put_identity(out, value.vote.value_or(replica_identity{}));
    return out.take();
}

std::optional<hard_state> decode_hard_state(std::string_view bytes)
{
    base::byte_reader in(bytes);
    hard_state value{term_number(in.u64()), std::nullopt};
    const std::uint8_t voted = in.u8();
    replica_identity identity = get_identity(in);
    if (!in.finished() || voted > 1) {
        return std::nullopt;
    }
    if (voted == 1) {
        value.vote = std::move(identity);
    }
    return value;
}

std::string encode_identity(const replica_identity& value)
{
    base::byte_writer out;
    put_identity(out, value);
    return out.take();
}

std::optional<replica_identity> decode_identity(std::string_view bytes)
{
    base::byte_reader in(bytes);
    replica_identity value = get_identity(in);
    const bool valid = in.finished() && value.nonce != unknown_nonce;
    return valid ? std::optional(std::move(value)) : std::nullopt;
}

std::string encode_formation(const std::vector<replica_id>& initial_replicas)
{
    base::byte_writer out;
    out.u32(static_cast<std::uint32_t>(initial_replicas.size()));
    for (const replica_id& each : initial_replicas) {
        out.text(each.value());
    }
    return out.take();
}

std::optional<std::vector<replica_id>> decode_formation(std::string_view bytes)
{
    base::byte_reader in(bytes);
    const std::uint32_t count = in.u32();
    if (count > max_decoded_members) {
        return std::nullopt;
    }
    std::vector<replica_id> initial_replicas;
    for (std::uint32_t i = 0; i < count && in.ok(); ++i) {
        initial_replicas.emplace_back(std::string(in.text()));
    }
    return in.finished() ? std::optional(std::move(initial_replicas)) : std::nullopt;
}

std::string encode_snapshot(const stored_snapshot& value)
{
    base::byte_writer out;
    out.u64(value.first_segment.value());
    out.u64(value.content->last_index.value()).u64(value.content->last_term.value());
    put_configuration(out, value.content->members);
    out.raw(value.content->state);
    return out.take();
}

std::optional<stored_snapshot> decode_snapshot(std::string_view bytes)
{
    base::byte_reader in(bytes);
    const segment_number first_segment(in.u64());
    const log_index last_index(in.u64());
    const term_number last_term(in.u64());
    auto members = get_configuration(in);
    if (!members) {
        return std::nullopt;
    }
    auto content = std::make_shared<const snapshot>(
        snapshot{last_index, last_term, std::move(*members), std::string(in.rest())});
    return stored_snapshot{std::move(content), first_segment};
}

} // namespace damaskladder::consensus
