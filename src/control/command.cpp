#include "control/command.hpp"

namespace damaskladder::control {

const command_header* header_of(const command& entry)
{
    return std::visit(
        [](const auto& value) -> const command_header* {
            if constexpr (requires { value.header; }) {
                return &value.header;
            }
            return nullptr;
        },
        entry);
}

} // namespace damaskladder::control
