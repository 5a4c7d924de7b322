#include "control/change_content.hpp"

#include "control/command_codec.hpp"

#include <variant>

namespace damaskladder::control {

content_hash content_of(const command& entry)
{
    auto timeless = entry;
    std::visit(
        [](auto& value) {
            if constexpr (requires { value.header; }) {
                value.header.when = base::wall_time();
            }
        },
        timeless);
    return content_hash(digest_of(encode(timeless)));
}

} // namespace damaskladder::control
