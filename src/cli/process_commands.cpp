#include "cli/process_commands.hpp"

#include "cli/option_parser.hpp"
#include "cli/text_file.hpp"
#include "daemon/log.hpp"
#include "daemon/own_dialect.hpp"
#include "daemon/process.hpp"
#include "daemon/process_settings.hpp"
#include "daemon/signal_watch.hpp"
#include "damaskladder/platform.hpp"
#include "settings/checked_settings.hpp"
#include "settings/ini_reader.hpp"
#include "settings/value_parsers.hpp"
#include "standin/stand_in.hpp"
#include "wire/key_hasher.hpp"

#include <iostream>

namespace damaskladder::cli {

namespace {

void print(const settings::settings_problems& problems)
{
    for (const auto& problem : problems) {
        std::cerr << to_string(problem) << '\n';
    }
}

/// Reads and checks the process settings. Prints the errors and returns nothing if there are any.
std::optional<daemon::process_settings> read_settings(const std::string& file)
{
    const auto text = read_text_file(file);
    if (!text) {
        std::cerr << "cannot read file: " << file << '\n';
        return std::nullopt;
    }
    auto document = daemon::read_process_settings(*text, file);
    if (!document.problems.empty()) {
        print(document.problems);
        return std::nullopt;
    }
    return std::move(document.settings);
}

daemon::dialect make_dialect(const daemon::process_settings& settings,
                             const wire::cluster_secret& secret)
{
    return settings.interface == "platform" ? platform::make_dialect(settings, secret)
                                            : daemon::own_dialect();
}

exit_code run_process(const std::vector<std::string>& arguments)
{
    option_parser parser("run", "SETTINGS-FILE");
    if (!parser.parse(arguments) || parser.positional().size() != 1) {
        return exit_code::usage;
    }
    const auto settings = read_settings(parser.positional().front());
    if (!settings) {
        return exit_code::usage;
    }
    return base::handle_failure(
        [&]() -> base::result<exit_code> {
            const auto read_again = [file = parser.positional().front()]()
                -> std::optional<daemon::process_settings_document> {
                const auto text = read_text_file(file);
                return text ? std::optional(daemon::read_process_settings(*text, file))
                            : std::nullopt;
            };
            BOOST_LEAF_CHECK(daemon::run_process(*settings, make_dialect, read_again));
            return exit_code::ok;
        },
        [](const base::failure& error) {
            daemon::log_failure(daemon::log_level::error, "start_failed", error);
            return exit_code::failed;
        });
}

exit_code run_check(const std::vector<std::string>& arguments)
{
    bool is_settings_tree = false;
    option_parser parser("check", "FILE");
    parser.add_flag("tree", is_settings_tree,
                    "check a settings subtree for apply instead of process settings");
    if (!parser.parse(arguments) || parser.positional().size() != 1) {
        return exit_code::usage;
    }
    const auto& file = parser.positional().front();
    const auto text = read_text_file(file);
    if (!text) {
        std::cerr << "cannot read file: " << file << '\n';
        return exit_code::usage;
    }
    settings::settings_problems problems;
    if (is_settings_tree) {
        const auto document = settings::read_ini(*text, file);
        problems = document.problems;
        settings::checked_settings checked;
        if (problems.empty()) {
            problems = checked.apply(settings::difference({}, document.tree));
            document.lines.locate(file, problems);
        }
    }
    else {
        problems = daemon::read_process_settings(*text, file).problems;
    }
    print(problems);
    return problems.empty() ? exit_code::ok : exit_code::refused;
}

exit_code run_hash(const std::string& name, wire::key_usage usage,
                   const std::vector<std::string>& arguments)
{
    std::string secret_file;
    option_parser parser(name, "FILE");
    parser.add("secret-file", secret_file, "file with the cluster secret", "FILE");
    if (!parser.parse(arguments) || parser.positional().size() != 1) {
        return exit_code::usage;
    }
    auto text = read_text_file(parser.positional().front());
    if (!text) {
        std::cerr << "cannot read file: " << parser.positional().front() << '\n';
        return exit_code::usage;
    }
    while (!text->empty() && (text->back() == '\n' || text->back() == '\r')) {
        text->pop_back();
    }
    return base::handle_failure(
        [&]() -> base::result<exit_code> {
            BOOST_LEAF_AUTO(secret, wire::cluster_secret::read_file(secret_file));
            std::cout << settings::to_string(wire::key_hasher(secret, usage).hash(*text)) << '\n';
            return exit_code::ok;
        },
        [](const base::failure& error) {
            std::cerr << to_string(error) << '\n';
            return exit_code::usage;
        });
}

/// Command-line options of the stand-in backend server.
struct standin_arguments {
    std::string service = "demo";
    std::string listen = "127.0.0.1:0";
    std::string node;
    std::string credential;
    std::string onward;
    long long slots = 40;
    long long announced_slots = 0;
    double mean_ms = 5;
    bool exponential = false;
    double cold_s = 0;
    long long answer_bytes = 64;
    long long close_every = 0;
    long long shed_above = 0;
    long long seed = 1;
};

void add_options(option_parser& parser, standin_arguments& into)
{
    parser.add("service", into.service, "service to announce", "NAME");
    parser.add("listen", into.listen, "address", "IP:PORT");
    parser.add("node", into.node, "backend_server address of the node on this VM", "IP:PORT");
    parser.add("credential", into.credential, "credential for the announcement", "TEXT");
    parser.add("onward", into.onward, "paths of onward calls within each request", "PATH,...");
    parser.add("slots", into.slots, "requests processed concurrently", "N");
    parser.add("announced-slots", into.announced_slots, "slots to announce, if different", "N");
    parser.add("mean-ms", into.mean_ms, "mean service time", "MS");
    parser.add_flag("exponential", into.exponential,
                    "exponentially distributed service times instead of fixed");
    parser.add("cold-s", into.cold_s, "warm-up period with longer service times", "S");
    parser.add("answer-bytes", into.answer_bytes, "size of a response in bytes", "N");
    parser.add("close-every", into.close_every,
               "close the connection without a response for every Nth run", "N");
    parser.add("shed-above", into.shed_above, "respond 503 when N requests are waiting", "N");
    parser.add("seed", into.seed, "seed of the service time generator", "N");
}

base::result<standin::standin_options> make_options(const standin_arguments& from)
{
    constexpr double us_per_ms = 1000;
    constexpr double us_per_s = 1e6;
    standin::standin_options options;
    options.service = base::service_id(from.service);
    BOOST_LEAF_ASSIGN(options.listen, http::parse_address(from.listen));
    if (!from.node.empty()) {
        BOOST_LEAF_AUTO(node, http::parse_address(from.node));
        options.node = node;
    }
    options.credential = from.credential;
    options.slots = base::slot_count(from.slots);
    if (from.announced_slots > 0) {
        options.announced_slots = base::slot_count(from.announced_slots);
    }
    options.time.kind = from.exponential ? standin::service_time_kind::exponential
                                         : standin::service_time_kind::fixed;
    options.time.mean = base::duration(static_cast<std::int64_t>(from.mean_ms * us_per_ms));
    options.cold_time = base::duration(static_cast<std::int64_t>(from.cold_s * us_per_s));
    options.answer_size = base::byte_count(from.answer_bytes);
    options.close_after_run_every = static_cast<std::uint64_t>(from.close_every);
    options.shed_above_waiting = static_cast<std::size_t>(from.shed_above);
    options.seed = static_cast<std::uint64_t>(from.seed);
    std::istringstream paths(from.onward);
    for (std::string path; std::getline(paths, path, ',');) {
        options.onward_calls.push_back(path);
    }
    return options;
}

exit_code run_standin(const std::vector<std::string>& arguments)
{
    standin_arguments given;
    option_parser parser("standin", "");
    add_options(parser, given);
    if (!parser.parse(arguments)) {
        return exit_code::usage;
    }
    return base::handle_failure(
        [&]() -> base::result<exit_code> {
            BOOST_LEAF_AUTO(options, make_options(given));
            const daemon::signal_watch signals;
            http::event_loop loop;
            standin::stand_in server(loop, options);
            BOOST_LEAF_CHECK(server.start());
            std::cout << "port " << server.port() << std::endl;
            loop.watch(signals.fd(), daemon::signal_watch::readable, [&](std::uint32_t) {
                signals.take();
                server.stop();
            });
            loop.each_round([&](base::time_point now) -> std::optional<base::time_point> {
                if (server.done()) {
                    loop.stop();
                }
                return now + std::chrono::milliseconds(100);
            });
            loop.run();
            return exit_code::ok;
        },
        [](const base::failure& error) {
            std::cerr << to_string(error) << '\n';
            return exit_code::failed;
        });
}

} // namespace

std::vector<sub_command> process_commands()
{
    return {
        {"run", "run a node, a control replica or both, depending on the settings file",
         run_process},
        {"check", "check a settings file", run_check},
        {"standin", "run a stand-in backend server", run_standin},
        {"hash-key", "print the hash of a workspace's key for the settings",
         [](const auto& arguments) {
             return run_hash("hash-key", wire::key_usage::key_hashes, arguments);
         }},
        {"hash-token", "print the hash of an operator's token",
         [](const auto& arguments) {
             return run_hash("hash-token", wire::key_usage::tokens, arguments);
         }},
    };
}

} // namespace damaskladder::cli
