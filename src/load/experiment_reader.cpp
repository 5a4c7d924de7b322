#include "load/experiment_reader.hpp"

#include "load/planned_requests.hpp"
#include "settings/section_reader.hpp"
#include "settings/value_parsers.hpp"

#include <algorithm>
#include <functional>
#include <set>

namespace damaskladder::load {

namespace {

using settings::problem_kind;
using settings::split_list;

/// Parses one value; returns false if it is malformed.
using value_reader = std::function<bool(const std::string& value)>;

constexpr std::string_view whole_seconds = "whole seconds from 1s to 1h, such as 30s";
constexpr std::string_view request_target = "a path that begins with '/', without spaces";
constexpr std::string_view short_duration = "a duration such as 2s";

template <class Into, class Parse>
value_reader parsed_into(Into& into, Parse parse)
{
    return [&into, parse](const std::string& value) {
        const auto parsed = parse(value);
        if (parsed) {
            into = Into(*parsed);
        }
        return parsed.has_value();
    };
}

value_reader count_into(unsigned& into, unsigned min, unsigned max)
{
    return [&into, min, max](const std::string& value) {
        const auto count = settings::parse_count(value);
        if (!count || *count < min || *count > max) {
            return false;
        }
        into = static_cast<unsigned>(*count);
        return true;
    };
}

value_reader path_into(std::string& into)
{
    return [&into](const std::string& value) {
        into = value;
        const auto printable = [](char c) { return c > ' ' && c < '\x7f'; };
        return value.starts_with('/') && std::all_of(value.begin(), value.end(), printable);
    };
}

value_reader method_into(std::string& into)
{
    return [&into](const std::string& value) {
        into = value;
        const std::set<std::string> known = {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};
        return known.contains(value);
    };
}

value_reader positive_into(base::duration& into)
{
    return [&into](const std::string& value) {
        into = settings::parse_duration(value).value_or(base::duration::zero());
        return into > base::duration::zero();
    };
}

value_reader whole_seconds_into(base::duration& into)
{
    return [&into](const std::string& value) {
        into = settings::parse_duration(value).value_or(base::duration::zero());
        return into > base::duration::zero() && into <= std::chrono::hours(1) &&
               into % std::chrono::seconds(1) == base::duration::zero();
    };
}

/// Parses a factor, which has the syntax of a rate without its unit: up to three decimals.
value_reader factor_into(rate_factor& into)
{
    return [&into](const std::string& value) {
        constexpr double thousandth = 0.001;
        constexpr double max = 1000;
        const auto parsed = settings::parse_rate(value + "/s");
        into = rate_factor(parsed ? static_cast<double>(parsed->value()) * thousandth : -1);
        return into >= rate_factor(0) && into <= rate_factor(max);
    };
}

value_reader rate_into(request_rate& into)
{
    return [&into](const std::string& value) {
        constexpr double thousandth = 0.001;
        const auto parsed = settings::parse_rate(value);
        into = request_rate(parsed ? static_cast<double>(parsed->value()) * thousandth : 0);
        return into > request_rate(0);
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

class reader {
public:
    reader(std::string_view text, const std::string& file, address_policy allowed)
        : m_allowed(allowed), m_reader(text, file)
    {
    }

    experiment_document read()
    {
        read_experiment_section();
        for (const auto& [path, entry] : m_reader.tree()) {
            read_named_section(path);
        }
        m_reader.check_unknown_sections(
            "one of experiment, streams/NAME, surges/NAME, commands/NAME, workspaces/NAME");
        check_streams();
        check_times();
        check_size();
        return {std::move(m_plan), m_reader.problems()};
    }

private:
    value_reader address_into(http::address& into) const
    {
        return [&into, this](const std::string& value) {
            const auto address = read_address(value);
            into = address.value_or(http::address());
            return address && address->port != 0 &&
                   (m_allowed == address_policy::any || address->ip.starts_with("127."));
        };
    }

    std::string expected_address() const
    {
        return m_allowed == address_policy::any
                   ? "IP:PORT"
                   : "IP:PORT on loopback (127.x.x.x), or the option --any-address";
    }

    void read_experiment_section()
    {
        auto& plan = m_plan;
        m_reader.read(
            "experiment",
            {{"seed", "a number", false, parsed_into(plan.seed, settings::parse_count)},
             {"duration", std::string(whole_seconds), true, whole_seconds_into(plan.duration)},
             {"targets", "a list of " + expected_address(), true,
              [this](const std::string& value) { return read_targets(value); }},
             {"max_outstanding",
              "a number from 1 to " + std::to_string(experiment::max_outstanding_limit), false,
              count_into(plan.max_outstanding, 1, experiment::max_outstanding_limit)},
             {"timeout", std::string(short_duration), false, positive_into(plan.timeout)}});
    }

    bool read_targets(const std::string& value)
    {
        for (const auto& item : split_list(value)) {
            if (!address_into(m_plan.targets.emplace_back())(item)) {
                return false;
            }
        }
        return true;
    }

    void read_named_section(const settings::setting_path& path)
    {
        if (path.depth() != 2) {
            return;
        }
        const std::string name(path.part(1));
        if (path.part(0) == "streams") {
            read_stream(path.text(), name);
        }
        else if (path.part(0) == "surges") {
            read_surge(path.text());
        }
        else if (path.part(0) == "commands") {
            read_command(path.text());
        }
        else if (path.part(0) == "workspaces") {
            read_workspace(path.text(), name);
        }
    }

    void read_stream(const std::string& section, const std::string& name)
    {
        constexpr unsigned max_retries = 100;
        auto& stream = m_plan.streams.emplace_back();
        stream.name = stream_name(name);
        const auto importance = [&stream](const std::string& value) {
            stream.importance = value;
            return settings::parse_importance(value).has_value();
        };
        const auto workspace = [&stream](const std::string& value) {
            stream.workspace = base::workspace_id(value);
            return settings::is_name(value);
        };
        const auto key_file = [&stream](const std::string& value) {
            stream.key_file = value;
            return !value.empty();
        };
        m_reader.read(
            section,
            {{"path", std::string(request_target), true, path_into(stream.path)},
             {"workspace", "a name", true, workspace},
             {"rate", "a rate above 0 such as 100/s", true, rate_into(stream.rate)},
             {"key_file", "the path of a file with a key", false, key_file},
             {"importance", "background, low, normal or critical", false, importance},
             {"method", "GET, HEAD, POST, PUT, PATCH or DELETE", false, method_into(stream.method)},
             {"non_idempotent", "yes or no", false,
              parsed_into(stream.non_idempotent, settings::parse_yes_no)},
             {"retries", "a number from 0 to 100", false,
              count_into(stream.retries, 0, max_retries)},
             {"within_rate", "yes or no", false,
              parsed_into(stream.within_rate, settings::parse_yes_no)}});
    }

    void read_surge(const std::string& section)
    {
        auto& surge = m_plan.surges.emplace_back();
        surge.name = cause_name(section);
        const auto stream = [&surge](const std::string& value) {
            surge.stream = stream_name(value);
            return settings::is_name(value);
        };
        m_reader.read(
            section,
            {{"stream", "the name of a stream", true, stream},
             {"start", std::string(short_duration), true,
              parsed_into(surge.start, settings::parse_duration)},
             {"length", std::string(short_duration), true, positive_into(surge.length)},
             {"factor", "a number from 0 to 1000 such as 2.5", true, factor_into(surge.factor)}});
    }

    void read_command(const std::string& section)
    {
        auto& command = m_plan.commands.emplace_back();
        command.name = cause_name(section);
        m_reader.read(section,
                      {{"at", std::string(short_duration), true,
                        parsed_into(command.at, settings::parse_duration)},
                       {"target", expected_address(), true, address_into(command.target)},
                       {"path", std::string(request_target), true, path_into(command.path)},
                       {"method", "GET, HEAD, POST, PUT, PATCH or DELETE", false,
                        method_into(command.method)},
                       {"ends_cause", "yes or no", false,
                        parsed_into(command.ends_cause, settings::parse_yes_no)}});
    }

    void read_workspace(const std::string& section, const std::string& name)
    {
        constexpr unsigned max = 1000;
        unsigned weight = 1;
        m_reader.read(section,
                      {{"weight", "a number from 1 to 1000", true, count_into(weight, 1, max)}});
        m_plan.weights[base::workspace_id(name)] = base::share_weight(weight);
    }

    void check_streams()
    {
        if (m_plan.streams.empty()) {
            m_reader.add(problem_kind::missing_field, "experiment", {}, "a section [streams/NAME]");
        }
        std::set<stream_name> names;
        std::set<base::workspace_id> workspaces;
        for (const auto& stream : m_plan.streams) {
            names.insert(stream.name);
            workspaces.insert(stream.workspace);
        }
        for (const auto& surge : m_plan.surges) {
            if (!surge.stream.value().empty() && !names.contains(surge.stream)) {
                m_reader.add(problem_kind::missing_reference, surge.name.value(), "stream",
                             "the name of a section [streams/NAME]");
            }
        }
        for (const auto& [workspace, weight] : m_plan.weights) {
            if (!workspaces.contains(workspace)) {
                m_reader.add(problem_kind::missing_reference, "workspaces/" + workspace.value(), {},
                             "a workspace that a stream names");
            }
        }
    }

    void check_times()
    {
        // A missing duration is already reported; every time would be reported as out of range as
        // well.
        if (m_plan.duration <= base::duration::zero()) {
            return;
        }
        for (const auto& surge : m_plan.surges) {
            if (surge.start + surge.length > m_plan.duration) {
                m_reader.add(problem_kind::out_of_range, surge.name.value(), "length",
                             "an end within the duration of the experiment");
            }
        }
        for (const auto& command : m_plan.commands) {
            if (command.at > m_plan.duration) {
                m_reader.add(problem_kind::out_of_range, command.name.value(), "at",
                             "a time within the duration of the experiment");
            }
        }
    }

    void check_size()
    {
        if (planned_attempts(m_plan) > experiment::max_requests) {
            m_reader.add(problem_kind::too_many, "experiment", "duration",
                         "at most 5000000 attempts in all, surges and retries included");
        }
    }

    address_policy m_allowed;
    settings::section_reader m_reader;
    experiment m_plan;
};

} // namespace

experiment_document read_experiment(std::string_view text, const std::string& file,
                                    address_policy allowed)
{
    return reader(text, file, allowed).read();
}

} // namespace damaskladder::load
