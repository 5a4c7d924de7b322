#include "control/snapshot_codec.hpp"

#include "control/cbor_reader.hpp"
#include "control/json_reader.hpp"
#include "control/json_writer.hpp"

#include <cstddef>
#include <map>
#include <utility>

namespace damaskladder::control {

namespace {

using json = nlohmann::json;

// Incremented when the stored format changes.
constexpr std::uint64_t snapshot_format = 2;

// Number of rows of a large table that are encoded together as one byte string. Building and
// releasing small values page by page keeps them in the CPU cache.
constexpr std::size_t rows_per_page = 256;

/// Collects rows into a list of pages.
class page_writer {
public:
    void add(json row)
    {
        m_page.push_back(std::move(row));
        if (m_page.size() >= rows_per_page) {
            end_page();
        }
    }

    json finish()
    {
        if (!m_page.empty()) {
            end_page();
        }
        return std::move(m_pages);
    }

private:
    void end_page()
    {
        m_pages.push_back(json::binary(json::to_cbor(m_page)));
        m_page = json::array();
    }

    json m_page = json::array();
    json m_pages = json::array();
};

template <class Container>
json write_all(const Container& values)
{
    page_writer pages;
    for (const auto& value : values) {
        pages.add(json_writer::write(value));
    }
    return pages.finish();
}

template <class Map>
json write_map_values(const Map& named)
{
    page_writer pages;
    for (const auto& [name, value] : named) {
        pages.add(json_writer::write(value));
    }
    return pages.finish();
}

json write_versions(const settings_history& history)
{
    page_writer pages;
    for (const auto& [root, version] : history.versions()) {
        pages.add(json_writer::write(subtree_version{root, version}));
    }
    return pages.finish();
}

json write_replies(const reply_cache& replies)
{
    page_writer pages;
    for (const auto& change : replies.order()) {
        pages.add(json_writer::write(*replies.find(change)));
    }
    return pages.finish();
}

json write_claims(const claim_table& claims)
{
    page_writer pages;
    for (const auto& claim : claims.sorted()) {
        pages.add(json_writer::write(stored_claim{claim->first, claim->second}));
    }
    return pages.finish();
}

/// Reads the parts of a snapshot. valid() is false once any part has failed.
class snapshot_reader {
public:
    explicit snapshot_reader(const json& source) : m_source(source) {}

    template <class T>
    T read_part(const char* name)
    {
        T value{};
        auto found = m_source.find(name);
        m_valid = m_valid && found != m_source.end() && json_reader::read(*found, value);
        return value;
    }

    /// Calls callback with each row of a table, in order.
    template <class Row, class Callback>
    void read_rows(const char* name, Callback callback)
    {
        auto found = m_source.find(name);
        m_valid = m_valid && found != m_source.end() && found->is_array();
        if (!m_valid) {
            return;
        }
        for (const auto& page : *found) {
            read_page<Row>(page, callback);
        }
    }

    void require(bool condition) { m_valid = m_valid && condition; }
    bool valid() const { return m_valid; }

private:
    template <class Row, class Callback>
    void read_page(const json& page, Callback& callback)
    {
        auto rows = page.is_binary() ? parse_cbor(page.get_binary()) : std::nullopt;
        m_valid = m_valid && rows && rows->is_array();
        if (!m_valid) {
            return;
        }
        for (const auto& source : *rows) {
            Row row{};
            m_valid = m_valid && json_reader::read(source, row);
            if (m_valid) {
                callback(std::move(row));
            }
        }
    }

    const json& m_source;
    bool m_valid = true;
};

void read_settings(snapshot_reader& reader, control_state& state)
{
    auto tree = reader.read_part<settings::setting_tree>("tree");
    reader.require(state.settings.apply(settings::difference({}, tree)).empty());
    state.settings.set_version(reader.read_part<base::settings_version>("version"));
    state.document = reader.read_part<settings_document>("document");
}

void read_credentials(snapshot_reader& reader, control_state& state)
{
    reader.read_rows<credential>("credentials",
                                 [&](const credential& entry) { state.credentials.insert(entry); });
}

void read_proposals(snapshot_reader& reader, control_state& state)
{
    reader.read_rows<proposal>("pending", [&](proposal entry) {
        reader.require(entry.state == proposal_state::pending);
        state.proposals.insert(std::move(entry));
    });
    reader.read_rows<proposal>("closed", [&](proposal entry) {
        reader.require(entry.state != proposal_state::pending);
        state.proposals.insert(std::move(entry));
    });
}

void read_history(snapshot_reader& reader, control_state& state)
{
    auto dropped = reader.read_part<base::settings_version>("dropped");
    std::vector<version_record> records;
    reader.read_rows<version_record>("history", [&](version_record record) {
        auto last = records.empty() ? dropped : records.back().version;
        reader.require(record.version > last);
        records.push_back(std::move(record));
    });
    std::map<settings::setting_path, base::settings_version> versions;
    reader.read_rows<subtree_version>("versions", [&](const subtree_version& entry) {
        versions.emplace(entry.versioned_root, entry.version);
    });
    state.history.restore(std::move(records), std::move(versions), dropped);
}

void read_replies(snapshot_reader& reader, control_state& state)
{
    reader.read_rows<cached_reply>(
        "answers", [&](cached_reply entry) { state.replies.insert(std::move(entry)); });
}

void read_audit(snapshot_reader& reader, control_state& state)
{
    auto anchor = reader.read_part<audit_anchor>("audit_anchor");
    std::vector<audit_record> records;
    reader.read_rows<audit_record>(
        "audit", [&](audit_record record) { records.push_back(std::move(record)); });
    reader.require(state.audit.restore(anchor, std::move(records)));
}

void read_claims(snapshot_reader& reader, control_state& state)
{
    reader.read_rows<stored_claim>("claims", [&](stored_claim claim) {
        reader.require(state.claims.insert(claim.key, std::move(claim.record)));
    });
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
    parts["document"] = json_writer::write(state.document);
    parts["credentials"] = write_map_values(state.credentials);
    parts["pending"] = write_map_values(state.proposals.pending());
    parts["closed"] = write_all(state.proposals.closed());
    parts["versions"] = write_versions(state.history);
    parts["history"] = write_all(state.history.records());
    parts["dropped"] = json_writer::write(state.history.last_dropped_version());
    parts["answers"] = write_replies(state.replies);
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
    if (reader.read_part<std::uint64_t>("format") != snapshot_format) {
        return base::fail(base::failure_kind::corrupt, "restore snapshot", {},
                          "unsupported snapshot format");
    }
    state.position = reader.read_part<log_position>("position");
    state.time = reader.read_part<base::wall_time>("time");
    read_settings(reader, state);
    read_credentials(reader, state);
    read_proposals(reader, state);
    read_history(reader, state);
    read_replies(reader, state);
    read_audit(reader, state);
    read_claims(reader, state);
    if (!reader.valid()) {
        return base::fail(base::failure_kind::corrupt, "restore snapshot", {},
                          "a part is missing or malformed");
    }
    return {};
}

} // namespace damaskladder::control
