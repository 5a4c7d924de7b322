#pragma once

#include "base/operator_id.hpp"
#include "control/credential.hpp"
#include "settings/setting_path.hpp"

#include <cstddef>
#include <map>

namespace damaskladder::control {

class credential_table {
public:
    using container = std::map<base::operator_id, credential>;

    const credential* find(const base::operator_id& name) const;
    /// Finds a credential by its token, comparing in constant time; null if there is none.
    const credential* find(const token_hash& token) const;
    void insert(const credential& added) { m_credentials.insert_or_assign(added.name, added); }
    void erase(const base::operator_id& name) { m_credentials.erase(name); }

    /// Whether a reviewer's subtree contains the path.
    bool is_reviewed(const settings::setting_path& path) const;
    /// Admins whose subtree is the root.
    std::size_t count_root_admins() const;

    bool empty() const { return m_credentials.empty(); }
    std::size_t size() const { return m_credentials.size(); }
    container::const_iterator begin() const { return m_credentials.begin(); }
    container::const_iterator end() const { return m_credentials.end(); }

    friend bool operator==(const credential_table&, const credential_table&) = default;

private:
    container m_credentials;
};

} // namespace damaskladder::control
