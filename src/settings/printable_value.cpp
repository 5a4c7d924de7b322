#include "settings/printable_value.hpp"

namespace damaskladder::settings {

std::string printable_value(const setting_path& path, const field_name& field,
                            const field_value& value)
{
    bool is_key_hash = path.part(2) == "keys" && field.value() == "hash";
    if (is_key_hash && !value.value().empty()) {
        return "(hash of " + std::string(path.part(3)) + ")";
    }
    return value.value();
}

} // namespace damaskladder::settings
