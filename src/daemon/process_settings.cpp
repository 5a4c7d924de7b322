#include "daemon/process_settings.hpp"

#include "consensus/replica_options.hpp"
#include "control/command_bounds.hpp"
#include "settings/section_reader.hpp"
#include "settings/value_parsers.hpp"

#include <algorithm>
#include <charconv>
#include <functional>
#include <set>
#include <sstream>

namespace damaskladder::daemon {

namespace {

using settings::problem_kind;
using settings::split_list;

/// Parses one value; returns false if it is malformed.
using value_reader = std::function<bool(const std::string& value)>;

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

value_reader addresses_into(std::vector<http::address>& into)
{
    return [&into](const std::string& value) {
        for (const auto& item : split_list(value)) {
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

/// Names separated by commas with any number of spaces, as templates write them; may be empty.
value_reader domains_into(std::vector<base::failure_domain_id>& into)
{
    return [&into](const std::string& value) {
        std::istringstream items(value);
        for (std::string item; std::getline(items, item, ',');) {
            const auto first = item.find_first_not_of(' ');
            const auto last = item.find_last_not_of(' ');
            item = first == std::string::npos ? "" : item.substr(first, last - first + 1);
            if (!settings::is_name(item)) {
                return false;
            }
            into.emplace_back(item);
        }
        return into.size() <= control::max_known_domains;
    };
}

value_reader count_into(unsigned& into, unsigned highest, unsigned lowest = 1)
{
    return [&into, highest, lowest](const std::string& value) {
        const auto count = settings::parse_count(value);
        if (!count || *count < lowest || *count > highest) {
            return false;
        }
        into = static_cast<unsigned>(*count);
        return true;
    };
}

/// Reads a decimal number from 0 to 1000.
std::optional<double> read_decimal(const std::string& value)
{
    constexpr double highest = 1'000;
    double number = 0;
    const char* end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, number, std::chars_format::fixed);
    const bool valid = parsed.ec == std::errc() && parsed.ptr == end && number >= 0;
    return valid && number <= highest ? std::optional(number) : std::nullopt;
}

value_reader flag_into(bool& into)
{
    return [&into](const std::string& value) {
        const auto flag = settings::parse_yes_no(value);
        into = flag.value_or(false);
        return flag.has_value();
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
    reader(std::string_view text, const std::string& file) : m_reader(text, file) {}

    process_settings_document read()
    {
        read_process();
        read_replicas();
        read_discovery();
        read_node();
        read_control();
        read_log();
        m_reader.check_unknown_sections(
            "one of process, seeds, replicas/NAME, discovery, node, announce, control, log");
        check_combination();
        return {std::move(m_settings), m_reader.problems()};
    }

private:
    void read_process()
    {
        auto& s = m_settings;
        m_reader.read(
            "process",
            {{"name", "a name unique in the fleet", true,
              name_into([&s](std::string text) { s.name = base::node_id(std::move(text)); })},
             {"failure_domain", "the name of a failure domain", true,
              name_into(
                  [&s](std::string text) { s.domain = base::failure_domain_id(std::move(text)); })},
             {"secret_file", "the path of the file with the cluster secret", false,
              text_into(s.secret_file)},
             {"secret", "64 hexadecimal digits", false, text_into(s.secret)},
             {"interface", "own or platform", false,
              one_of({"own", "platform"}, [&s](const std::string& word) { s.interface = word; })},
             {"messages", "IP:PORT", true, address_into(s.messages)}});
        m_reader.read("seeds",
                      {{"addresses", "a list of IP:PORT", false, addresses_into(s.seeds)}});
    }

    void read_replicas()
    {
        for (const auto& [path, entry] : m_reader.tree()) {
            if (path.part(0) != "replicas" || path.depth() != 2) {
                continue;
            }
            http::address address;
            m_reader.read(path.text(), {{"messages", "IP:PORT", true, address_into(address)}});
            m_settings.replicas[base::node_id(std::string(path.part(1)))] = address;
        }
    }

    void read_discovery()
    {
        if (!m_reader.has("discovery")) {
            return;
        }
        constexpr unsigned max_port = 65535;
        auto& s = m_settings;
        std::vector<http::address> control_vms;
        unsigned port = 0;
        m_reader.read("discovery",
                      {{"control_vms", "a list of IP:PORT", false, addresses_into(control_vms)},
                       {"messages_port", "a port number", true, count_into(port, max_port)},
                       {"forms_cluster", "yes or no", false, flag_into(s.forms_cluster)},
                       {"membership", "failure_domains or fleet", false,
                        one_of({"failure_domains", "fleet"}, [&s](const std::string& word) {
                            s.whole_fleet_membership = word == "fleet";
                        })}});
        s.discovers_replicas = true;
        s.messages_port = static_cast<std::uint16_t>(port);
        for (const auto& vm : control_vms) {
            const http::address messages{vm.ip, s.messages_port};
            s.replicas[base::node_id(vm.ip)] = messages;
            s.seeds.push_back(messages);
        }
    }

    void read_node()
    {
        if (!m_reader.has("node")) {
            return;
        }
        constexpr unsigned max_connections = 60000;
        // Each open request may hold a body and a response of 64 KiB.
        constexpr unsigned max_requests_ahead = 1000;
        auto& node = m_settings.node.emplace();
        m_reader.read(
            "node",
            {{"callers", "IP:PORT", true, address_into(node.listen.callers)},
             {"peers", "IP:PORT", true, address_into(node.listen.peers)},
             {"backend_server", "IP:PORT", true, address_into(node.listen.backend_server)},
             {"connections", "a number from 1 to 60000", false,
              count_into(node.connections, max_connections)},
             {"requests_ahead", "a number from 1 to 1000", false,
              count_into(node.requests_ahead, max_requests_ahead)},
             {"stop_limit", "a duration such as 30s", false, duration_into(node.stop_limit)},
             {"retry_budget", "a fraction above 0 and at most 1", false,
              [&node](const std::string& value) {
                  const auto part = settings::parse_share(value);
                  node.retry_budget = part ? part->value() : 0;
                  return part.has_value();
              }},
             {"guard_processor", "yes or no", false, flag_into(node.guard_processor)},
             {"admit_by_call_tree", "yes or no", false, flag_into(node.admit_by_call_tree)},
             {"place_by_completion", "yes or no", false, flag_into(node.place_by_completion)},
             {"crossing_cost", "a duration such as 10ms", false, duration_into(node.crossing_cost)},
             {"serve_while_stopping", "yes or no", false, flag_into(node.serve_while_stopping)},
             {"ready", "IP:PORT", false, [&node](const std::string& value) {
                  node.listen.ready = read_address(value);
                  return node.listen.ready.has_value();
              }}});
        m_reader.read(
            "announce",
            {{"credential", "a string", false, text_into(node.credential)},
             {"services", "a list of service names", false, services_into(node.services)},
             {"host", "an IP address", false, text_into(node.backend_server_host)},
             {"exact_slots", "yes or no", false, flag_into(node.exact_slots)},
             {"interval", "a duration such as 1s", false, duration_into(node.announce_interval)}});
    }

    void read_control()
    {
        if (!m_reader.has("control")) {
            return;
        }
        // With the largest number of voters, see consensus::replica_options.
        constexpr unsigned max_tolerated_losses = 7;
        auto& control = m_settings.replica.emplace();
        m_reader.read("control",
                      {{"operators", "IP:PORT", true, address_into(control.operators)},
                       {"data", "the path of the data folder", true, text_into(control.data)},
                       {"admin", "the name of the first admin", false,
                        name_into([&control](std::string text) {
                            control.admin = base::operator_id(std::move(text));
                        })},
                       {"key_withdrawal", "a duration such as 5s", false,
                        duration_into(control.key_withdrawal)},
                       {"failure_domains", "a list of at most 100 names", false,
                        domains_into(control.failure_domains)},
                       {"tolerated_losses", "a number from 0 to 7", false,
                        count_into(control.tolerated_losses, max_tolerated_losses, 0)},
                       {"cold_rate_factor", "a number from 0 to 1000", false,
                        [&control](const std::string& value) {
                            control.cold_rate_factor = read_decimal(value);
                            return control.cold_rate_factor.has_value();
                        }},
                       {"cold_rate_slack", "a number from 0 to 1000", false,
                        [&control](const std::string& value) {
                            const auto slack = read_decimal(value);
                            control.cold_rate_slack = slack.value_or(0);
                            return slack.has_value();
                        }},
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
        m_reader.read("log", {{"level", "debug, info, warn or error", false,
                               one_of({"debug", "info", "warn", "error"},
                                      [&log](const std::string& word) { log.level = word; })},
                              {"format", "text or json", false,
                               one_of({"text", "json"}, [&log](const std::string& word) {
                                   log.json = word == "json";
                               })}});
    }

    void check_combination()
    {
        if (!m_settings.node && !m_settings.replica) {
            m_reader.add(problem_kind::missing_field, "process", {},
                         "a section [node] or [control]");
        }
        if (m_settings.secret_file.empty() == m_settings.secret.empty()) {
            m_reader.add(problem_kind::missing_field, "process", "secret_file",
                         "the path of the file with the cluster secret, or the secret itself");
        }
        if (m_settings.replica && !m_settings.discovers_replicas &&
            !m_settings.replicas.contains(m_settings.name)) {
            m_reader.add(problem_kind::missing_reference, "control", {},
                         "a section [replicas/NAME] for this process");
        }
        const auto max_replicas = consensus::replica_options().max_members;
        if (m_settings.replicas.size() > max_replicas) {
            const bool discovered = m_settings.discovers_replicas;
            m_reader.add(problem_kind::out_of_range, discovered ? "discovery" : "process",
                         discovered ? "control_vms" : "",
                         "at most " + std::to_string(max_replicas) + " control replicas");
        }
    }

    settings::section_reader m_reader;
    process_settings m_settings;
};

} // namespace

process_settings_document read_process_settings(std::string_view text, const std::string& file)
{
    return reader(text, file).read();
}

} // namespace damaskladder::daemon
