#include "settings/reference_index.hpp"

#include "settings/entry_kind.hpp"

#include <string>

namespace damaskladder::settings {

namespace {

using path_index = std::map<setting_reference, std::set<setting_path>>;

const std::set<setting_path>& find_paths(const path_index& index,
                                         const setting_reference& reference)
{
    static const std::set<setting_path> none;
    auto found = index.find(reference);
    return found == index.end() ? none : found->second;
}

void remove_path(path_index& index, const setting_reference& reference, const setting_path& path)
{
    auto found = index.find(reference);
    if (found == index.end()) {
        return;
    }
    found->second.erase(path);
    if (found->second.empty()) {
        index.erase(found);
    }
}

field_name defining_field(reference_kind kind)
{
    switch (kind) {
    case reference_kind::key_hash:
        return field_name("hash");
    case reference_kind::prefix:
        return field_name("prefix");
    case reference_kind::lease_voter:
        return field_name("lease_voters");
    case reference_kind::workspace:
    case reference_kind::key:
    case reference_kind::service:
        break;
    }
    return {};
}

std::string expected_unique(const setting_reference& reference, const setting_path& other)
{
    switch (reference.kind) {
    case reference_kind::workspace:
        return "a workspace name that is not used at " + other.text();
    case reference_kind::key:
        return "a key name that is not used at " + other.text();
    case reference_kind::key_hash:
        return "a hash other than that of " + other.text();
    case reference_kind::prefix:
        return "a prefix, or a host, other than that of " + other.text();
    case reference_kind::lease_voter:
        return "node " + reference.name + " as lease voter of one failure domain, not also of " +
               other.text();
    case reference_kind::service:
        return "a service name that is not used at " + other.text();
    }
    return {};
}

} // namespace

void reference_index::add(const setting_path& path, const entry_references& references)
{
    for (const auto& reference : references.defined) {
        m_defined[reference].insert(path);
    }
    for (const auto& reference : references.used) {
        m_used[reference].insert(path);
    }
}

void reference_index::remove(const setting_path& path, const entry_references& references)
{
    for (const auto& reference : references.defined) {
        remove_path(m_defined, reference, path);
    }
    for (const auto& reference : references.used) {
        remove_path(m_used, reference, path);
    }
}

void reference_index::check(const setting_reference& reference, settings_problems& problems) const
{
    const auto& definitions = find_paths(m_defined, reference);
    check_unique(reference, definitions, problems);
    for (const auto& user : find_paths(m_used, reference)) {
        check_use(user, reference, definitions, problems);
    }
}

const setting_path* reference_index::find_definition(const setting_reference& reference) const
{
    const auto& definitions = find_paths(m_defined, reference);
    return definitions.empty() ? nullptr : &*definitions.begin();
}

void reference_index::check_unique(const setting_reference& reference,
                                   const std::set<setting_path>& definitions,
                                   settings_problems& problems) const
{
    if (definitions.size() < 2) {
        return;
    }
    auto second = std::next(definitions.begin());
    problems.push_back({problem_kind::not_unique,
                        {},
                        {},
                        *second,
                        defining_field(reference.kind),
                        expected_unique(reference, *definitions.begin())});
}

void reference_index::check_use(const setting_path& user, const setting_reference& reference,
                                const std::set<setting_path>& definitions,
                                settings_problems& problems) const
{
    bool is_key = kind_of(user) == entry_kind::key;
    field_name field(is_key ? "workspace" : "workspaces");
    if (definitions.empty()) {
        problems.push_back({problem_kind::missing_reference,
                            {},
                            {},
                            user,
                            field,
                            "an existing workspace, not " + reference.name});
    }
    else if (is_key && definitions.begin()->versioned_root() != user.versioned_root()) {
        problems.push_back({problem_kind::missing_reference,
                            {},
                            {},
                            user,
                            field,
                            "a workspace of the key's own team, not " + reference.name});
    }
}

} // namespace damaskladder::settings
