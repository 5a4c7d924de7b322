#include "daemon/operator_query.hpp"

#include "control/audit_line.hpp"
#include "control/timestamp_text.hpp"
#include "daemon/member_list.hpp"
#include "daemon/operator_answer.hpp"
#include "settings/evacuation_entries.hpp"

#include <nlohmann/json.hpp>

#include <charconv>

namespace damaskladder::daemon {

namespace {

using nlohmann::ordered_json;

constexpr std::size_t max_history = 200;

boost::leaf::error_id invalid(const std::string& name, std::string expected)
{
    return base::fail(base::failure_kind::invalid_argument, "read query", name,
                      name + ": expected " + std::move(expected));
}

/// A query target, split into path and parameters.
class query_target {
public:
    explicit query_target(std::string_view target)
        : m_path(target.substr(0, target.find('?'))),
          m_parameters(m_path.size() < target.size() ? target.substr(m_path.size() + 1)
                                                     : std::string_view())
    {
    }

    std::string_view path() const { return m_path; }

    std::string parameter(std::string_view name) const
    {
        auto rest = m_parameters;
        while (!rest.empty()) {
            const auto item = rest.substr(0, rest.find('&'));
            rest.remove_prefix(std::min(item.size() + 1, rest.size()));
            const auto equals = item.find('=');
            if (item.substr(0, equals) == name && equals != std::string_view::npos) {
                return std::string(item.substr(equals + 1));
            }
        }
        return {};
    }

    base::result<std::uint64_t> number(const std::string& name) const
    {
        const auto text = parameter(name);
        std::uint64_t value = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
            return invalid(name, "a whole number");
        }
        return value;
    }

    base::result<settings::setting_path> subtree() const
    {
        const auto text = parameter("path");
        if (text.empty() || text == "/") {
            return settings::setting_path();
        }
        const auto path = settings::setting_path::parse(text);
        if (!path) {
            return invalid("path", "a path such as teams/NAME or fleet");
        }
        return *path;
    }

private:
    std::string_view m_path;
    std::string_view m_parameters;
};

std::string list_paths(const std::vector<settings::setting_path>& paths)
{
    std::string text;
    for (const auto& path : paths) {
        text += path.text() + "\n";
    }
    return text;
}

std::string show_history(const std::vector<control::version_record>& records)
{
    std::string text;
    for (const auto& record : records) {
        const ordered_json line = {{"version", record.version.value()},
                                   {"path", record.versioned_root.text()},
                                   {"author", record.author.value()},
                                   {"change", record.change.value()},
                                   {"when", control::format_timestamp(record.when)},
                                   {"proposal", record.proposal.value()},
                                   {"difference", to_string(record.diff)}};
        text += line.dump() + "\n";
    }
    return text;
}

std::string show_pending(const std::vector<control::proposal>& proposals)
{
    std::string text;
    for (const auto& proposal : proposals) {
        const ordered_json line = {{"proposal", proposal.id.value()},
                                   {"path", proposal.subtree.text()},
                                   {"author", proposal.header.author.value()},
                                   {"based_on", proposal.based_on.value()},
                                   {"expires", control::format_timestamp(proposal.expires)},
                                   {"state", to_string(proposal.state)},
                                   {"reason", proposal.reason},
                                   {"difference", to_string(proposal.diff)}};
        text += line.dump() + "\n";
    }
    return text;
}

std::string show_status(const control::control_replica& replica, base::time_point now)
{
    const auto log = replica.status();
    const auto state = replica.state().status();
    ordered_json json = {{"replica", log.identity.id.value()},
                         {"identity", log.identity.nonce.value()},
                         {"leads", replica.leads()},
                         {"leader", log.known_leader ? log.known_leader->value() : ""},
                         {"term", log.term.value()},
                         {"commit_index", log.commit_index.value()},
                         {"snapshot_index", log.snapshot_index.value()},
                         {"log_bytes", log.log_size.value()},
                         {"version", state.version.value()},
                         {"entries", state.entries},
                         {"pending_proposals", state.pending_proposals},
                         {"claims", state.claims},
                         {"audit_records", state.audit_head.sequence.value()},
                         {"awaiting_admission", log.awaiting_admission},
                         {"unreadable_entries", replica.unreadable_entries()}};
    json["replicas"] = member_list(log, now);
    return json.dump() + "\n";
}

std::string show_evacuations(const settings::setting_tree& tree)
{
    std::string text;
    for (const auto& domain : settings::evacuated_domains(tree)) {
        text += domain.value() + "\n";
    }
    return text;
}

base::result<std::string> show_audit(const query_target& query, const settings::setting_path& root,
                                     const control::state_machine& state)
{
    control::audit_query wanted;
    wanted.root = root;
    if (const auto who = query.parameter("who"); !who.empty()) {
        wanted.who = base::operator_id(who);
    }
    if (!query.parameter("after").empty()) {
        BOOST_LEAF_AUTO(after, query.number("after"));
        wanted.after = control::audit_sequence(after);
    }
    std::string text;
    for (const auto& record : state.audit().find(wanted)) {
        text += control::to_line(record) + "\n";
    }
    return text;
}

base::result<std::string> answer_settings_query(const query_target& query,
                                                const settings::setting_path& root,
                                                const control::state_machine& state)
{
    const auto name = query.path();
    if (name == "/v1/export") {
        return state.export_ini(root);
    }
    if (name == "/v1/evacuations") {
        return show_evacuations(state.tree());
    }
    if (name == "/v1/list") {
        return list_paths(state.list(root));
    }
    if (name == "/v1/version") {
        return std::to_string(state.version_of(root).value()) + "\n";
    }
    if (name == "/v1/diff") {
        BOOST_LEAF_AUTO(from, query.number("from"));
        BOOST_LEAF_AUTO(to, query.number("to"));
        const auto found =
            state.difference(base::settings_version(from), base::settings_version(to), root);
        return to_string(found.diff) + (found.complete ? "" : "# older changes are not kept\n");
    }
    if (name == "/v1/history") {
        return show_history(state.history(root, max_history));
    }
    if (name == "/v1/pending") {
        return show_pending(state.pending(root));
    }
    if (name == "/v1/audit") {
        return show_audit(query, root, state);
    }
    return base::fail(base::failure_kind::not_found, "read query", std::string(name),
                      "no such query");
}

} // namespace

base::result<std::string> answer_query(std::string_view target, const base::operator_id& who,
                                       const control::control_replica& replica,
                                       base::time_point now)
{
    const query_target query(target);
    const auto& state = replica.state();
    if (query.path() == "/v1/status") {
        return show_status(replica, now);
    }
    if (query.path() == "/v1/audit-head") {
        const auto& head = state.audit().head();
        return std::to_string(head.sequence.value()) + " " + control::to_hex(head.hash.value()) +
               "\n";
    }
    if (query.path() == "/v1/answer") {
        const auto* found = state.find_cached_reply(base::change_id(query.parameter("change")));
        if (found == nullptr) {
            return base::fail(base::failure_kind::not_found, "read query", {},
                              "the change was never applied, or is no longer remembered");
        }
        return to_json(found->answer);
    }
    BOOST_LEAF_AUTO(root, query.subtree());
    if (!state.may_read(who, root)) {
        return base::fail(base::failure_kind::permission_denied, "read query", who.value(),
                          "the credential does not include this path");
    }
    return answer_settings_query(query, root, state);
}

} // namespace damaskladder::daemon
