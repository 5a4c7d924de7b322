#include "settings/entry_references.hpp"

#include "settings/entry_kind.hpp"
#include "settings/value_parsers.hpp"

#include <string>

namespace damaskladder::settings {

namespace {

void add_value(const setting_entry& entry, const char* field, reference_kind kind,
               std::vector<setting_reference>& references)
{
    if (const auto* value = entry.find(field_name(field))) {
        references.push_back({kind, value->value()});
    }
}

void add_names(const setting_entry& entry, const char* field, reference_kind kind,
               std::vector<setting_reference>& references)
{
    const auto* value = entry.find(field_name(field));
    if (value == nullptr) {
        return;
    }
    for (auto& name : parse_names(value->value()).value_or(std::vector<std::string>())) {
        references.push_back({kind, std::move(name)});
    }
}

} // namespace

entry_references references_of(const setting_path& path, const setting_entry& entry)
{
    entry_references references;
    auto kind = kind_of(path);
    if (kind == entry_kind::workspace) {
        references.defined.push_back({reference_kind::workspace, std::string(path.part(3))});
    }
    else if (kind == entry_kind::key) {
        references.defined.push_back({reference_kind::key, std::string(path.part(3))});
        add_value(entry, "hash", reference_kind::key_hash, references.defined);
        add_value(entry, "workspace", reference_kind::workspace, references.used);
    }
    else if (kind == entry_kind::route) {
        if (const auto* prefix = entry.find(field_name("prefix"))) {
            const auto* host = entry.find(field_name("host"));
            references.defined.push_back(
                {reference_kind::prefix,
                 (host == nullptr ? std::string() : host->value()) + prefix->value()});
        }
        add_names(entry, "workspaces", reference_kind::workspace, references.used);
    }
    else if (kind == entry_kind::service) {
        references.defined.push_back({reference_kind::service, std::string(path.part(3))});
    }
    else if (kind == entry_kind::failure_domain) {
        add_names(entry, "lease_voters", reference_kind::lease_voter, references.defined);
    }
    return references;
}

} // namespace damaskladder::settings
