#include "control/command_bounds.hpp"

#include "settings/value_parsers.hpp"

#include <algorithm>

namespace damaskladder::control {

bool is_operator_name(const base::operator_id& name)
{
    return name.value().size() <= max_operator_name_length && settings::is_name(name.value());
}

bool is_well_formed(const command_header& header)
{
    const auto& change = header.change.value();
    bool printable =
        std::all_of(change.begin(), change.end(), [](char c) { return c > ' ' && c <= '~'; });
    return !change.empty() && change.size() <= max_change_id_length && printable &&
           is_operator_name(header.author);
}

bool is_well_formed(const set_evacuation& order)
{
    const auto is_domain = [](const base::failure_domain_id& domain) {
        return settings::is_name(domain.value());
    };
    const auto& known = order.known_domains;
    return is_domain(order.domain) && known.size() <= max_known_domains &&
           std::all_of(known.begin(), known.end(), is_domain);
}

} // namespace damaskladder::control
