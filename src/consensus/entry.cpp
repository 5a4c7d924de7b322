#include "consensus/entry.hpp"

#include <cstdint>
#include <variant>

namespace damaskladder::consensus {

namespace {

constexpr std::int64_t entry_overhead_bytes = 32;
constexpr std::int64_t member_overhead_bytes = 16;

std::int64_t payload_bytes(const entry_payload& payload)
{
    if (const auto* bytes = std::get_if<command>(&payload)) {
        return static_cast<std::int64_t>(bytes->bytes.size());
    }
    std::int64_t total = 0;
    if (const auto* config = std::get_if<configuration>(&payload)) {
        for (const member& each : config->members) {
            total +=
                member_overhead_bytes + static_cast<std::int64_t>(each.identity.id.value().size());
        }
    }
    return total;
}

} // namespace

base::byte_count size_of(const entry& entry)
{
    return base::byte_count(entry_overhead_bytes + payload_bytes(entry.payload));
}

} // namespace damaskladder::consensus
