#include "settings/evacuation_entries.hpp"

#include "settings/value_parsers.hpp"

#include <algorithm>
#include <string>

namespace damaskladder::settings {

namespace {

template <class Accept>
std::set<base::failure_domain_id> names_below(const setting_tree& tree, const char* root,
                                              Accept accept)
{
    const auto path = setting_path::parse(root).value_or(setting_path());
    std::set<base::failure_domain_id> names;
    for (auto entry = tree.lower_bound(path); entry != tree.end() && entry->first.is_within(path);
         ++entry) {
        if (entry->first.depth() == 3 && accept(entry->second)) {
            names.emplace(std::string(entry->first.part(2)));
        }
    }
    return names;
}

bool is_active(const setting_entry& entry)
{
    const auto* value = entry.find(field_name("active"));
    return value != nullptr && parse_yes_no(value->value()).value_or(false);
}

} // namespace

std::optional<setting_path> evacuation_path(const base::failure_domain_id& domain)
{
    const auto path = setting_path::parse("fleet/evacuations/" + domain.value());
    return path && path->depth() == 3 ? path : std::nullopt;
}

std::set<base::failure_domain_id> defined_domains(const setting_tree& tree)
{
    return names_below(tree, "fleet/domains", [](const setting_entry& /*any*/) { return true; });
}

std::set<base::failure_domain_id> evacuated_domains(const setting_tree& tree)
{
    return names_below(tree, "fleet/evacuations", is_active);
}

void check_evacuations(const setting_tree& tree, settings_problems& problems)
{
    const auto defined = defined_domains(tree);
    if (defined.empty()) {
        return;
    }
    const auto evacuated = evacuated_domains(tree);
    const field_name active("active");
    for (const auto& domain : evacuated) {
        if (!defined.contains(domain)) {
            problems.push_back({problem_kind::missing_reference,
                                {},
                                {},
                                evacuation_path(domain).value_or(setting_path()),
                                active,
                                "a failure domain of fleet/domains"});
        }
    }
    if (std::includes(evacuated.begin(), evacuated.end(), defined.begin(), defined.end())) {
        problems.push_back({problem_kind::contradiction,
                            {},
                            {},
                            evacuation_path(*defined.begin()).value_or(setting_path()),
                            active,
                            "at least one failure domain that is not evacuated"});
    }
}

} // namespace damaskladder::settings
