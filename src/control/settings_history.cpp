#include "control/settings_history.hpp"

#include "control/row_size.hpp"

#include <algorithm>
#include <compare>
#include <optional>
#include <utility>

namespace damaskladder::control {

namespace {

struct field_location {
    settings::setting_path path;
    settings::field_name field;
    friend auto operator<=>(const field_location&, const field_location&) = default;
};

/// Value of a field before the first change and after the last one; empty if it did not exist.
struct net_change {
    std::optional<settings::field_value> before;
    std::optional<settings::field_value> after;
};

using net_changes = std::map<field_location, net_change>;

void merge_change(const settings::setting_change& change, net_changes& net)
{
    auto [at, first] = net.try_emplace(field_location{change.path, change.field});
    if (first && change.kind != settings::change_kind::added) {
        at->second.before = change.from;
    }
    at->second.after.reset();
    if (change.kind != settings::change_kind::removed) {
        at->second.after = change.to;
    }
}

settings::setting_diff diff_of(const net_changes& net)
{
    settings::setting_diff diff;
    for (const auto& [location, value] : net) {
        if (value.before == value.after) {
            continue;
        }
        auto kind = !value.before  ? settings::change_kind::added
                    : !value.after ? settings::change_kind::removed
                                   : settings::change_kind::changed;
        diff.changes.push_back({kind, location.path, location.field,
                                value.before.value_or(settings::field_value()),
                                value.after.value_or(settings::field_value())});
    }
    return diff;
}

} // namespace

void settings_history::append(version_record record)
{
    m_versions[record.versioned_root] = record.version;
    m_size += row_size(record);
    m_records.push_back(std::move(record));
    while (m_limits.exceeded_by(m_records.size(), m_size)) {
        drop_oldest();
    }
}

base::settings_version
settings_history::version_of(const settings::setting_path& versioned_root) const
{
    auto found = m_versions.find(versioned_root);
    return found == m_versions.end() ? base::settings_version() : found->second;
}

const version_record* settings_history::find(base::settings_version version) const
{
    auto found =
        std::lower_bound(m_records.begin(), m_records.end(), version,
                         [](const auto& record, auto wanted) { return record.version < wanted; });
    bool present = found != m_records.end() && found->version == version;
    return present ? &*found : nullptr;
}

version_difference settings_history::net_difference(base::settings_version from,
                                                    base::settings_version to,
                                                    const settings::setting_path& root) const
{
    net_changes net;
    for (const auto& record : m_records) {
        if (record.version <= from || record.version > to) {
            continue;
        }
        for (const auto& change : record.diff.changes) {
            if (change.path.is_within(root)) {
                merge_change(change, net);
            }
        }
    }
    return {diff_of(net), from >= m_last_dropped_version};
}

void settings_history::restore(std::vector<version_record> records,
                               std::map<settings::setting_path, base::settings_version> versions,
                               base::settings_version last_dropped_version)
{
    m_records.clear();
    m_size = {};
    m_last_dropped_version = last_dropped_version;
    for (auto& record : records) {
        append(std::move(record));
    }
    m_versions = std::move(versions);
}

void settings_history::drop_oldest()
{
    m_size -= row_size(m_records.front());
    m_last_dropped_version = m_records.front().version;
    m_records.pop_front();
}

} // namespace damaskladder::control
