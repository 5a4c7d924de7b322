#include "daemon/process_settings.hpp"

#include "settings/ini_reader.hpp"
#include "settings/value_parsers.hpp"

#include <algorithm>
#include <functional>
#include <set>

namespace damaskladder::daemon {

namespace {

using settings::problem_kind;

/// Reads one value into the settings; false if it is malformed.
using value_reader = std::function<bool(const std::string& value)>;

struct field_spec {
    std::string name;
    std::string expected;
    bool required;
    value_reader read;
};

value_reader name_into(std::function<void(std::string)> set)
{
    return [set = std::move(set)](const std::string& value) {
        set(value);
        return settings::is_name(value);
    };
}

value_reader text_into(std::string& into)
{
    return [&into](const std::string& value) {
        into = value;
        return !value.empty();
    };
}

std::optional<http::address> read_address(const std::string& value)
{
    return base::handle_failure(
        [&]() -> base::result<std::optional<http::address>> {
            BOOST_LEAF_AUTO(address, http::parse_address(value));
            return std::optional(address);
        },
        [](const base::failure&) { return std::optional<http::address>(); });
}

value_reader address_into(http::address& into)
{
    return [&into](const std::string& value) {
        const auto address = read_address(value);
        into = address.value_or(http::address());
        return address.has_value();
    };
}

std::vector<std::string> split(const std::string& value)
{
    std::vector<std::string> items;
    std::size_t start = 0;
    while (start <= value.size()) {
        const auto end = std::min(value.find(", ", start), value.size());
        items.push_back(value.substr(start, end - start));
        start = end + 2;
    }
    return items;
}

value_reader addresses_into(std::vector<http::address>& into)
{
    return [&into](const std::string& value) {
        for (const auto& item : split(value)) {
            const auto address = read_address(item);
            if (!address) {
                return false;
            }
            into.push_back(*address);
        }
        return true;
    };
}

value_reader services_into(std::vector<base::service_id>& into)
{
    return [&into](const std::string& value) {
        const auto names = settings::parse_names(value);
        for (const auto& name : names.value_or(std::vector<std::string>())) {
            into.emplace_back(name);
        }
        return names.has_value();
    };
}

value_reader count_into(unsigned& into, unsigned highest)
{
    return [&into, highest](const std::string& value) {
        const auto count = settings::parse_count(value);
        if (!count || *count < 1 || *count > highest) {
            return false;
        }
        into = static_cast<unsigned>(*count);
        return true;
    };
}

value_reader duration_into(base::duration& into)
{
    return [&into](const std::string& value) {
        const auto time = settings::parse_duration(value);
        into = time.value_or(base::duration());
        return time.has_value();
    };
}

value_reader one_of(std::vector<std::string> words, std::function<void(const std::string&)> set)
{
    return [words = std::move(words), set = std::move(set)](const std::string& value) {
        set(value);
        return std::find(words.begin(), words.end(), value) != words.end();
    };
}

class reader {
public:
    reader(std::string_view text, const std::string& file)
        : m_file(file), m_document(settings::read_ini(text, file))
    {
    }

    process_settings_document read()
    {
        read_process();
        read_replicas();
        read_node();
        read_control();
        read_log();
        check_unknown_sections();
        check_combination();
        m_document.lines.locate(m_file, m_problems);
        auto problems = m_document.problems;
        problems.insert(problems.end(), m_problems.begin(), m_problems.end());
        return {std::move(m_settings), std::move(problems)};
    }

private:
    static settings::setting_path path(const std::string& section)
    {
        return settings::setting_path::parse(section).value();
    }

    bool has(const std::string& section) const
    {
        return m_document.tree.find(path(section)) != nullptr;
    }

    void add(problem_kind kind, const std::string& section, const std::string& field,
             const std::string& expected)
    {
        m_problems.push_back({kind, {}, {}, path(section), settings::field_name(field), expected});
    }

    void read_section(const std::string& section, const std::vector<field_spec>& fields)
    {
        m_known.insert(section);
        const auto* entry = m_document.tree.find(path(section));
        for (const auto& field : fields) {
            const auto* value =
                entry == nullptr ? nullptr : entry->find(settings::field_name(field.name));
            if (value == nullptr) {
                if (field.required) {
                    add(problem_kind::missing_field, section, field.name, field.expected);
                }
            }
            else if (!field.read(value->value())) {
                add(problem_kind::wrong_format, section, field.name, field.expected);
            }
        }
        if (entry != nullptr) {
            check_unknown_fields(section, *entry, fields);
        }
    }

