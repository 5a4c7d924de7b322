#include "settings/ini_reader.hpp"

#include "settings/value_limits.hpp"

#include <ini.h>

#include <cstring>
#include <set>
#include <utility>

namespace damaskladder::settings {

namespace {

// inih truncates longer field names silently.
constexpr std::size_t max_field_name_size = 49;

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r')) {
        text.remove_suffix(1);
    }
    return text;
}

bool is_field_name(std::string_view name)
{
    for (char c : name) {
        if (!((c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_')) {
            return false;
        }
    }
    return !name.empty();
}

std::string normalize_commas(std::string_view value)
{
    std::string normalized;
    for (char c : value) {
        bool after_comma = normalized.ends_with(", ");
        if (c == ',') {
            while (normalized.ends_with(' ') && !after_comma) {
                normalized.pop_back();
            }
            normalized += ", ";
        }
        else if (!(c == ' ' && after_comma)) {
            normalized += c;
        }
    }
    return std::string(trim(normalized));
}

/// Passes lines to inih one at a time, and checks for errors that inih would silently truncate or
/// accept.
class ini_parser {
public:
    ini_parser(std::string_view text, const std::string& file) : m_remaining(text), m_file(file) {}

    ini_document run()
    {
        if (m_remaining.size() > max_ini_size) {
            add(problem_kind::too_long, {}, "at most 4 MiB of text");
            return std::move(m_document);
        }
        if (m_remaining.starts_with("\xEF\xBB\xBF")) {
            m_remaining.remove_prefix(3);
        }
        int parse_result =
            ini_parse_stream(&ini_parser::next_line, this, &ini_parser::on_field, this);
        end_section();
        if (parse_result != 0 && m_document.problems.empty()) {
            m_line = line_number(parse_result > 0 ? static_cast<std::uint32_t>(parse_result) : 0);
            add(problem_kind::syntax, {}, "a section, a field or a comment");
        }
        return std::move(m_document);
    }

private:
    enum class line_action { pass, skip };
    /// State of the field that an indented line would continue. Lines that continue a refused field
    /// are skipped, because the problem of the field is already reported.
    enum class continued_field { none, accepted, refused };

    static char* next_line(char* buffer, int size, void* parser)
    {
        return static_cast<ini_parser*>(parser)->read_line(buffer, static_cast<std::size_t>(size));
    }

    static int on_field(void* parser, const char* section, const char* name, const char* value)
    {
        static_cast<ini_parser*>(parser)->handle_field(section, name, value);
        return 1;
    }

    char* read_line(char* buffer, std::size_t size)
    {
        if (m_remaining.empty()) {
            return nullptr;
        }
        auto length = m_remaining.find('\n');
        auto line = m_remaining.substr(0, length);
        m_remaining.remove_prefix(length == std::string_view::npos ? m_remaining.size()
                                                                   : length + 1);
        m_line = line_number(m_line.value() + 1);
        // The line end and the terminating null byte take one byte each.
        bool is_valid = check_line(line, size - 2) == line_action::pass;
        auto copy_size = is_valid ? line.size() : 0;
        std::memcpy(buffer, line.data(), copy_size);
        buffer[copy_size] = '\n';
        buffer[copy_size + 1] = '\0';
        return buffer;
    }

    line_action check_line(std::string_view line, std::size_t max_size)
    {
        auto text = trim(line);
        if (text.empty() || text.front() == ';' || text.front() == '#') {
            return line_action::skip;
        }
        bool indented = line.front() == ' ' || line.front() == '\t';
        m_is_continuation = indented;
        if (!indented && text.front() == '[') {
            return check_section(text, line.size(), max_size);
        }
        if (m_skip_section) {
            return line_action::skip;
        }
        ++m_lines_in_section;
        bool is_valid = check_field_line(line, text, max_size);
        if (is_valid) {
            m_continued_field = continued_field::accepted;
        }
        else if (!m_is_continuation) {
            m_continued_field = continued_field::refused;
        }
        return is_valid ? line_action::pass : line_action::skip;
    }

    line_action check_section(std::string_view text, std::size_t length, std::size_t max_size)
    {
        end_section();
        m_skip_section = true;
        m_continued_field = continued_field::none;
        m_lines_in_section = 0;
        auto bracket = text.find(']');
        if (bracket == std::string_view::npos) {
            add(problem_kind::syntax, {}, "']' after the section name");
            return line_action::skip;
        }
        auto trailing = trim(text.substr(bracket + 1));
        if (!trailing.empty() && trailing.front() != ';' && trailing.front() != '#') {
            add(problem_kind::syntax, {}, "nothing after ']'");
            return line_action::skip;
        }
        auto name = text.substr(1, bracket - 1);
        if (name.size() > setting_path::max_length || length > max_size) {
            add(problem_kind::too_long, {}, "a section name of at most 49 characters");
            return line_action::skip;
        }
        auto path = setting_path::parse(name);
        if (!path) {
            add(problem_kind::syntax, {},
                "a path of 1 to 4 names of letters, digits, '.', '_' or '-', joined by '/'");
            return line_action::skip;
        }
        if (!m_sections.insert(*path).second) {
            add(problem_kind::duplicate_section, {}, "each section once", *path);
            return line_action::skip;
        }
        m_path = *path;
        m_document.lines.add_section(m_path, m_line);
        m_skip_section = false;
        return line_action::pass;
    }

    bool check_field_line(std::string_view line, std::string_view text, std::size_t max_size)
    {
        if (m_path.text().empty()) {
            add(problem_kind::syntax, {}, "a section before the first field");
            return false;
        }
        if (line.size() > max_size) {
            add(problem_kind::too_long, {}, "a line of at most 198 bytes; lists may continue");
            return false;
        }
        for (char c : text) {
            if ((c < ' ' && c != '\t') || c > '~') {
                add(problem_kind::syntax, {}, "printable ASCII characters");
                return false;
            }
        }
        if (m_is_continuation) {
            return check_continuation();
        }
        auto separator = text.find_first_of("=:");
        if (separator == std::string_view::npos) {
            add(problem_kind::syntax, {}, "FIELD = VALUE");
            return false;
        }
        return check_field_name(trim(text.substr(0, separator)));
    }

    bool check_continuation()
    {
        if (m_continued_field == continued_field::none) {
            add(problem_kind::syntax, {}, "a field before an indented line that continues it");
        }
        return m_continued_field == continued_field::accepted;
    }

    bool check_field_name(std::string_view name)
    {
        if (name.size() > max_field_name_size) {
            add(problem_kind::too_long, {}, "a field name of at most 49 characters");
            return false;
        }
        if (!is_field_name(name)) {
            add(problem_kind::syntax, {}, "a field name of lower-case letters, digits and '_'");
            return false;
        }
        return true;
    }

    void handle_field(const char* /*section*/, const char* name, const char* value)
    {
        field_name field{std::string(name)};
        const auto* existing = m_document.tree.find(m_path, field);
        std::string full_value;
        if (m_is_continuation && existing != nullptr) {
            full_value = existing->value() + " ";
        }
        else if (existing != nullptr) {
            m_continued_field = continued_field::refused;
            add(problem_kind::duplicate_field, field, "each field once in a section");
            return;
        }
        else {
            m_document.lines.add_field(m_path, field, m_line);
        }
        full_value += value;
        full_value = normalize_commas(full_value);
        if (full_value.size() > max_value_length) {
            m_continued_field = continued_field::refused;
            add(problem_kind::too_long, field, "a value of at most 1000 characters");
            return;
        }
        m_document.tree.set(m_path, field, field_value(std::move(full_value)));
    }

    void end_section()
    {
        bool has_section = !m_path.text().empty() && !m_skip_section;
        if (has_section && m_lines_in_section == 0 && m_document.problems.size() < max_problems) {
            m_document.problems.push_back({problem_kind::syntax,
                                           m_file,
                                           m_document.lines.find(m_path, {}),
                                           m_path,
                                           {},
                                           "at least one field in each section"});
        }
    }

    void add(problem_kind kind, const field_name& field, std::string expected)
    {
        add(kind, field, std::move(expected), m_path);
    }

    void add(problem_kind kind, const field_name& field, std::string expected,
             const setting_path& path)
    {
        if (m_document.problems.size() < max_problems) {
            m_document.problems.push_back({kind, m_file, m_line, path, field, std::move(expected)});
        }
    }

    std::string_view m_remaining;
    std::string m_file;
    ini_document m_document;
    std::set<setting_path> m_sections;
    setting_path m_path;
    line_number m_line;
    std::size_t m_lines_in_section = 0;
    bool m_skip_section = false;
    bool m_is_continuation = false;
    continued_field m_continued_field = continued_field::none;
};

} // namespace

ini_document read_ini(std::string_view text, const std::string& file)
{
    return ini_parser(text, file).run();
}

} // namespace damaskladder::settings
