#include "control/audit_line.hpp"

#include "control/timestamp_text.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace damaskladder::control {

namespace {

using json = nlohmann::json;

/// All fields except the hash. The library sorts the keys, so equal records give equal bytes.
json to_json(const audit_record& record)
{
    return json{{"seq", record.sequence.value()},
                {"who", record.who.value()},
                {"when", format_timestamp(record.when)},
                {"path", record.path.text()},
                {"field", record.field.value()},
                {"from", record.from},
                {"to", record.to},
                {"version", record.version.value()},
                {"change", record.change.value()},
                {"proposal", record.proposal.value()},
                {"verdict", to_string(record.verdict)},
                {"note", record.note},
                {"prev", to_hex(record.previous.value())}};
}

std::string serialize(const json& value)
{
    // A reason typed by an operator may not be valid UTF-8, on which the library would throw.
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
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
    auto contents = to_json(record);
    contents["hash"] = to_hex(record.hash.value());
    return serialize(contents);
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
    return chain_hash(digest_of(serialize(to_json(record))));
}

} // namespace damaskladder::control
