#include "daemon/operator_command.hpp"

#include "settings/ini_reader.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace damaskladder::daemon {

namespace {

using nlohmann::json;

boost::leaf::error_id invalid(const std::string& member, std::string expected)
{
    return base::fail(base::failure_kind::invalid_argument, "read command", member,
                      member + ": expected " + std::move(expected));
}

base::result<std::string> text_of(const json& from, const std::string& member)
{
    const auto found = from.find(member);
    if (found == from.end() || !found->is_string()) {
        return invalid(member, "a text");
    }
    return found->get<std::string>();
}

base::result<std::uint64_t> number_of(const json& from, const std::string& member)
{
    const auto found = from.find(member);
    if (found == from.end() || !found->is_number_unsigned()) {
        return invalid(member, "a whole number");
    }
    return found->get<std::uint64_t>();
}

base::result<settings::setting_path> path_of(const json& from, const std::string& member)
{
    BOOST_LEAF_AUTO(text, text_of(from, member));
    if (text.empty() || text == "/") {
        return settings::setting_path();
    }
    const auto path = settings::setting_path::parse(text);
    if (!path) {
        return invalid(member, "a path such as teams/NAME or fleet");
    }
    return *path;
}

base::result<settings::setting_tree> tree_of(const json& from)
{
    BOOST_LEAF_AUTO(text, text_of(from, "ini"));
    auto document = settings::read_ini(text, "input");
    if (!document.problems.empty()) {
        return invalid("ini", to_string(document.problems.front()));
    }
    return std::move(document.tree);
}

base::result<control::command> read_edit(const json& from, const std::string& verb,
                                         const control::command_header& header)
{
    BOOST_LEAF_AUTO(path, path_of(from, "path"));
    BOOST_LEAF_AUTO(version, number_of(from, "based_on"));
    BOOST_LEAF_AUTO(tree, tree_of(from));
    const base::settings_version based_on(version);
    if (verb == "apply") {
        return control::command(control::change_settings{header, path, based_on, std::move(tree)});
    }
    control::propose_settings proposal{header, path, based_on, std::move(tree)};
    if (from.contains("lifetime_s")) {
        BOOST_LEAF_AUTO(seconds, number_of(from, "lifetime_s"));
        constexpr std::uint64_t most_seconds = 1U << 30U;
        proposal.lifetime = std::chrono::seconds(std::min(seconds, most_seconds));
    }
    return control::command(std::move(proposal));
}

base::result<control::command> read_review(const json& from, const std::string& verb,
                                           const control::command_header& header)
{
    BOOST_LEAF_AUTO(number, number_of(from, "proposal"));
    const control::proposal_id id(number);
    if (verb == "approve") {
        return control::command(control::approve_proposal{header, id});
    }
    BOOST_LEAF_AUTO(reason, text_of(from, "reason"));
    return control::command(control::refuse_proposal{header, id, reason});
}

base::result<control::command> read_credential(const json& from, const std::string& verb,
                                               const control::command_header& header)
{
    BOOST_LEAF_AUTO(name, text_of(from, "name"));
    if (verb == "remove-credential") {
        return control::command(control::remove_credential{header, base::operator_id(name)});
    }
    BOOST_LEAF_AUTO(role, text_of(from, "role"));
    BOOST_LEAF_AUTO(path, path_of(from, "path"));
    BOOST_LEAF_AUTO(hash, text_of(from, "token_hash"));
    const auto token = control::parse_digest(hash);
    if (!token) {
        return invalid("token_hash", "64 hexadecimal digits, see damaskladder hash-token");
    }
    control::credential created;
    created.name = base::operator_id(name);
    created.subtree = path;
    created.token = control::token_hash(*token);
    for (const auto known : {control::credential_role::admin, control::credential_role::team,
                             control::credential_role::reviewer}) {
        if (role == to_string(known)) {
            created.role = known;
            return control::command(control::create_credential{header, created});
        }
    }
    return invalid("role", "admin, team or reviewer");
}

} // namespace

base::result<control::command>
parse_operator_command(std::string_view text, const base::operator_id& author, base::wall_time now)
{
    const auto from = json::parse(text, nullptr, false);
    if (!from.is_object()) {
        return invalid("body", "a JSON object");
    }
    BOOST_LEAF_AUTO(verb, text_of(from, "verb"));
    BOOST_LEAF_AUTO(change, text_of(from, "change"));
    const control::command_header header{base::change_id(change), author, now};
    if (verb == "apply" || verb == "propose") {
        return read_edit(from, verb, header);
    }
    if (verb == "approve" || verb == "refuse") {
        return read_review(from, verb, header);
    }
    if (verb == "withdraw-key") {
        BOOST_LEAF_AUTO(key, text_of(from, "key"));
        return control::command(control::withdraw_key{header, base::key_id(key)});
    }
    if (verb == "evacuate" || verb == "end-evacuation") {
        BOOST_LEAF_AUTO(domain, text_of(from, "domain"));
        return control::command(control::set_evacuation{
            header, base::failure_domain_id(domain), verb == "evacuate", {}});
    }
    if (verb == "create-credential" || verb == "remove-credential") {
        return read_credential(from, verb, header);
    }
    return invalid("verb",
                   "apply, propose, approve, refuse, withdraw-key, evacuate, end-evacuation, "
                   "create-credential or remove-credential");
}

base::result<consensus::membership_change> parse_replica_change(std::string_view text)
{
    const auto from = json::parse(text, nullptr, false);
    if (!from.is_object()) {
        return invalid("body", "a JSON object");
    }
    BOOST_LEAF_AUTO(verb, text_of(from, "verb"));
    BOOST_LEAF_AUTO(name, text_of(from, "name"));
    const consensus::replica_id id(name);
    if (verb == "remove-replica") {
        return consensus::membership_change(consensus::remove_replica{id});
    }
    if (verb != "add-replica") {
        return invalid("verb", "add-replica or remove-replica");
    }
    BOOST_LEAF_AUTO(identity, number_of(from, "identity"));
    return consensus::membership_change(
        consensus::add_replica{{id, consensus::identity_nonce(identity)}});
}

} // namespace damaskladder::daemon
