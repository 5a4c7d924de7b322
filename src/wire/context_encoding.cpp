#include "wire/context_encoding.hpp"

#include "base/byte_reader.hpp"
#include "base/byte_writer.hpp"
#include "wire/enum_limit.hpp"

#include <bit>
#include <type_traits>

namespace damaskladder::wire {

namespace {

/// Must be incremented when the fields or their order change.
constexpr std::uint8_t encoding_version = 4;
/// Initial capacity in bytes, enough for a typical context without reallocation.
constexpr std::size_t typical_size = 256;

constexpr std::uint8_t idempotent_flag = 1;
constexpr std::uint8_t claimed_flag = 2;
constexpr std::uint8_t streaming_flag = 4;
constexpr std::uint8_t all_flags = idempotent_flag | claimed_flag | streaming_flag;

template <class Id>
Id read_id(base::byte_reader& in)
{
    if constexpr (std::is_same_v<typename Id::rep, std::string>) {
        return Id(std::string(in.text()));
    }
    else {
        return Id(static_cast<typename Id::rep>(in.u64()));
    }
}

template <class Enum>
Enum read_enum(base::byte_reader& in, bool& valid)
{
    const auto value = in.u8();
    valid = valid && value <= static_cast<std::uint8_t>(enum_limit<Enum>::last);
    return static_cast<Enum>(value);
}

std::uint64_t to_unsigned(std::int64_t value)
{
    return std::bit_cast<std::uint64_t>(value);
}

std::int64_t to_signed(std::uint64_t bits)
{
    return std::bit_cast<std::int64_t>(bits);
}

} // namespace

std::string encode_context(const sealed_context& context)
{
    const auto& call = context.call;
    base::byte_writer out;
    out.reserve(typical_size)
        .u8(encoding_version)
        .u8(static_cast<std::uint8_t>(context.purpose))
        .u8(static_cast<std::uint8_t>(call.importance))
        .u8(static_cast<std::uint8_t>((call.idempotent ? idempotent_flag : 0) |
                                      (call.claimed ? claimed_flag : 0) |
                                      (call.streaming ? streaming_flag : 0)))
        .text(call.workspace.value())
        .text(call.key.value())
        .u64(call.settings.value())
        .text(call.request.value())
        .u64(call.chain.value())
        .u64(call.call.value())
        .u64(to_unsigned(call.depth.value()))
        .u64(to_unsigned(call.budget.count()))
        .u64(to_unsigned(call.allowance.value()))
        .text(call.origin.value())
        .text(call.route.value())
        .text(call.issuer.value())
        .text(context.content.value())
        .text(context.receiver.value())
        .u64(context.issuer_incarnation.value())
        .u64(to_unsigned(context.expires_at.time_since_epoch().count()));
    return out.take();
}

base::result<sealed_context> decode_context(std::string_view bytes)
{
    base::byte_reader in(bytes);
    sealed_context context;
    auto& call = context.call;
    bool valid = in.u8() == encoding_version;
    context.purpose = read_enum<context_purpose>(in, valid);
    call.importance = read_enum<base::importance>(in, valid);
    const auto flags = in.u8();
    valid = valid && flags <= all_flags;
    call.idempotent = (flags & idempotent_flag) != 0;
    call.claimed = (flags & claimed_flag) != 0;
    call.streaming = (flags & streaming_flag) != 0;
    call.workspace = read_id<base::workspace_id>(in);
    call.key = read_id<base::key_id>(in);
    call.settings = read_id<base::settings_version>(in);
    call.request = read_id<base::request_id>(in);
    call.chain = read_id<base::chain_id>(in);
    call.call = read_id<base::call_id>(in);
    call.depth = read_id<base::call_depth>(in);
    call.budget = base::duration(to_signed(in.u64()));
    call.allowance = read_id<base::retry_count>(in);
    call.origin = read_id<base::service_id>(in);
    call.route = read_id<base::route_id>(in);
    call.issuer = read_id<base::node_id>(in);
    context.content = read_id<base::content_hash>(in);
    context.receiver = read_id<base::node_id>(in);
    context.issuer_incarnation = read_id<base::incarnation>(in);
    context.expires_at = base::time_point(base::duration(to_signed(in.u64())));
    if (!valid || !in.finished()) {
        return base::fail(base::failure_kind::corrupt, "decode request context", {},
                          "not a context of this program version");
    }
    return context;
}

} // namespace damaskladder::wire
