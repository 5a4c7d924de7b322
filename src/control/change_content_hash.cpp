#include "control/change_content_hash.hpp"

#include "control/command_codec.hpp"

#include <variant>

namespace damaskladder::control {

content_hash content_hash_of(const command& entry)
{
    auto without_time = entry;
    std::visit(
        [](auto& value) {
            if constexpr (requires { value.header; }) {
                value.header.when = base::wall_time();
            }
            // Filled in by the replica that receives the command, and a resend may reach another
            // one.
            if constexpr (requires { value.known_domains; }) {
                value.known_domains.clear();
            }
        },
        without_time);
    return content_hash(digest_of(encode(without_time)));
}

} // namespace damaskladder::control
