#include "wire/context_codec.hpp"

#include <nlohmann/json.hpp>
#include <sodium.h>

namespace damaskladder::wire {

namespace {

using nlohmann::json;

constexpr int base64_variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
constexpr std::size_t field_count = 16;

std::string to_base64(std::string_view data)
{
    std::string text(sodium_base64_encoded_len(data.size(), base64_variant), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(data.data()),
                      data.size(), base64_variant);
    text.pop_back();
    return text;
}

std::optional<std::string> from_base64(std::string_view text)
{
    std::string data(text.size(), '\0');
    std::size_t size = 0;
    const char* end = nullptr;
    const int failed =
        sodium_base642bin(reinterpret_cast<unsigned char*>(data.data()), data.size(), text.data(),
                          text.size(), nullptr, &size, &end, base64_variant);
    if (failed != 0 || end != text.data() + text.size()) {
        return std::nullopt;
    }
    data.resize(size);
    return data;
}

// An array rather than an object: no field names travel with each call.
json encode(const sealed_context& context)
{
    const auto& call = context.call;
    return json::array({static_cast<int>(context.purpose), context.receiver.value(),
                        context.issuer_incarnation.value(),
                        context.expires_at.time_since_epoch().count(), call.workspace.value(),
                        call.key.value(), call.request.value(), call.chain.value(),
                        call.call.value(), call.depth.value(), call.budget.count(),
                        static_cast<int>(call.importance), call.allowance.value(), call.idempotent,
                        call.issuer.value(), 0});
}

sealed_context decode(const json& fields)
{
    sealed_context context;
    auto& call = context.call;
    std::size_t next = 0;
    const auto read = [&]<class T>(T& into) { fields.at(next++).get_to(into); };
    const auto text = [&] { return fields.at(next++).get<std::string>(); };
    const auto number = [&] { return fields.at(next++).get<std::uint64_t>(); };
    const auto level = [&](int lowest, int highest) {
        const int value = fields.at(next++).get<int>();
        if (value < lowest || value > highest) {
            throw std::out_of_range("enumerated field");
        }
        return value;
    };
    context.purpose = static_cast<context_purpose>(level(1, 2));
    context.receiver = base::node_id(text());
    context.issuer_incarnation = base::incarnation(number());
    context.expires_at = base::time_point(base::duration(fields.at(next++).get<std::int64_t>()));
    call.workspace = base::workspace_id(text());
    call.key = base::key_id(text());
    call.request = base::request_id(text());
    call.chain = base::chain_id(number());
    call.call = base::call_id(number());
    call.depth = base::call_depth(fields.at(next++).get<std::int32_t>());
    call.budget = base::duration(fields.at(next++).get<std::int64_t>());
    call.importance = static_cast<base::importance>(level(0, base::importance_levels - 1));
    call.allowance = base::retry_count(fields.at(next++).get<std::int32_t>());
    read(call.idempotent);
    call.issuer = base::node_id(text());
    context.content = base::content_hash(text());
    return context;
}

} // namespace

std::string context_codec::seal(const sealed_context& context) const
{
    const auto fields = json::to_cbor(encode(context));
    return to_base64(
        m_box.seal(std::string_view(reinterpret_cast<const char*>(fields.data()), fields.size())));
}

base::result<sealed_context> context_codec::open(std::string_view text) const
{
    const auto not_sealed = [] {
        return base::fail(base::failure_kind::permission_denied, "open request context", {},
                          "not sealed by a node of this cluster");
    };
    if (text.size() > max_size) {
        return not_sealed();
    }
    const auto sealed = from_base64(text);
    const auto plain = sealed ? m_box.open(*sealed) : std::nullopt;
    if (!plain) {
        return not_sealed();
    }
    try {
        const auto fields = json::from_cbor(*plain);
        if (fields.is_array() && fields.size() == field_count) {
            return decode(fields);
        }
    }
    catch (const std::exception&) {
        // Reported below: which field failed does not help an operator.
    }
    return base::fail(base::failure_kind::corrupt, "open request context", {},
                      "sealed by another version of the program");
}

} // namespace damaskladder::wire
