#include "settings/ini_reader.hpp"

#include "settings/value_limits.hpp"

#include <ini.h>

#include <cstring>
#include <set>
#include <utility>

namespace damaskladder::settings {

namespace {

// inih cuts longer field names without a word.
constexpr std::size_t max_field_name = 49;

std::string_view trimmed(std::string_view text)
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

std::string with_normal_commas(std::string_view value)
{
    std::string normal;
    for (char c : value) {
        bool after_comma = normal.ends_with(", ");
        if (c == ',') {
            while (normal.ends_with(' ') && !after_comma) {
                normal.pop_back();
            }
            normal += ", ";
        }
        else if (!(c == ' ' && after_comma)) {
            normal += c;
        }
    }
    return std::string(trimmed(normal));
}

/// Hands lines to inih one by one and checks what inih would cut or accept without a word.
class ini_session {
public:
    ini_session(std::string_view text, const std::string& file) : m_rest(text), m_file(file) {}

    ini_document run()
    {
        if (m_rest.size() > max_ini_size) {
            add(problem_kind::too_long, {}, "at most 4 MiB of text");
            return std::move(m_document);
        }
        if (m_rest.starts_with("\xEF\xBB\xBF")) {
            m_rest.remove_prefix(3);
        }
        int first_error = ini_parse_stream(&ini_session::next_line, this, &ini_session::take, this);
        end_section();
        if (first_error != 0 && m_document.problems.empty()) {
            m_line = line_number(first_error > 0 ? static_cast<std::uint32_t>(first_error) : 0);
            add(problem_kind::syntax, {}, "a section, a field or a comment");
        }
        return std::move(m_document);
    }

private:
    enum class line_verdict { pass, skip };
    /// What an indented line would continue. Lines that continue a refused field are skipped, since
    /// the field has its problem already.
    enum class continued_field { none, accepted, refused };

    static char* next_line(char* buffer, int size, void* session)
    {
        return static_cast<ini_session*>(session)->read_line(buffer,
                                                             static_cast<std::size_t>(size));
    }

    static int take(void* session, const char* section, const char* name, const char* value)
    {
        static_cast<ini_session*>(session)->take_field(section, name, value);
        return 1;
    }

    char* read_line(char* buffer, std::size_t size)
    {
        if (m_rest.empty()) {
            return nullptr;
        }
        auto length = m_rest.find('\n');
        auto raw = m_rest.substr(0, length);
        m_rest.remove_prefix(length == std::string_view::npos ? m_rest.size() : length + 1);
        m_line = line_number(m_line.value() + 1);
        // The line end and the terminating zero need one byte each.
        bool passes = check_line(raw, size - 2) == line_verdict::pass;
        auto copied = passes ? raw.size() : 0;
        std::memcpy(buffer, raw.data(), copied);
        buffer[copied] = '\n';
        buffer[copied + 1] = '\0';
        return buffer;
    }

    line_verdict check_line(std::string_view raw, std::size_t longest)
    {
        auto text = trimmed(raw);
        if (text.empty() || text.front() == ';' || text.front() == '#') {
            return line_verdict::skip;
        }
        bool indented = raw.front() == ' ' || raw.front() == '\t';
        m_continues = indented;
        if (!indented && text.front() == '[') {
            return check_section(text, raw.size(), longest);
        }
        if (m_skips_section) {
            return line_verdict::skip;
        }
        ++m_lines_in_section;
        bool passes = check_field_line(raw, text, longest);
        if (passes) {
            m_continued = continued_field::accepted;
        }
        else if (!m_continues) {
            m_continued = continued_field::refused;
        }
        return passes ? line_verdict::pass : line_verdict::skip;
    }

