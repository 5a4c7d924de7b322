#include "control/credential_table.hpp"

#include <sodium.h>

#include <algorithm>

namespace damaskladder::control {

const credential* credential_table::find(const base::operator_id& name) const
{
    auto found = m_credentials.find(name);
    return found == m_credentials.end() ? nullptr : &found->second;
}

const credential* credential_table::find(const token_hash& token) const
{
    const auto& wanted = token.value().bytes;
    for (const auto& [name, entry] : m_credentials) {
        const auto& present = entry.token.value().bytes;
        if (sodium_memcmp(present.data(), wanted.data(), wanted.size()) == 0) {
            return &entry;
        }
    }
    return nullptr;
}

bool credential_table::is_reviewed(const settings::setting_path& path) const
{
    return std::any_of(m_credentials.begin(), m_credentials.end(), [&](const auto& named) {
        const auto& entry = named.second;
        return entry.role == credential_role::reviewer && path.is_within(entry.subtree);
    });
}

std::size_t credential_table::count_root_admins() const
{
    auto count = std::count_if(m_credentials.begin(), m_credentials.end(), [](const auto& named) {
        return named.second.role == credential_role::admin && named.second.subtree.depth() == 0;
    });
    return static_cast<std::size_t>(count);
}

} // namespace damaskladder::control
