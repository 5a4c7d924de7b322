#include "control/log_record.hpp"

#include "control/command_codec.hpp"

#include <cstring>
#include <span>

namespace damaskladder::control {

std::string encode(const log_record& record)
{
    const std::int64_t time = record.time.time_since_epoch().count();
    const auto entry = encode(record.entry);
    std::string bytes(sizeof time, '\0');
    // Native byte order: it is the same on all VMs of a cluster. The field has a fixed size.
    std::memcpy(bytes.data(), &time, sizeof time);
    bytes.append(reinterpret_cast<const char*>(entry.data()), entry.size());
    return bytes;
}

base::result<log_record> decode_log_record(std::string_view bytes)
{
    std::int64_t time = 0;
    if (bytes.size() < sizeof time) {
        return base::fail(base::failure_kind::corrupt, "read log record", {},
                          "shorter than the time field");
    }
    std::memcpy(&time, bytes.data(), sizeof time);
    const auto rest = bytes.substr(sizeof time);
    BOOST_LEAF_AUTO(entry, decode_command(std::span(
                               reinterpret_cast<const std::uint8_t*>(rest.data()), rest.size())));
    return log_record{base::wall_time(base::wall_clock::duration(time)), std::move(entry)};
}

} // namespace damaskladder::control
