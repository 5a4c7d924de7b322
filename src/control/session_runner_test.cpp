#include "control/session_runner_test.hpp"

#include "control/audit_line.hpp"
#include "settings/ini_reader.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace damaskladder::control {

namespace {

settings::setting_path path_of(const std::string& text)
{
    return settings::setting_path::parse(text).value_or(settings::setting_path());
}

/// "PATH FIELD = VALUE" sets a field, "PATH FIELD" removes it.
settings::setting_diff diff_of(const std::vector<std::string>& body,
                               const settings::setting_tree& present)
{
    auto after = present;
    for (const auto& line : body) {
        std::istringstream in(line);
        std::string path, field, equals, value;
        in >> path >> field >> equals;
        std::getline(in >> std::ws, value);
        if (equals.empty()) {
            after.erase(path_of(path), settings::field_name(field));
        }
        else {
            after.set(path_of(path), settings::field_name(field), settings::field_value(value));
        }
    }
    return settings::difference(present, after);
}

settings_edit edit_of(const std::vector<std::string>& body, const settings::setting_tree& present)
{
    if (body.empty() || body.front().front() != '[') {
        return diff_of(body, present);
    }
    std::string text;
    for (const auto& line : body) {
        text += line + "\n";
    }
    auto document = settings::read_ini(text, "session");
    EXPECT_TRUE(document.problems.empty()) << to_string(document.problems.front());
    return document.tree;
}

credential_role role_of(const std::string& name)
{
    return name == "admin"  ? credential_role::admin
           : name == "team" ? credential_role::team
                            : credential_role::reviewer;
}

template <class T>
T number_in(std::istringstream& in)
{
    std::uint64_t number = 0;
    in >> number;
    return T(number);
}

settings::setting_path path_in(std::istringstream& in)
{
    std::string text;
    in >> text;
    return path_of(text);
}

std::string rest_of(std::istringstream& in)
{
    std::string rest;
    std::getline(in >> std::ws, rest);
    return rest;
}

command command_of(const command_header& header, const std::string& verb, std::istringstream& in,
                   const std::vector<std::string>& body, const settings::setting_tree& present)
{
    if (verb == "change" || verb == "propose") {
        auto subtree = path_in(in);
        auto based_on = number_in<base::settings_version>(in);
        auto edit = edit_of(body, present);
        if (verb == "change") {
            return change_settings{header, subtree, based_on, edit};
        }
        std::chrono::seconds lifetime(number_in<std::int64_t>(in));
        return propose_settings{header, subtree, based_on, edit, lifetime};
    }
    if (verb == "approve") {
        return approve_proposal{header, number_in<proposal_id>(in)};
    }
    if (verb == "refuse") {
        auto id = number_in<proposal_id>(in);
        return refuse_proposal{header, id, rest_of(in)};
    }
    if (verb == "withdraw") {
        return withdraw_key{header, base::key_id(rest_of(in))};
    }
    if (verb == "evacuate" || verb == "end-evacuation") {
        std::string domain;
        in >> domain;
        set_evacuation order{header, base::failure_domain_id(domain), verb == "evacuate", {}};
        for (std::string known; in >> known;) {
            order.known_domains.emplace_back(known);
        }
        return order;
    }
    if (verb == "grant") {
        std::string name, role;
        in >> name >> role;
        credential created{base::operator_id(name), role_of(role), path_in(in),
                           token_hash(digest_of("token of " + name))};
        return create_credential{header, created};
    }
    if (verb == "revoke") {
        return remove_credential{header, base::operator_id(rest_of(in))};
    }
    EXPECT_EQ(verb, "tick");
    return advance_time{};
}

std::string format_reply(const change_reply& answer)
{
    std::ostringstream out;
    out << to_string(answer.verdict) << " version " << answer.version;
    if (answer.proposal != proposal_id()) {
        out << " proposal " << answer.proposal;
    }
    out << "\n";
    for (const auto& problem : answer.problems) {
        out << "  " << to_string(problem) << "\n";
    }
    if (answer.conflict) {
        out << "  now version " << answer.conflict->version << " by " << answer.conflict->author
            << " (" << answer.conflict->change << ")\n";
        std::istringstream lines(settings::to_string(answer.conflict->difference));
        for (std::string line; std::getline(lines, line);) {
            out << "  " << line << "\n";
        }
    }
    return out.str();
}

} // namespace