    line_verdict check_section(std::string_view text, std::size_t length, std::size_t longest)
    {
        end_section();
        m_skips_section = true;
        m_continued = continued_field::none;
        m_lines_in_section = 0;
        auto close = text.find(']');
        if (close == std::string_view::npos) {
            add(problem_kind::syntax, {}, "']' after the section name");
            return line_verdict::skip;
        }
        auto after = trimmed(text.substr(close + 1));
        if (!after.empty() && after.front() != ';' && after.front() != '#') {
            add(problem_kind::syntax, {}, "nothing after ']'");
            return line_verdict::skip;
        }
        auto name = text.substr(1, close - 1);
        if (name.size() > setting_path::max_length || length > longest) {
            add(problem_kind::too_long, {}, "a section name of at most 49 characters");
            return line_verdict::skip;
        }
        auto path = setting_path::parse(name);
        if (!path) {
            add(problem_kind::syntax, {},
                "a path of 1 to 4 names of letters, digits, '.', '_' or '-', joined by '/'");
            return line_verdict::skip;
        }
        if (!m_seen.insert(*path).second) {
            add(problem_kind::duplicate_section, {}, "each section once", *path);
            return line_verdict::skip;
        }
        m_path = *path;
        m_document.lines.add_section(m_path, m_line);
        m_skips_section = false;
        return line_verdict::pass;
    }

    bool check_field_line(std::string_view raw, std::string_view text, std::size_t longest)
    {
        if (m_path.text().empty()) {
            add(problem_kind::syntax, {}, "a section before the first field");
            return false;
        }
        if (raw.size() > longest) {
            add(problem_kind::too_long, {}, "a line of at most 198 bytes; lists may continue");
            return false;
        }
        for (char c : text) {
            if ((c < ' ' && c != '\t') || c > '~') {
                add(problem_kind::syntax, {}, "printable ASCII characters");
                return false;
            }
        }
        if (m_continues) {
            return check_continuation();
        }
        auto separator = text.find_first_of("=:");
        if (separator == std::string_view::npos) {
            add(problem_kind::syntax, {}, "FIELD = VALUE");
            return false;
        }
        return check_field_name(trimmed(text.substr(0, separator)));
    }

    bool check_continuation()
    {
        if (m_continued == continued_field::none) {
            add(problem_kind::syntax, {}, "a field before an indented line that continues it");
        }
        return m_continued == continued_field::accepted;
    }

    bool check_field_name(std::string_view name)
    {
        if (name.size() > max_field_name) {
            add(problem_kind::too_long, {}, "a field name of at most 49 characters");
            return false;
        }
        if (!is_field_name(name)) {
            add(problem_kind::syntax, {}, "a field name of lower-case letters, digits and '_'");
            return false;
        }
        return true;
    }

    void take_field(const char* /*section*/, const char* name, const char* value)
    {
        field_name field{std::string(name)};
        const auto* present = m_document.tree.find(m_path, field);
        std::string joined;
        if (m_continues && present != nullptr) {
            joined = present->value() + " ";
        }
        else if (present != nullptr) {
            m_continued = continued_field::refused;
            add(problem_kind::duplicate_field, field, "each field once in a section");
            return;
        }
        else {
            m_document.lines.add_field(m_path, field, m_line);
        }
        joined += value;
        joined = with_normal_commas(joined);
        if (joined.size() > max_value_length) {
            m_continued = continued_field::refused;
            add(problem_kind::too_long, field, "a value of at most 1000 characters");
            return;
        }
        m_document.tree.set(m_path, field, field_value(std::move(joined)));
    }

    void end_section()
    {
        bool has_section = !m_path.text().empty() && !m_skips_section;
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

    std::string_view m_rest;
    std::string m_file;
    ini_document m_document;
    std::set<setting_path> m_seen;
    setting_path m_path;
    line_number m_line;
    std::size_t m_lines_in_section = 0;
    bool m_skips_section = false;
    bool m_continues = false;
    continued_field m_continued = continued_field::none;
};

} // namespace

ini_document read_ini(std::string_view text, const std::string& file)
{
    return ini_session(text, file).run();
}

} // namespace damaskladder::settings
