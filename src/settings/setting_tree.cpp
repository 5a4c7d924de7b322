#include "settings/setting_tree.hpp"

#include <utility>

namespace damaskladder::settings {

const setting_entry* setting_tree::find(const setting_path& path) const
{
    auto found = m_entries.find(path);
    return found == m_entries.end() ? nullptr : &found->second;
}

const field_value* setting_tree::find(const setting_path& path, const field_name& field) const
{
    const auto* entry = find(path);
    return entry == nullptr ? nullptr : entry->find(field);
}

void setting_tree::set(const setting_path& path, const field_name& field, field_value value)
{
    m_entries[path].set(field, std::move(value));
}

void setting_tree::erase(const setting_path& path, const field_name& field)
{
    auto found = m_entries.find(path);
    if (found == m_entries.end()) {
        return;
    }
    found->second.erase(field);
    if (found->second.empty()) {
        m_entries.erase(found);
    }
}

setting_tree setting_tree::subtree(const setting_path& root) const
{
    setting_tree result;
    result.m_version = m_version;
    // Paths within root are not contiguous: "a.b" sorts between "a" and "a/c". All start with root.
    for (auto it = m_entries.lower_bound(root); it != m_entries.end(); ++it) {
        if (!it->first.text().starts_with(root.text())) {
            break;
        }
        if (it->first.is_within(root)) {
            result.m_entries.insert(result.m_entries.end(), *it);
        }
    }
    return result;
}

} // namespace damaskladder::settings
