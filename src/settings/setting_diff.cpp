#include "settings/setting_diff.hpp"

#include "settings/printable_value.hpp"

#include <utility>

namespace damaskladder::settings {

namespace {

void add_entry_changes(const setting_path& path, const setting_entry& before,
                       const setting_entry& after, setting_diff& diff)
{
    auto old_field = before.begin();
    auto new_field = after.begin();
    while (old_field != before.end() || new_field != after.end()) {
        if (new_field == after.end() ||
            (old_field != before.end() && old_field->first < new_field->first)) {
            diff.changes.push_back(
                {change_kind::removed, path, old_field->first, old_field->second, {}});
            ++old_field;
        }
        else if (old_field == before.end() || new_field->first < old_field->first) {
            diff.changes.push_back(
                {change_kind::added, path, new_field->first, {}, new_field->second});
            ++new_field;
        }
        else {
            if (old_field->second != new_field->second) {
                diff.changes.push_back({change_kind::changed, path, old_field->first,
                                        old_field->second, new_field->second});
            }
            ++old_field;
            ++new_field;
        }
    }
}

setting_change inverse_of(const setting_change& change)
{
    auto inverted = change;
    std::swap(inverted.from, inverted.to);
    if (change.kind == change_kind::added) {
        inverted.kind = change_kind::removed;
    }
    else if (change.kind == change_kind::removed) {
        inverted.kind = change_kind::added;
    }
    return inverted;
}

bool change_fits(const setting_change& change, const setting_tree& tree)
{
    const auto* current = tree.find(change.path, change.field);
    if (change.kind == change_kind::added) {
        return current == nullptr;
    }
    return current != nullptr && *current == change.from;
}

bool is_before(const setting_change& first, const setting_change& second)
{
    return first.path < second.path || (first.path == second.path && first.field < second.field);
}

void apply_change(const setting_change& change, setting_tree& tree)
{
    if (change.kind == change_kind::removed) {
        tree.erase(change.path, change.field);
    }
    else {
        tree.set(change.path, change.field, change.to);
    }
}

} // namespace

setting_diff difference(const setting_tree& before, const setting_tree& after)
{
    static const setting_entry empty_entry;
    setting_diff diff;
    auto old_entry = before.begin();
    auto new_entry = after.begin();
    while (old_entry != before.end() || new_entry != after.end()) {
        if (new_entry == after.end() ||
            (old_entry != before.end() && old_entry->first < new_entry->first)) {
            add_entry_changes(old_entry->first, old_entry->second, empty_entry, diff);
            ++old_entry;
        }
        else if (old_entry == before.end() || new_entry->first < old_entry->first) {
            add_entry_changes(new_entry->first, empty_entry, new_entry->second, diff);
            ++new_entry;
        }
        else {
            add_entry_changes(old_entry->first, old_entry->second, new_entry->second, diff);
            ++old_entry;
            ++new_entry;
        }
    }
    return diff;
}

setting_diff inverse(const setting_diff& diff)
{
    setting_diff inverted;
    inverted.changes.reserve(diff.changes.size());
    for (const auto& change : diff.changes) {
        inverted.changes.push_back(inverse_of(change));
    }
    return inverted;
}

bool fits(const setting_diff& diff, const setting_tree& tree)
{
    const setting_change* previous = nullptr;
    for (const auto& change : diff.changes) {
        if (previous != nullptr && !is_before(*previous, change)) {
            return false;
        }
        if (!change_fits(change, tree)) {
            return false;
        }
        previous = &change;
    }
    return true;
}

bool apply(const setting_diff& diff, setting_tree& tree)
{
    if (!fits(diff, tree)) {
        return false;
    }
    for (const auto& change : diff.changes) {
        apply_change(change, tree);
    }
    return true;
}

std::string to_string(const setting_diff& diff)
{
    std::string text;
    for (const auto& change : diff.changes) {
        text += change.kind == change_kind::added     ? "+ "
                : change.kind == change_kind::removed ? "- "
                                                      : "~ ";
        text += change.path.text();
        text += " ";
        text += change.field.value();
        text += " = ";
        text += printable_value(change.path, change.field, change.from);
        text += change.kind == change_kind::changed ? " -> " : "";
        text += printable_value(change.path, change.field, change.to);
        text += "\n";
    }
    return text;
}

} // namespace damaskladder::settings
