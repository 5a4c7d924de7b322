#include "settings/checked_settings.hpp"

#include "settings/entry_kind.hpp"
#include "settings/evacuation_entries.hpp"
#include "settings/schema.hpp"
#include "settings/share_sum.hpp"
#include "settings/value_parsers.hpp"

namespace damaskladder::settings {

namespace {

std::set<setting_path> paths_of(const setting_diff& diff)
{
    std::set<setting_path> paths;
    for (const auto& change : diff.changes) {
        paths.insert(change.path);
    }
    return paths;
}

const setting_path& domains_root()
{
    static const auto root = setting_path::parse("fleet/domains").value_or(setting_path());
    return root;
}

bool is_evacuation_or_domain(const setting_path& path)
{
    const auto kind = kind_of(path);
    return kind == entry_kind::evacuation || kind == entry_kind::failure_domain;
}

void add_references(const entry_references& found, std::set<setting_reference>& references)
{
    references.insert(found.defined.begin(), found.defined.end());
    references.insert(found.used.begin(), found.used.end());
}

} // namespace

settings_problems checked_settings::apply(const setting_diff& diff)
{
    settings_problems problems;
    for (const auto& change : diff.changes) {
        if (!kind_of(change.path)) {
            problems = check_entry(change.path, {});
            return problems;
        }
    }
    if (!fits(diff, m_tree)) {
        problems.push_back({problem_kind::diff_mismatch,
                            {},
                            {},
                            {},
                            {},
                            "a difference from the present settings"});
        return problems;
    }
    auto changed_paths = paths_of(diff);
    std::set<setting_reference> references;
    apply_unchecked(diff, changed_paths, references);
    check_changed_paths(changed_paths, references, problems);
    if (!problems.empty()) {
        apply_unchecked(inverse(diff), changed_paths, references);
    }
    if (problems.size() > max_problems) {
        problems.resize(max_problems);
    }
    return problems;
}

settings_problems checked_settings::check(const setting_diff& diff)
{
    auto problems = apply(diff);
    if (problems.empty()) {
        std::set<setting_reference> references;
        apply_unchecked(inverse(diff), paths_of(diff), references);
    }
    return problems;
}

void checked_settings::apply_unchecked(const setting_diff& diff,
                                       const std::set<setting_path>& changed_paths,
                                       std::set<setting_reference>& references)
{
    for (const auto& path : changed_paths) {
        if (const auto* entry = m_tree.find(path)) {
            auto before = references_of(path, *entry);
            m_index.remove(path, before);
            add_references(before, references);
        }
    }
    settings::apply(diff, m_tree);
    for (const auto& path : changed_paths) {
        if (const auto* entry = m_tree.find(path)) {
            auto after = references_of(path, *entry);
            m_index.add(path, after);
            add_references(after, references);
        }
    }
}

void checked_settings::check_changed_paths(const std::set<setting_path>& changed_paths,
                                           const std::set<setting_reference>& references,
                                           settings_problems& problems) const
{
    bool shares_changed = false;
    bool evacuations_changed = false;
    for (const auto& path : changed_paths) {
        shares_changed = shares_changed || path.is_within(domains_root());
        evacuations_changed = evacuations_changed || is_evacuation_or_domain(path);
        if (const auto* entry = m_tree.find(path)) {
            auto found = check_entry(path, *entry);
            problems.insert(problems.end(), found.begin(), found.end());
        }
    }
    for (const auto& reference : references) {
        m_index.check(reference, problems);
    }
    if (shares_changed) {
        check_shares(problems);
    }
    if (evacuations_changed) {
        check_evacuations(m_tree, problems);
    }
    if (m_tree.size() > setting_tree::max_entries) {
        problems.push_back({problem_kind::too_many,
                            {},
                            {},
                            {},
                            {},
                            "at most " + std::to_string(setting_tree::max_entries) + " entries"});
    }
}

void checked_settings::check_shares(settings_problems& problems) const
{
    std::size_t domains = 0;
    std::vector<domain_share> shares;
    setting_path last_domain;
    for (auto domain = m_tree.lower_bound(domains_root()); domain != m_tree.end(); ++domain) {
        if (!domain->first.is_within(domains_root())) {
            break;
        }
        ++domains;
        last_domain = domain->first;
        const auto* text = domain->second.find(field_name("share"));
        if (auto share = text == nullptr ? std::nullopt : parse_share(text->value())) {
            shares.push_back(*share);
        }
    }
    bool equal_by_default = shares.empty();
    if (!equal_by_default && (shares.size() != domains || !sums_to_one(shares))) {
        problems.push_back({problem_kind::contradiction,
                            {},
                            {},
                            last_domain,
                            field_name("share"),
                            "shares of all failure domains that sum to exactly 1, or none"});
    }
}

} // namespace damaskladder::settings
