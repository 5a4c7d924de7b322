#include "control/snapshot_codec.hpp"

#include "control/cbor_reader.hpp"
#include "control/json_reader.hpp"
#include "control/json_writer.hpp"

#include <map>
#include <utility>

namespace damaskladder::control {

namespace {

using json = nlohmann::json;

// Raised when the stored form changes.
constexpr std::uint64_t snapshot_format = 1;

template <class Container>
json write_all(const Container& values)
{
    auto list = json::array();
    for (const auto& value : values) {
        list.push_back(json_writer::write(value));
    }
    return list;
}

template <class Map>
json write_values(const Map& named)
{
    auto list = json::array();
    for (const auto& [name, value] : named) {
        list.push_back(json_writer::write(value));
    }
    return list;
}

json write_versions(const settings_history& history)
{
    auto list = json::array();
    for (const auto& [root, version] : history.versions()) {
        list.push_back(json::array({root.text(), version.value()}));
    }
    return list;
}

json write_answers(const answer_table& answers)
{
    auto list = json::array();
    for (const auto& change : answers.order()) {
        list.push_back(json_writer::write(*answers.find(change)));
    }
    return list;
}

/// Lists instead of objects: there may be hundreds of thousands of claims.
json write_claims(const claim_table& claims)
{
    auto list = json::array();
    for (const auto& claim : claims.sorted()) {
        const auto& [key, record] = *claim;
        auto row = json::array();
        row.push_back(json_writer::write(key.workspace));
        row.push_back(json_writer::write(key.request));
        row.push_back(json_writer::write(record.state));
        row.push_back(json_writer::write(record.attempt));
        row.push_back(json_writer::write(record.node));
        row.push_back(json_writer::write(record.content));
        row.push_back(json_writer::write(record.released));
        list.push_back(std::move(row));
    }
    return list;
}

/// Reads the parts of a snapshot; the first one that fails makes it fail.
class snapshot_reader {
public:
    explicit snapshot_reader(const json& source) : m_source(source) {}

    template <class T>
    T part(const char* name)
    {
        T value{};
        auto found = m_source.find(name);
        m_valid = m_valid && found != m_source.end() && json_reader::read(*found, value);
        return value;
    }

    /// The rows of a list.
    const json& rows(const char* name)
    {
        static const json none = json::array();
        auto found = m_source.find(name);
        m_valid = m_valid && found != m_source.end() && found->is_array();
        return m_valid ? *found : none;
    }

    void require(bool condition) { m_valid = m_valid && condition; }
    bool valid() const { return m_valid; }

private:
    const json& m_source;
    bool m_valid = true;
};

void read_settings(snapshot_reader& reader, control_state& state)
{
    auto tree = reader.part<settings::setting_tree>("tree");
    reader.require(state.settings.apply(settings::difference({}, tree)).empty());
    state.settings.set_version(reader.part<base::settings_version>("version"));
}

void read_credentials(snapshot_reader& reader, control_state& state)
{
    for (const auto& entry : reader.part<std::vector<credential>>("credentials")) {
        state.credentials.insert(entry);
    }
}

void read_proposals(snapshot_reader& reader, control_state& state)
{
    for (auto& entry : reader.part<std::vector<proposal>>("pending")) {
        reader.require(entry.state == proposal_state::pending);
        state.proposals.insert(std::move(entry));
    }
    for (auto& entry : reader.part<std::vector<proposal>>("closed")) {
        reader.require(entry.state != proposal_state::pending);
        state.proposals.insert(std::move(entry));
    }
}

void read_history(snapshot_reader& reader, control_state& state)
{
    std::map<settings::setting_path, base::settings_version> versions;
    for (const auto& row : reader.rows("versions")) {
        settings::setting_path root;
        base::settings_version version;
        reader.require(row.is_array() && row.size() == 2 && json_reader::read(row[0], root) &&
                       json_reader::read(row[1], version));
        versions.emplace(std::move(root), version);
    }
    auto records = reader.part<std::vector<version_record>>("history");
    auto dropped = reader.part<base::settings_version>("dropped");
    auto last = dropped;
    for (const auto& record : records) {
        reader.require(record.version > last);
        last = record.version;
    }
    state.history.restore(std::move(records), std::move(versions), dropped);
}

void read_answers(snapshot_reader& reader, control_state& state)
{
    for (auto& entry : reader.part<std::vector<answered_change>>("answers")) {
        state.answers.insert(std::move(entry));
    }
}

void read_audit(snapshot_reader& reader, control_state& state)
{
    auto anchor = reader.part<audit_anchor>("audit_anchor");
    auto records = reader.part<std::vector<audit_record>>("audit");
    reader.require(state.audit.restore(anchor, std::move(records)));
}

void read_claims(snapshot_reader& reader, control_state& state)
{
    for (const auto& row : reader.rows("claims")) {
        claim_key key;
        claim_record record;
        bool valid =
            row.is_array() && row.size() == 7 && json_reader::read(row[0], key.workspace) &&
            json_reader::read(row[1], key.request) && json_reader::read(row[2], record.state) &&
            json_reader::read(row[3], record.attempt) && json_reader::read(row[4], record.node) &&
            json_reader::read(row[5], record.content) && json_reader::read(row[6], record.released);
        reader.require(valid && state.claims.insert(key, std::move(record)));
    }
}

} // namespace

std::vector<std::uint8_t> encode_snapshot(const control_state& state)
{
    json parts = json::object();
    parts["format"] = snapshot_format;
    parts["position"] = json_writer::write(state.position);
    parts["time"] = json_writer::write(state.time);
    parts["tree"] = json_writer::write(state.settings.tree());
    parts["version"] = json_writer::write(state.settings.tree().version());
    parts["credentials"] = write_values(state.credentials);
    parts["pending"] = write_values(state.proposals.pending());
    parts["closed"] = write_all(state.proposals.closed());
    parts["versions"] = write_versions(state.history);
    parts["history"] = write_all(state.history.records());
    parts["dropped"] = json_writer::write(state.history.dropped_up_to());
    parts["answers"] = write_answers(state.answers);
    parts["audit_anchor"] = json_writer::write(state.audit.anchor());
    parts["audit"] = write_all(state.audit.records());
    parts["claims"] = write_claims(state.claims);
    return json::to_cbor(parts);
}

base::result<void> decode_snapshot(std::span<const std::uint8_t> bytes, control_state& state)
{
    auto source = parse_cbor(bytes);
    if (!source || !source->is_object()) {
        return base::fail(base::failure_kind::corrupt, "restore snapshot", {},
                          "the bytes are not a snapshot");
    }
    snapshot_reader reader(*source);
    if (reader.part<std::uint64_t>("format") != snapshot_format) {
        return base::fail(base::failure_kind::corrupt, "restore snapshot", {},
                          "the snapshot has another format");
    }
    state.position = reader.part<log_position>("position");
    state.time = reader.part<base::wall_time>("time");
    read_settings(reader, state);
    read_credentials(reader, state);
    read_proposals(reader, state);
    read_history(reader, state);
    read_answers(reader, state);
    read_audit(reader, state);
    read_claims(reader, state);
    if (!reader.valid()) {
        return base::fail(base::failure_kind::corrupt, "restore snapshot", {},
                          "a part is missing or malformed");
    }
    return {};
}

} // namespace damaskladder::control