std::string session_runner::run(const std::string& text)
{
    std::string transcript;
    for (const auto& step : parse_steps(text)) {
        transcript += step.line + "\n";
        for (const auto& line : step.body) {
            transcript += "| " + line + "\n";
        }
        if (step.line.starts_with("> ")) {
            transcript += run_command(step);
        }
        else if (step.line.starts_with("? ")) {
            transcript += run_query(step.line);
        }
    }
    return transcript;
}

std::vector<session_runner::session_step> session_runner::parse_steps(const std::string& text)
{
    std::vector<session_step> steps;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
        bool starts = line.empty() || line.starts_with("# ") || line.starts_with("> ") ||
                      line.starts_with("? ");
        if (starts) {
            steps.push_back({line, {}});
        }
        else if (line.starts_with("| ")) {
            steps.back().body.push_back(line.substr(2));
        }
    }
    return steps;
}

std::string session_runner::run_command(const session_step& step)
{
    std::istringstream in(step.line.substr(2));
    std::string at, author, change, verb;
    in >> at >> author >> change >> verb;
    base::wall_time now(std::chrono::seconds(std::stoll(at.substr(1))));
    command_header header{base::change_id(change), base::operator_id(author), now};
    auto entry = command_of(header, verb, in, step.body, m_machine.tree());
    if (m_restarts) {
        restart();
    }
    auto before = m_machine.snapshot();
    auto expected = std::get<change_reply>(m_machine.pre_check(now, entry)).verdict;
    EXPECT_EQ(m_machine.snapshot(), before) << "pre_check() changed the state: " << step.line;
    m_position = log_position(m_position.value() + 1);
    auto answer = std::get<change_reply>(m_machine.apply({m_position, now}, entry));
    EXPECT_EQ(answer.verdict, expected) << "pre_check() and apply() disagree: " << step.line;
    return format_reply(answer);
}

std::string session_runner::run_query(const std::string& line) const
{
    std::istringstream in(line.substr(2));
    std::ostringstream out;
    std::string verb;
    in >> verb;
    if (verb == "pending") {
        for (const auto& entry : m_machine.pending(path_in(in))) {
            out << "proposal " << entry.id << " by " << entry.header.author << " on "
                << entry.subtree << "\n"
                << settings::to_string(entry.diff);
        }
    }
    else if (verb == "proposal") {
        const auto* found = m_machine.find_proposal(number_in<proposal_id>(in));
        out << (found == nullptr ? "unknown" : to_string(found->state)) << "\n";
    }
    else if (verb == "history") {
        for (const auto& record : m_machine.history(path_in(in), 100)) {
            out << "version " << record.version << " by " << record.author << " (" << record.change
                << "), proposal " << record.proposal << ", " << record.diff.changes.size()
                << " fields\n";
        }
    }
    else if (verb == "difference") {
        auto from = number_in<base::settings_version>(in);
        auto to = number_in<base::settings_version>(in);
        out << settings::to_string(m_machine.difference(from, to, path_in(in)).diff);
    }
    else if (verb == "export") {
        out << m_machine.export_ini(path_in(in));
    }
    else if (verb == "audit") {
        audit_query query;
        query.root = path_in(in);
        for (const auto& record : m_machine.audit().find(query)) {
            out << to_line(record) << "\n";
        }
        EXPECT_FALSE(m_machine.audit().verify().has_value());
    }
    // Indented, so that output cannot be taken for the start of a step.
    std::string text;
    std::istringstream lines(out.str());
    for (std::string output; std::getline(lines, output);) {
        text += "  " + output + "\n";
    }
    return text;
}

void session_runner::restart()
{
    state_machine restored;
    auto bytes = m_machine.snapshot();
    bool done = base::handle_failure(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(restored.restore(bytes));
            return true;
        },
        [](const base::failure& error) {
            ADD_FAILURE() << to_string(error);
            return false;
        });
    EXPECT_TRUE(done);
    EXPECT_EQ(restored.snapshot(), bytes);
    m_machine = std::move(restored);
}

} // namespace damaskladder::control
