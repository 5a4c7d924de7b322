#include "control/audit_line.hpp"

#include "control/timestamp_text.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace damaskladder::control {

namespace {

using json = nlohmann::json;

bool is_plain(char character)
{
    constexpr char first_printable = 0x20;
    constexpr char last_ascii = 0x7f;
    return character >= first_printable && character <= last_ascii && character != '"' &&
           character != '\\';
}

void append_quoted(std::string& out, std::string_view text)
{
    if (std::all_of(text.begin(), text.end(), is_plain)) {
        out += '"';
        out += text;
        out += '"';
        return;
    }
    // A reason typed by an operator may not be valid UTF-8, on which the library would throw.
    out += json(std::string(text)).dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Writes the fields of a JSON object in the order in which they are added.
class object_writer {
public:
    void add_text(std::string_view key, std::string_view value)
    {
        add_key(key);
        append_quoted(m_text, value);
    }
    void add_number(std::string_view key, std::uint64_t value)
    {
        add_key(key);
        m_text += std::to_string(value);
    }
    std::string finish()
    {
        m_text += '}';
        return std::move(m_text);
    }

private:
    void add_key(std::string_view key)
    {
        m_text += m_text.empty() ? '{' : ',';
        m_text += '"';
        m_text += key;
        m_text += "\":";
    }

    std::string m_text;
};

/// The hash is left out of the contents that it covers. A large change appends thousands of
/// records in one step, so they are written without building a JSON value.
std::string serialize(const audit_record& record, bool with_hash)
{
    // The keys are sorted, so equal records give equal bytes.
    object_writer out;
    out.add_text("change", record.change.value());
    out.add_text("field", record.field.value());
    out.add_text("from", record.from);
    if (with_hash) {
        out.add_text("hash", to_hex(record.hash.value()));
    }
    out.add_text("note", record.note);
    out.add_text("path", record.path.text());
    out.add_text("prev", to_hex(record.previous.value()));
    out.add_number("proposal", record.proposal.value());
    out.add_number("seq", record.sequence.value());
    out.add_text("to", record.to);
    out.add_text("verdict", to_string(record.verdict));
    out.add_number("version", record.version.value());
    out.add_text("when", format_timestamp(record.when));
    out.add_text("who", record.who.value());
    return out.finish();
}

/// Reads the fields of a line. failed() is set by a missing field or one of the wrong type.
class audit_line_reader {
public:
    explicit audit_line_reader(const json& source) : m_source(source) {}

    std::string text(const char* key)
    {
        auto found = m_source.find(key);
        if (found == m_source.end() || !found->is_string()) {
            m_failed = true;
            return {};
        }
        return found->get<std::string>();
    }

    std::uint64_t number(const char* key)
    {
        auto found = m_source.find(key);
        if (found == m_source.end() || !found->is_number_unsigned()) {
            m_failed = true;
            return 0;
        }
        return found->get<std::uint64_t>();
    }

    chain_hash hash(const char* key)
    {
        auto parsed = parse_digest(text(key));
        m_failed = m_failed || !parsed;
        return chain_hash(parsed.value_or(digest()));
    }

    base::wall_time time(const char* key)
    {
        auto parsed = parse_timestamp(text(key));
        m_failed = m_failed || !parsed;
        return parsed.value_or(base::wall_time());
    }

    settings::setting_path path(const char* key)
    {
        auto value_text = text(key);
        auto parsed = settings::setting_path::parse(value_text);
        m_failed = m_failed || (!parsed && !value_text.empty());
        return parsed.value_or(settings::setting_path());
    }

    change_verdict verdict(const char* key)
    {
        auto value_text = text(key);
        for (std::uint8_t i = 0; i < change_verdict_count; ++i) {
            if (to_string(static_cast<change_verdict>(i)) == value_text) {
                return static_cast<change_verdict>(i);
            }
        }
        m_failed = true;
        return {};
    }

    bool failed() const { return m_failed; }

private:
    const json& m_source;
    bool m_failed = false;
};

} // namespace

std::string to_line(const audit_record& record)
{
    return serialize(record, true);
}

std::optional<audit_record> parse_audit_line(std::string_view line)
{
    // The library's parser for JSON text uses an explicit stack, so deep nesting cannot overflow
    // the call stack.
    auto source = json::parse(line, nullptr, false);
    if (!source.is_object()) {
        return std::nullopt;
    }
    audit_line_reader reader(source);
    audit_record record;
    record.sequence = audit_sequence(reader.number("seq"));
    record.who = base::operator_id(reader.text("who"));
    record.when = reader.time("when");
    record.path = reader.path("path");
    record.field = settings::field_name(reader.text("field"));
    record.from = reader.text("from");
    record.to = reader.text("to");
    record.version = base::settings_version(reader.number("version"));
    record.change = base::change_id(reader.text("change"));
    record.proposal = proposal_id(reader.number("proposal"));
    record.verdict = reader.verdict("verdict");
    record.note = reader.text("note");
    record.previous = reader.hash("prev");
    record.hash = reader.hash("hash");
    if (reader.failed()) {
        return std::nullopt;
    }
    return record;
}

chain_hash hash_of(const audit_record& record)
{
    return chain_hash(digest_of(serialize(record, false)));
}

} // namespace damaskladder::control
