#include "settings/schema.hpp"

#include "settings/value_limits.hpp"
#include "settings/value_parsers.hpp"

#include <array>
#include <optional>
#include <string>

namespace damaskladder::settings {

namespace {

constexpr std::int64_t milliseconds = 1'000;
constexpr std::int64_t seconds = 1'000'000;
constexpr std::int64_t hours = 3'600 * seconds;
constexpr std::int64_t mebibytes = 1024 * 1024;

constexpr std::array route_rules = {
    field_rule{"prefix", field_kind::path_prefix, true, 1, 128,
               "a request path of at most 128 characters, for example /payments"},
    field_rule{"host", field_kind::name, false, 0, 0, "a host name without a port"},
    field_rule{"service", field_kind::name, true, 0, 0, "the name of a service"},
    field_rule{"split", field_kind::split, false, 1, 20,
               "up to 20 of SERVICE:WEIGHT joined by \", \", with weights from 0 to 1000000"},
    field_rule{"open", field_kind::yes_no, false, 0, 0, "yes or no"},
    field_rule{"idempotent", field_kind::yes_no, true, 0, 0, "yes or no"},
    field_rule{"streaming", field_kind::yes_no, false, 0, 0, "yes or no"},
    field_rule{"importance", field_kind::importance, false, 0, 0,
               "background, low, normal or critical"},
    field_rule{"timeout", field_kind::duration, false, 1 * milliseconds, 600 * seconds,
               "a duration from 1ms to 600s, with its unit"},
    field_rule{"workspaces", field_kind::names_or_all, false, 1, 100,
               "up to 100 workspaces joined by \", \", or *"},
    field_rule{"latency_goal", field_kind::duration, false, 1 * milliseconds, 600 * seconds,
               "a duration from 1ms to 600s, with its unit"},
    field_rule{"retries", field_kind::count, false, 0, 10, "a number from 0 to 10"},
    field_rule{"attempts", field_kind::count, false, 1, 10, "a number from 1 to 10"},
    field_rule{"run_once_per", field_kind::once_scope, false, 0, 0, "request_id or attempt"},
    field_rule{"max_body", field_kind::bytes, false, 0, 64 * mebibytes,
               "a size from 0B to 64MiB, with its unit"}};

constexpr std::array workspace_rules = {
    field_rule{"rate", field_kind::rate, true, 1, 1'000'000'000,
               "a rate from 0.001/s to 1000000/s, with \"/s\""},
    field_rule{"burst", field_kind::count, true, 1, 10'000'000, "a number from 1 to 10000000"},
    field_rule{"rank", field_kind::count, false, 0, 1'000'000,
               "a number from 0 to 1000000; 0 goes first"},
    field_rule{"weight", field_kind::count, false, 1, 1'000, "a number from 1 to 1000"}};

constexpr std::array key_rules = {
    field_rule{"workspace", field_kind::name, true, 0, 0, "the name of a workspace of this team"},
    field_rule{"hash", field_kind::hash, true, 0, 0, "64 lower-case hexadecimal digits"},
    field_rule{"state", field_kind::key_state, true, 0, 0, "active or withdrawn"}};

constexpr std::array limits_rules = {
    field_rule{"max_staleness", field_kind::duration, false, 1 * seconds, 24 * hours,
               "a duration from 1s to 24h, with its unit"},
    field_rule{"max_queue", field_kind::count, false, 0, 10'000, "a number from 0 to 10000"},
    field_rule{"slow_start", field_kind::duration, false, 0, 600 * seconds,
               "a duration from 0s to 600s, with its unit"},
    field_rule{"ejection", field_kind::duration, false, 1 * seconds, 600 * seconds,
               "a duration from 1s to 600s, with its unit"},
    field_rule{"max_ejected_percent", field_kind::count, false, 0, 50, "a number from 0 to 50"}};

constexpr std::array policy_rules = {
    field_rule{"revision", field_kind::count, true, 1, 1'000, "a number from 1 to 1000"}};

constexpr std::array service_rules = {field_rule{"cold_rate", field_kind::rate, false, 1,
                                                 1'000'000'000,
                                                 "a rate from 0.001/s to 1000000/s, with \"/s\""},
                                      field_rule{"cold_burst", field_kind::count, false, 1,
                                                 10'000'000, "a number from 1 to 10000000"}};

constexpr std::array failure_domain_rules = {
    field_rule{"share", field_kind::share, false, 0, 0,
               "a fraction above 0 and at most 1, for example 1/3 or 0.25"},
    field_rule{"region", field_kind::name, true, 0, 0, "the name of a region"},
    field_rule{"lease_voters", field_kind::names, true, 1, 5,
               "1, 3 or 5 names of nodes joined by \", \""}};

constexpr std::array evacuation_rules = {
    field_rule{"active", field_kind::yes_no, true, 0, 0, "yes or no"}};

bool in_range(const field_rule& rule, std::int64_t amount)
{
    return amount >= rule.minimum && amount <= rule.maximum;
}

/// Checks the result of a parser: format and range.
template <class Parsed, class Amount>
std::optional<problem_kind> check_parsed(const field_rule& rule,
                                         const std::optional<Parsed>& parsed, Amount amount)
{
    if (!parsed) {
        return problem_kind::wrong_format;
    }
    if (!in_range(rule, amount(*parsed))) {
        return problem_kind::out_of_range;
    }
    return std::nullopt;
}

std::optional<problem_kind> check_format(bool well_formed)
{
    return well_formed ? std::nullopt : std::optional(problem_kind::wrong_format);
}

std::optional<problem_kind> check_value(const field_rule& rule, const std::string& value)
{
    auto size = [](const auto& list) { return static_cast<std::int64_t>(list.size()); };
    switch (rule.kind) {
    case field_kind::path_prefix:
        return is_path_prefix(value) ? check_parsed(rule, std::optional(value), size)
                                     : std::optional(problem_kind::wrong_format);
    case field_kind::name:
        return check_format(is_name(value));
    case field_kind::names:
        return check_parsed(rule, parse_names(value), size);
    case field_kind::names_or_all:
        return value == "*" ? std::nullopt : check_parsed(rule, parse_names(value), size);
    case field_kind::split:
        return check_parsed(rule, parse_split(value), size);
    case field_kind::once_scope:
        return check_format(parse_once_scope(value).has_value());
    case field_kind::yes_no:
        return check_format(parse_yes_no(value).has_value());
    case field_kind::importance:
        return check_format(parse_importance(value).has_value());
    case field_kind::duration:
        return check_parsed(rule, parse_duration(value),
                            [](auto parsed) { return parsed.count(); });
    case field_kind::bytes:
        return check_parsed(rule, parse_bytes(value), [](auto parsed) { return parsed.value(); });
    case field_kind::count:
        return check_parsed(rule, parse_count(value), [](auto parsed) { return parsed; });
    case field_kind::rate:
        return check_parsed(rule, parse_rate(value), [](auto parsed) { return parsed.value(); });
    case field_kind::share:
        return check_format(parse_share(value).has_value());
    case field_kind::hash:
        return check_format(parse_key_hash(value).has_value());
    case field_kind::key_state:
        return check_format(parse_key_state(value).has_value());
    }
    return problem_kind::wrong_format;
}

const field_rule* find_rule(std::span<const field_rule> rules, const field_name& field)
{
    for (const auto& rule : rules) {
        if (rule.name == field.value()) {
            return &rule;
        }
    }
    return nullptr;
}

std::string known_fields(std::span<const field_rule> rules)
{
    std::string text = "one of";
    for (const auto& rule : rules) {
        text += &rule == rules.data() ? " " : ", ";
        text += rule.name;
    }
    return text;
}

bool has_value(const setting_entry& entry, const char* field, std::string_view value)
{
    const auto* existing = entry.find(field_name(field));
    return existing != nullptr && existing->value() == value;
}

settings_problem problem_at(problem_kind kind, const setting_path& path, const char* field,
                            std::string expected)
{
    return {kind, {}, {}, path, field_name(field), std::move(expected)};
}

void check_route(const setting_path& path, const setting_entry& entry, settings_problems& problems)
{
    bool has_workspaces = entry.find(field_name("workspaces")) != nullptr;
    bool open = has_value(entry, "open", "yes");
    if (open && has_workspaces) {
        problems.push_back(problem_at(problem_kind::contradiction, path, "workspaces",
                                      "no workspaces on an open route"));
    }
    // Claims are identified by workspace and request id, and callers of an open route have no
    // workspace.
    const bool needs_claim = !has_value(entry, "run_once_per", "attempt");
    if (open && needs_claim && has_value(entry, "idempotent", "no")) {
        problems.push_back(problem_at(problem_kind::contradiction, path, "idempotent",
                                      "yes on an open route, or a route with workspaces"));
    }
    if (!open && !has_workspaces) {
        problems.push_back(problem_at(problem_kind::missing_field, path, "workspaces",
                                      "the workspaces that may use the route, or open = yes"));
    }
}

void check_failure_domain(const setting_path& path, const setting_entry& entry,
                          settings_problems& problems)
{
    const auto* voters = entry.find(field_name("lease_voters"));
    auto names = voters == nullptr ? std::nullopt : parse_names(voters->value());
    if (names && names->size() % 2 == 0) {
        problems.push_back(problem_at(problem_kind::out_of_range, path, "lease_voters",
                                      "an odd number of nodes, so that a majority exists"));
    }
}

void check_fields(const setting_path& path, const setting_entry& entry,
                  std::span<const field_rule> rules, settings_problems& problems)
{
    for (const auto& [field, value] : entry) {
        const auto* rule = find_rule(rules, field);
        if (rule == nullptr) {
            problems.push_back(
                {problem_kind::unknown_field, {}, {}, path, field, known_fields(rules)});
            continue;
        }
        if (value.value().size() > max_value_length) {
            problems.push_back({problem_kind::too_long,
                                {},
                                {},
                                path,
                                field,
                                "a value of at most 1000 characters"});
            continue;
        }
        if (auto kind = check_value(*rule, value.value())) {
            problems.push_back({*kind, {}, {}, path, field, std::string(rule->expected)});
        }
    }
    for (const auto& rule : rules) {
        field_name field{std::string(rule.name)};
        if (rule.required && entry.find(field) == nullptr) {
            problems.push_back(
                {problem_kind::missing_field, {}, {}, path, field, std::string(rule.expected)});
        }
    }
}

} // namespace

std::span<const field_rule> rules_of(entry_kind kind)
{
    switch (kind) {
    case entry_kind::route:
        return route_rules;
    case entry_kind::workspace:
        return workspace_rules;
    case entry_kind::key:
        return key_rules;
    case entry_kind::limits:
        return limits_rules;
    case entry_kind::policy:
        return policy_rules;
    case entry_kind::failure_domain:
        return failure_domain_rules;
    case entry_kind::evacuation:
        return evacuation_rules;
    case entry_kind::service:
        return service_rules;
    }
    return {};
}

settings_problems check_entry(const setting_path& path, const setting_entry& entry)
{
    settings_problems problems;
    auto kind = kind_of(path);
    if (!kind) {
        problems.push_back({problem_kind::unknown_path,
                            {},
                            {},
                            path,
                            {},
                            "teams/TEAM/{routes,workspaces,keys,services}/NAME, "
                            "teams/TEAM/{limits,policy}, fleet/domains/NAME "
                            "or fleet/evacuations/DOMAIN"});
        return problems;
    }
    check_fields(path, entry, rules_of(*kind), problems);
    if (kind == entry_kind::route) {
        check_route(path, entry, problems);
    }
    if (kind == entry_kind::failure_domain) {
        check_failure_domain(path, entry, problems);
    }
    return problems;
}

} // namespace damaskladder::settings
