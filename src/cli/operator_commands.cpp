#include "cli/operator_commands.hpp"

#include "cli/operator_client.hpp"
#include "cli/operator_options.hpp"
#include "cli/option_parser.hpp"
#include "cli/text_file.hpp"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <iostream>
#include <thread>

namespace damaskladder::cli {

namespace {

using nlohmann::json;

constexpr int first_error_status = 400;
constexpr int forbidden = 403;
constexpr int unauthorized = 401;

// Start of the first line of an exported subtree. `apply` and `propose` take the default path and
// version from that line.
constexpr std::string_view export_header = "# damaskladder subtree ";

std::string make_change_id()
{
    return "change-" + std::to_string(randombytes_random()) + std::to_string(randombytes_random());
}

exit_code exit_code_for(const std::string& verdict)
{
    if (verdict == "accepted" || verdict == "unchanged" || verdict == "pending") {
        return exit_code::ok;
    }
    if (verdict == "conflict") {
        return exit_code::conflict;
    }
    return verdict == "permission_denied" ? exit_code::permission : exit_code::refused;
}

void print_reply(const json& reply)
{
    std::cout << reply.value("verdict", "") << " version " << reply.value("version", 0ULL);
    if (const auto proposal = reply.value("proposal", 0ULL); proposal != 0) {
        std::cout << " proposal " << proposal;
    }
    std::cout << '\n';
    if (reply.contains("conflict")) {
        const auto& conflict = reply["conflict"];
        std::cout << "The subtree is at version " << conflict.value("version", 0ULL)
                  << ", changed by " << conflict.value("author", "") << " at "
                  << conflict.value("when", "") << ":\n"
                  << conflict.value("difference", "");
    }
    for (const auto& problem : reply.value("problems", json::array())) {
        std::cout << problem.get<std::string>() << '\n';
    }
}

/// One operator sub-command: its options and the request that it sends.
class operator_command {
public:
    operator_command(const std::string& name, const std::string& usage)
        : m_parser(name, usage), m_connection(m_parser)
    {
    }

    option_parser& parser() { return m_parser; }
    const std::vector<std::string>& positional() const { return m_parser.positional(); }

    /// Prints an error and returns false if the arguments are invalid.
    bool parse(const std::vector<std::string>& arguments, std::size_t expected)
    {
        if (!m_parser.parse(arguments)) {
            return false;
        }
        if (positional().size() != expected) {
            std::cerr << "expected " << expected << " arguments, see --help\n";
            return false;
        }
        return true;
    }

    exit_code run_query(const std::string& target)
    {
        const auto answer = send({target, {}});
        if (!answer) {
            return m_failure;
        }
        std::cout << answer->body;
        return exit_code::ok;
    }

    std::optional<std::string> fetch(const std::string& target)
    {
        const auto answer = send({target, {}});
        return answer ? std::optional(answer->body) : std::nullopt;
    }

    exit_code run_command(const json& command, const std::string& target = "/v1/command")
    {
        const auto answer = send({target, command.dump()});
        if (!answer) {
            if (m_failure == exit_code::unknown) {
                std::cerr << "No response; the change may have been applied. To query its result: "
                             "damaskladder answer "
                          << command.value("change", "") << '\n';
            }
            return m_failure;
        }
        const auto reply = json::parse(answer->body, nullptr, false);
        if (!reply.is_object()) {
            std::cerr << answer->body;
            return exit_code::failed;
        }
        print_reply(reply);
        return exit_code_for(reply.value("verdict", ""));
    }

    exit_code failure() const { return m_failure; }

private:
    std::optional<operator_response> send(const operator_client::request& outgoing)
    {
        const auto replicas = m_connection.replicas();
        const auto token = m_connection.token();
        if (!replicas || !token) {
            m_failure = exit_code::usage;
            return std::nullopt;
        }
        operator_client client(*replicas, *token);
        auto answer = client.execute(outgoing);
        if (!answer) {
            const bool unknown = client.outcome_unknown() && !outgoing.body.empty();
            m_failure = unknown ? exit_code::unknown : exit_code::unavailable;
            std::cerr << "cannot reach a control replica that is the leader\n";
            return std::nullopt;
        }
        if (answer->status >= first_error_status) {
            const bool denied = answer->status == forbidden || answer->status == unauthorized;
            m_failure = denied ? exit_code::permission : exit_code::refused;
            std::cerr << answer->body;
            return std::nullopt;
        }
        return answer;
    }

