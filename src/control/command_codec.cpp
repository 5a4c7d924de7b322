#include "control/command_codec.hpp"

#include "control/cbor_reader.hpp"
#include "control/json_reader.hpp"
#include "control/json_writer.hpp"

namespace damaskladder::control {

namespace {

template <class T>
base::result<T> decode(std::span<const std::uint8_t> bytes, const char* step)
{
    if (bytes.size() > max_command_size) {
        return base::fail(base::failure_kind::too_large, step, {}, "more than 4 MiB");
    }
    auto source = parse_cbor(bytes);
    T value;
    if (!source || !json_reader::read(*source, value)) {
        return base::fail(base::failure_kind::corrupt, step, {},
                          "the bytes are not a valid encoding");
    }
    return value;
}

} // namespace

std::vector<std::uint8_t> encode(const command& entry)
{
    return nlohmann::json::to_cbor(json_writer::write(entry));
}

std::vector<std::uint8_t> encode(const reply& answer)
{
    return nlohmann::json::to_cbor(json_writer::write(answer));
}

base::result<command> decode_command(std::span<const std::uint8_t> bytes)
{
    return decode<command>(bytes, "decode command");
}

base::result<reply> decode_reply(std::span<const std::uint8_t> bytes)
{
    return decode<reply>(bytes, "decode reply");
}

} // namespace damaskladder::control
