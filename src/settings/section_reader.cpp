#include "settings/section_reader.hpp"

#include "settings/ini_reader.hpp"

#include <algorithm>

namespace damaskladder::settings {

namespace {

setting_path path_of(const std::string& section)
{
    return setting_path::parse(section).value();
}

} // namespace

section_reader::section_reader(std::string_view text, const std::string& file)
    : m_file(file), m_document(read_ini(text, file))
{
}

bool section_reader::has(const std::string& section) const
{
    return m_document.tree.find(path_of(section)) != nullptr;
}

void section_reader::add(problem_kind kind, const std::string& section, const std::string& field,
                         std::string expected)
{
    m_problems.push_back({kind, {}, {}, path_of(section), field_name(field), std::move(expected)});
}

void section_reader::read(const std::string& section, const std::vector<field_spec>& fields)
{
    m_sections_read.insert(section);
    const auto* entry = m_document.tree.find(path_of(section));
    for (const auto& field : fields) {
        const auto* value = entry == nullptr ? nullptr : entry->find(field_name(field.name));
        if (value == nullptr) {
            if (field.required) {
                add(problem_kind::missing_field, section, field.name, field.expected);
            }
        }
        else if (!field.read(value->value())) {
            add(problem_kind::wrong_format, section, field.name, field.expected);
        }
    }
    if (entry != nullptr) {
        check_unknown_fields(section, *entry, fields);
    }
}

void section_reader::check_unknown_fields(const std::string& section, const setting_entry& entry,
                                          const std::vector<field_spec>& fields)
{
    std::string known_fields;
    for (const auto& field : fields) {
        known_fields += (known_fields.empty() ? "one of " : ", ") + field.name;
    }
    for (const auto& entry_field : entry) {
        const auto& name = entry_field.first.value();
        const auto matches = [&](const field_spec& field) { return field.name == name; };
        if (std::none_of(fields.begin(), fields.end(), matches)) {
            add(problem_kind::unknown_field, section, name, known_fields);
        }
    }
}

void section_reader::check_unknown_sections(const std::string& expected)
{
    for (const auto& [path, entry] : m_document.tree) {
        if (!m_sections_read.contains(path.text())) {
            add(problem_kind::unknown_path, path.text(), {}, expected);
        }
    }
}

settings_problems section_reader::problems() const
{
    auto located = m_problems;
    m_document.lines.locate(m_file, located);
    auto result = m_document.problems;
    result.insert(result.end(), located.begin(), located.end());
    return result;
}

std::vector<std::string> split_list(const std::string& value)
{
    std::vector<std::string> items;
    std::size_t start = 0;
    while (start <= value.size()) {
        const auto end = std::min(value.find(", ", start), value.size());
        items.push_back(value.substr(start, end - start));
        start = end + 2;
    }
    return items;
}

} // namespace damaskladder::settings