    option_parser m_parser;
    operator_options m_connection;
    exit_code m_failure = exit_code::failed;
};

/// Takes path and version from the first line of an exported subtree, unless set by options.
void parse_export_header(const std::string& text, std::string& path, long long& version)
{
    if (text.compare(0, export_header.size(), export_header) != 0) {
        return;
    }
    std::istringstream line(text.substr(export_header.size(), text.find('\n')));
    std::string header_path;
    std::string word;
    long long header_version = 0;
    if (line >> header_path >> word >> header_version) {
        path = path.empty() ? header_path : path;
        version = version < 0 ? header_version : version;
    }
}

exit_code run_edit(const std::string& name, const std::vector<std::string>& arguments)
{
    std::string path;
    long long based_on = -1;
    std::string change = make_change_id();
    long long lifetime_s = 7LL * 24 * 3600;
    operator_command edit(name, "FILE");
    edit.parser().add("path", path, "subtree that the file replaces", "PATH");
    edit.parser().add("based-on", based_on, "version of the subtree that the change starts from",
                      "VERSION");
    edit.parser().add("id", change, "change id; reuse it to resend the same change", "ID");
    edit.parser().add("lifetime", lifetime_s, "seconds after which a proposal expires", "SECONDS");
    if (!edit.parse(arguments, 1)) {
        return exit_code::usage;
    }
    const auto text = read_text_file(edit.positional().front());
    if (!text) {
        std::cerr << "cannot read file: " << edit.positional().front() << '\n';
        return exit_code::usage;
    }
    parse_export_header(*text, path, based_on);
    if (path.empty() || based_on < 0) {
        std::cerr
            << "--path and --based-on are required unless the file begins with the header line "
               "written by export\n";
        return exit_code::usage;
    }
    json command = {{"verb", name},
                    {"change", change},
                    {"path", path},
                    {"based_on", static_cast<std::uint64_t>(based_on)},
                    {"ini", *text}};
    if (name == "propose") {
        command["lifetime_s"] = static_cast<std::uint64_t>(std::max(lifetime_s, 0LL));
    }
    return edit.run_command(command);
}

exit_code run_approve(const std::vector<std::string>& arguments)
{
    std::string change = make_change_id();
    long long proposal = 0;
    operator_command review("approve", "");
    review.parser().add("proposal", proposal, "number of the proposal, see pending", "NUMBER");
    review.parser().add("id", change, "change id", "ID");
    if (!review.parse(arguments, 0) || proposal <= 0) {
        return exit_code::usage;
    }
    return review.run_command({{"verb", "approve"},
                               {"change", change},
                               {"proposal", static_cast<std::uint64_t>(proposal)}});
}

exit_code run_refuse(const std::vector<std::string>& arguments)
{
    std::string change = make_change_id();
    std::string reason;
    long long proposal = 0;
    operator_command review("refuse", "");
    review.parser().add("proposal", proposal, "number of the proposal, see pending", "NUMBER");
    review.parser().add("reason", reason, "reason shown to the proposer", "TEXT");
    review.parser().add("id", change, "change id", "ID");
    if (!review.parse(arguments, 0) || proposal <= 0) {
        return exit_code::usage;
    }
    return review.run_command({{"verb", "refuse"},
                               {"change", change},
                               {"proposal", static_cast<std::uint64_t>(proposal)},
                               {"reason", reason}});
}

exit_code run_withdraw(const std::vector<std::string>& arguments)
{
    std::string change = make_change_id();
    operator_command withdraw("withdraw-key", "KEY-NAME");
    withdraw.parser().add("id", change, "change id", "ID");
    if (!withdraw.parse(arguments, 1)) {
        return exit_code::usage;
    }
    return withdraw.run_command(
        {{"verb", "withdraw-key"}, {"change", change}, {"key", withdraw.positional().front()}});
}

exit_code run_evacuation(const std::string& verb, const std::vector<std::string>& arguments)
{
    std::string change = make_change_id();
    operator_command order(verb, "DOMAIN");
    order.parser().add("id", change, "change id", "ID");
    if (!order.parse(arguments, 1)) {
        return exit_code::usage;
    }
    return order.run_command(
        {{"verb", verb}, {"change", change}, {"domain", order.positional().front()}});
}

exit_code run_evacuations(const std::vector<std::string>& arguments)
{
    operator_command lookup("evacuations", "");
    return lookup.parse(arguments, 0) ? lookup.run_query("/v1/evacuations?path=fleet/evacuations")
                                      : exit_code::usage;
}

exit_code run_create_credential(const std::vector<std::string>& arguments)
{
    std::string change = make_change_id();
    std::string role = "team";
    std::string path;
    std::string hash;
    operator_command create("create-credential", "NAME");
    create.parser().add("role", role, "admin, team or reviewer", "ROLE");
    create.parser().add("path", path, "subtree", "PATH");
    create.parser().add("token-hash", hash, "printed by hash-token", "HEX");
    create.parser().add("id", change, "change id", "ID");
    if (!create.parse(arguments, 1)) {
        return exit_code::usage;
    }
    return create.run_command({{"verb", "create-credential"},
                               {"change", change},
                               {"name", create.positional().front()},
                               {"role", role},
                               {"path", path},
                               {"token_hash", hash}});
}

exit_code run_remove_credential(const std::vector<std::string>& arguments)
{
    std::string change = make_change_id();
    operator_command remove("remove-credential", "NAME");
    remove.parser().add("id", change, "change id", "ID");
    if (!remove.parse(arguments, 1)) {
        return exit_code::usage;
    }
    return remove.run_command(
        {{"verb", "remove-credential"}, {"change", change}, {"name", remove.positional().front()}});
}

/// Runs a query with an optional path; without one it covers all settings.
exit_code run_path_query(const std::string& name, const std::string& query,
                         const std::vector<std::string>& arguments)
{
    std::string path;
    operator_command lookup(name, "");
    lookup.parser().add("path", path, "subtree; all settings if left out", "PATH");
    if (!lookup.parse(arguments, 0)) {
        return exit_code::usage;
    }
    return lookup.run_query("/v1/" + query + "?path=" + path);
}

exit_code run_export(const std::vector<std::string>& arguments)
{
    std::string path;
    operator_command lookup("export", "");
    lookup.parser().add("path", path, "subtree", "PATH");
    if (!lookup.parse(arguments, 0)) {
        return exit_code::usage;
    }
    const auto version = lookup.fetch("/v1/version?path=" + path);
    const auto text = version ? lookup.fetch("/v1/export?path=" + path) : std::nullopt;
    if (!text) {
        return lookup.failure();
    }
    std::cout << export_header << (path.empty() ? "/" : path) << " version " << *version << *text;
    return exit_code::ok;
}

exit_code run_get(const std::vector<std::string>& arguments)
{
    operator_command lookup("get", "PATH");
    if (!lookup.parse(arguments, 1)) {
        return exit_code::usage;
    }
    return lookup.run_query("/v1/export?path=" + lookup.positional().front());
}

exit_code run_diff(const std::vector<std::string>& arguments)
{
    std::string path;
    long long from = 0;
    long long to = 0;
    operator_command lookup("diff", "");
    lookup.parser().add("path", path, "subtree; all settings if left out", "PATH");
    lookup.parser().add("from", from, "older version", "VERSION");
    lookup.parser().add("to", to, "newer version", "VERSION");
    if (!lookup.parse(arguments, 0)) {
        return exit_code::usage;
    }
    return lookup.run_query("/v1/diff?path=" + path + "&from=" + std::to_string(from) +
                            "&to=" + std::to_string(to));
}

exit_code run_answer(const std::vector<std::string>& arguments)
{
    operator_command lookup("answer", "CHANGE-ID");
    if (!lookup.parse(arguments, 1)) {
        return exit_code::usage;
    }
    return lookup.run_query("/v1/answer?change=" + lookup.positional().front());
}

exit_code run_audit(const std::vector<std::string>& arguments)
{
    std::string path;
    std::string who;
    long long after = 0;
    operator_command lookup("audit", "");
    lookup.parser().add("path", path, "subtree; all settings if left out", "PATH");
    lookup.parser().add("who", who, "only this operator", "NAME");
    lookup.parser().add("after", after, "only records after this one", "SEQUENCE");
    if (!lookup.parse(arguments, 0)) {
        return exit_code::usage;
    }
    return lookup.run_query("/v1/audit?path=" + path + "&who=" + who +
                            "&after=" + std::to_string(after));
}

exit_code run_add_replica(const std::vector<std::string>& arguments)
{
    std::string identity;
    operator_command add("add-replica", "NAME");
    add.parser().add("identity", identity, "identity number shown by status on that replica",
                     "NUMBER");
    if (!add.parse(arguments, 1)) {
        return exit_code::usage;
    }
    const auto number = json::parse(identity, nullptr, false);
    if (!number.is_number_unsigned()) {
        std::cerr << "--identity: expected the identity number shown by status on that replica\n";
        return exit_code::usage;
    }
    return add.run_command(
        {{"verb", "add-replica"}, {"name", add.positional().front()}, {"identity", number}},
        "/v1/replica");
}

exit_code run_remove_replica(const std::vector<std::string>& arguments)
{
    operator_command remove("remove-replica", "NAME");
    if (!remove.parse(arguments, 1)) {
        return exit_code::usage;
    }
    return remove.run_command({{"verb", "remove-replica"}, {"name", remove.positional().front()}},
                              "/v1/replica");
}

exit_code run_status(const std::vector<std::string>& arguments)
{
    operator_command lookup("status", "");
    return lookup.parse(arguments, 0) ? lookup.run_query("/v1/status") : exit_code::usage;
}

exit_code run_watch(const std::vector<std::string>& arguments)
{
    constexpr base::duration poll_interval = std::chrono::seconds(1);
    std::string path;
    long long seconds = 60;
    operator_command lookup("watch", "");
    lookup.parser().add("path", path, "subtree", "PATH");
    lookup.parser().add("for", seconds, "stop after this many seconds", "SECONDS");
    if (!lookup.parse(arguments, 0)) {
        return exit_code::usage;
    }
    std::string last;
    const auto end = http::event_loop::now() + std::chrono::seconds(seconds);
    while (http::event_loop::now() < end) {
        const auto version = lookup.fetch("/v1/version?path=" + path);
        if (!version) {
            return lookup.failure();
        }
        if (*version != last) {
            std::cout << "version " << *version << std::flush;
            last = *version;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return exit_code::ok;
}

sub_command path_query(const std::string& name, const std::string& summary)
{
    return {name, summary,
            [name](const auto& arguments) { return run_path_query(name, name, arguments); }};
}

} // namespace

std::vector<sub_command> operator_commands()
{
    return {
        {"apply", "replace a subtree of the settings",
         [](const auto& arguments) { return run_edit("apply", arguments); }},
        {"propose", "propose a subtree for review",
         [](const auto& arguments) { return run_edit("propose", arguments); }},
        {"approve", "approve and apply a proposal", run_approve},
        {"refuse", "reject a proposal", run_refuse},
        {"withdraw-key", "withdraw a workspace's key", run_withdraw},
        {"evacuate", "send no new requests to the servers of a failure domain",
         [](const auto& arguments) { return run_evacuation("evacuate", arguments); }},
        {"end-evacuation", "send requests to a failure domain again",
         [](const auto& arguments) { return run_evacuation("end-evacuation", arguments); }},
        {"evacuations", "list evacuated failure domains", run_evacuations},
        {"create-credential", "create an operator's credential", run_create_credential},
        {"remove-credential", "remove an operator's credential", run_remove_credential},
        {"export", "print a subtree as INI, with its version", run_export},
        {"get", "print one path as INI", run_get},
        path_query("list", "list paths"),
        path_query("history", "list accepted changes, newest first"),
        path_query("pending", "list proposals"),
        {"diff", "print the differences between two versions", run_diff},
        {"answer", "print the result of a change", run_answer},
        {"audit", "print audit records", run_audit},
        {"status", "print the state of a control replica", run_status},
        {"add-replica", "add a control replica, or admit one with a new data folder",
         run_add_replica},
        {"remove-replica", "remove a control replica", run_remove_replica},
        {"watch", "print new versions of a subtree", run_watch},
    };
}

} // namespace damaskladder::cli
