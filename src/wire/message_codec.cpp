#include "wire/message_codec.hpp"

#include "consensus/envelope.hpp"
#include "control/cbor_reader.hpp"
#include "lease/lease_message.hpp"
#include "membership/message.hpp"
#include "propagation/message.hpp"
#include "quota/quota_message.hpp"
#include "settings/setting_diff.hpp"
#include "wire/claim_command.hpp"
#include "wire/claim_response.hpp"
#include "wire/envelope.hpp"
#include "wire/holder_notice.hpp"
#include "wire/replica_request.hpp"
#include "wire/value_codec.hpp"

namespace damaskladder::wire {

namespace value_codec {

template <>
struct converter<settings::setting_path> {
    static json write(const settings::setting_path& path) { return path.text(); }
    static settings::setting_path read(const json& from)
    {
        return settings::setting_path::parse(from.get<std::string>()).value();
    }
};

} // namespace value_codec

template <class Message>
std::string encode(const Message& message)
{
    const auto bytes = nlohmann::json::to_cbor(value_codec::write(message));
    return {bytes.begin(), bytes.end()};
}

template <class Message>
base::result<Message> decode(std::string_view bytes)
{
    const auto value =
        control::parse_cbor({reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
    if (!value) {
        return base::fail(base::failure_kind::corrupt, "decode message", {},
                          "expected CBOR of a message");
    }
    try {
        return value_codec::read<Message>(*value);
    }
    catch (const std::exception& error) {
        return base::fail(base::failure_kind::corrupt, "decode message", {}, error.what());
    }
}

template std::string encode(const envelope&);
template base::result<envelope> decode(std::string_view);
template std::string encode(const consensus::envelope&);
template base::result<consensus::envelope> decode(std::string_view);
template std::string encode(const holder_notice&);
template base::result<holder_notice> decode(std::string_view);
template std::string encode(const claim_command&);
template base::result<claim_command> decode(std::string_view);
template std::string encode(const claim_response&);
template base::result<claim_response> decode(std::string_view);
template std::string encode(const replica_request&);
template base::result<replica_request> decode(std::string_view);
template std::string encode(const propagation::message&);
template base::result<propagation::message> decode(std::string_view);
template std::string encode(const settings::setting_diff&);
template base::result<settings::setting_diff> decode(std::string_view);
template std::string encode(const lease::lease_message&);
template base::result<lease::lease_message> decode(std::string_view);
template std::string encode(const quota::quota_message&);
template base::result<quota::quota_message> decode(std::string_view);
template std::string encode(const membership::message&);
template base::result<membership::message> decode(std::string_view);

} // namespace damaskladder::wire
