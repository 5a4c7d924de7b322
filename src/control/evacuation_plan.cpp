#include "control/evacuation_plan.hpp"

#include "settings/evacuation_entries.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace damaskladder::control {

namespace {

using domain_set = std::set<base::failure_domain_id>;

domain_set known_domains(const settings::setting_tree& tree, const set_evacuation& order)
{
    return order.known_domains.empty()
               ? settings::defined_domains(tree)
               : domain_set(order.known_domains.begin(), order.known_domains.end());
}

std::string list_of(const domain_set& domains)
{
    std::string text;
    for (const auto& domain : domains) {
        text += (text.empty() ? "" : ", ") + domain.value();
    }
    return text.empty() ? "none is defined" : text;
}

evacuation_plan refuse(change_verdict verdict, const settings::setting_path& path,
                       std::string expected)
{
    const auto kind = verdict == change_verdict::not_found
                          ? settings::problem_kind::missing_reference
                          : settings::problem_kind::contradiction;
    return {verdict, {}, {{kind, {}, {}, path, {}, std::move(expected)}}};
}

} // namespace

evacuation_plan plan_evacuation(const settings::setting_tree& tree,
                                const settings::setting_path& path, const set_evacuation& order)
{
    const settings::field_name active("active");
    const auto* entry = tree.find(path);
    const auto* present = entry == nullptr ? nullptr : entry->find(active);
    const auto known = known_domains(tree, order);
    // An entry can be ended after the domain has been removed from the fleet.
    if (!known.contains(order.domain) && (order.evacuated || present == nullptr)) {
        return refuse(change_verdict::not_found, path, "a failure domain: " + list_of(known));
    }
    auto evacuated = settings::evacuated_domains(tree);
    if (evacuated.contains(order.domain) == order.evacuated) {
        return {};
    }
    evacuation_plan plan;
    plan.verdict = change_verdict::accepted;
    if (!order.evacuated) {
        plan.diff.changes.push_back(
            {settings::change_kind::removed, path, active, *present, settings::field_value()});
        return plan;
    }
    evacuated.insert(order.domain);
    if (std::includes(evacuated.begin(), evacuated.end(), known.begin(), known.end())) {
        return refuse(change_verdict::last_domain, path,
                      "another failure domain that is not evacuated");
    }
    const settings::field_value yes("yes");
    plan.diff.changes.push_back(present == nullptr
                                    ? settings::setting_change{settings::change_kind::added, path,
                                                               active, settings::field_value(), yes}
                                    : settings::setting_change{settings::change_kind::changed, path,
                                                               active, *present, yes});
    return plan;
}

} // namespace damaskladder::control