    void check_unknown_fields(const std::string& section, const settings::setting_entry& entry,
                              const std::vector<field_spec>& fields)
    {
        std::string known;
        for (const auto& field : fields) {
            known += (known.empty() ? "one of " : ", ") + field.name;
        }
        for (const auto& given : entry) {
            const auto& name = given.first.value();
            const auto same = [&](const field_spec& field) { return field.name == name; };
            if (std::none_of(fields.begin(), fields.end(), same)) {
                add(problem_kind::unknown_field, section, name, known);
            }
        }
    }

    void read_process()
    {
        auto& s = m_settings;
        read_section(
            "process",
            {{"name", "a name unique in the fleet", true,
              name_into([&s](std::string text) { s.name = base::node_id(std::move(text)); })},
             {"failure_domain", "the name of a failure domain", true,
              name_into(
                  [&s](std::string text) { s.domain = base::failure_domain_id(std::move(text)); })},
             {"secret_file", "the path of the file with the cluster secret", true,
              text_into(s.secret_file)},
             {"messages", "IP:PORT", true, address_into(s.messages)}});
        read_section("seeds", {{"addresses", "a list of IP:PORT", false, addresses_into(s.seeds)}});
    }

    void read_replicas()
    {
        for (const auto& [path, entry] : m_document.tree) {
            if (path.part(0) != "replicas" || path.depth() != 2) {
                continue;
            }
            http::address address;
            read_section(path.text(), {{"messages", "IP:PORT", true, address_into(address)}});
            m_settings.replicas[base::node_id(std::string(path.part(1)))] = address;
        }
    }

    void read_node()
    {
        if (!has("node")) {
            return;
        }
        constexpr unsigned most_connections = 60000;
        auto& node = m_settings.node.emplace();
        read_section(
            "node",
            {{"callers", "IP:PORT", true, address_into(node.listen.callers)},
             {"peers", "IP:PORT", true, address_into(node.listen.peers)},
             {"backend_server", "IP:PORT", true, address_into(node.listen.backend_server)},
             {"connections", "a number from 1 to 60000", false,
              count_into(node.connections, most_connections)},
             {"stop_limit", "a duration such as 30s", false, duration_into(node.stop_limit)}});
        read_section("announce", {{"credential", "a text", false, text_into(node.credential)},
                                  {"services", "a list of service names", false,
                                   services_into(node.services)}});
    }

    void read_control()
    {
        if (!has("control")) {
            return;
        }
        auto& control = m_settings.replica.emplace();
        read_section("control",
                     {{"operators", "IP:PORT", true, address_into(control.operators)},
                      {"data", "the path of the data folder", true, text_into(control.data)},
                      {"admin", "the name of the first admin", false,
                       name_into([&control](std::string text) {
                           control.admin = base::operator_id(std::move(text));
                       })},
                      {"admin_token_hash", "64 hexadecimal digits, see damaskladder hash-token",
                       false, [&control](const std::string& value) {
                           const auto hash = settings::parse_key_hash(value);
                           control.admin_token = hash.value_or(base::key_hash());
                           return hash.has_value();
                       }}});
    }

    void read_log()
    {
        auto& log = m_settings.log;
        read_section("log", {{"level", "debug, info, warn or error", false,
                              one_of({"debug", "info", "warn", "error"},
                                     [&log](const std::string& word) { log.level = word; })},
                             {"format", "text or json", false,
                              one_of({"text", "json"}, [&log](const std::string& word) {
                                  log.json = word == "json";
                              })}});
    }

    void check_unknown_sections()
    {
        for (const auto& [path, entry] : m_document.tree) {
            if (!m_known.contains(path.text())) {
                add(problem_kind::unknown_path, path.text(), {},
                    "one of process, seeds, replicas/NAME, node, announce, control, log");
            }
        }
    }

    void check_combination()
    {
        if (!m_settings.node && !m_settings.replica) {
            add(problem_kind::missing_field, "process", {}, "a section [node] or [control]");
        }
        if (m_settings.replica && !m_settings.replicas.contains(m_settings.name)) {
            add(problem_kind::missing_reference, "control", {},
                "a section [replicas/NAME] for this process");
        }
    }

    std::string m_file;
    settings::ini_document m_document;
    process_settings m_settings;
    settings::settings_problems m_problems;
    std::set<std::string> m_known;
};

} // namespace

process_settings_document read_process_settings(std::string_view text, const std::string& file)
{
    return reader(text, file).read();
}

} // namespace damaskladder::daemon
