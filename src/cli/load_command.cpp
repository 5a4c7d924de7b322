#include "cli/load_command.hpp"

#include "cli/option_parser.hpp"
#include "cli/text_file.hpp"
#include "daemon/secure_random.hpp"
#include "daemon/signal_watch.hpp"
#include "daemon/wall_clock_now.hpp"
#include "damaskladder/load.hpp"

#include <fstream>
#include <iostream>

namespace damaskladder::cli {

namespace {

/// Reads and checks an experiment. Prints the errors and returns nothing if there are any.
std::optional<load::experiment> read_experiment_file(const std::string& file,
                                                     load::address_policy allowed)
{
    const auto text = read_text_file(file);
    if (!text) {
        std::cerr << "cannot read file: " << file << '\n';
        return std::nullopt;
    }
    auto document = load::read_experiment(*text, file, allowed);
    for (const auto& problem : document.problems) {
        std::cerr << to_string(problem) << '\n';
    }
    if (!document.problems.empty()) {
        return std::nullopt;
    }
    return std::move(document.plan);
}

/// Reads the key of each stream, in the order of the streams. Prints an error and returns nothing
/// if a key cannot be read.
std::optional<std::vector<load::key_text>> read_keys(const load::experiment& plan)
{
    std::vector<load::key_text> keys;
    for (const auto& stream : plan.streams) {
        auto& key = keys.emplace_back();
        if (stream.key_file.empty()) {
            continue;
        }
        auto text = read_text_file(stream.key_file);
        while (text && !text->empty() && (text->back() == '\n' || text->back() == '\r')) {
            text->pop_back();
        }
        if (!text || text->empty() || text->find_first_of("\r\n") != std::string::npos) {
            std::cerr << "expected a file with a key on a single line: " << stream.key_file
                      << " (stream " << stream.name << ")\n";
            return std::nullopt;
        }
        key = load::key_text(*text);
    }
    return keys;
}

load::run_report run_experiment(const load::experiment& plan, std::vector<load::key_text> keys)
{
    const daemon::signal_watch signals;
    http::event_loop loop;
    load::load_runner runner(
        loop, plan, std::move(keys),
        {daemon::wall_clock_now, daemon::secure_random(), [&loop] { loop.stop(); }});
    loop.watch(signals.fd(), daemon::signal_watch::readable, [&](std::uint32_t) {
        signals.take();
        runner.stop();
    });
    runner.start();
    loop.run();
    return runner.report();
}

/// Writes the text unless the file name is empty. Prints an error and returns false on failure.
bool write_file(const std::string& file, const std::string& text)
{
    if (file.empty()) {
        return true;
    }
    std::ofstream out(file);
    out << text << std::flush;
    if (!out) {
        std::cerr << "cannot write file: " << file << '\n';
    }
    return out.good();
}

exit_code run_load(const std::vector<std::string>& arguments)
{
    std::string json_file;
    std::string svg_file;
    bool any_address = false;
    option_parser parser("load", "EXPERIMENT-FILE");
    parser.add("json", json_file, "write the whole report as JSON", "FILE");
    parser.add("svg", svg_file, "write a plot of demand and goodput", "FILE");
    parser.add_flag("any-address", any_address, "permit targets that are not on loopback");
    if (!parser.parse(arguments) || parser.positional().size() != 1) {
        return exit_code::usage;
    }
    const auto plan = read_experiment_file(parser.positional().front(),
                                           any_address ? load::address_policy::any
                                                       : load::address_policy::loopback_only);
    if (!plan) {
        return exit_code::usage;
    }
    auto keys = read_keys(*plan);
    if (!keys) {
        return exit_code::usage;
    }
    const auto report = run_experiment(*plan, std::move(*keys));
    load::write_text(std::cout, report);
    const bool json_written = write_file(json_file, load::to_json(report));
    const bool svg_written = write_file(svg_file, load::to_svg(report.seconds));
    return json_written && svg_written && !report.interrupted ? exit_code::ok : exit_code::failed;
}

} // namespace

std::vector<sub_command> load_commands()
{
    return {{"load", "run an experiment: open-loop load, surges and commands", run_load}};
}

} // namespace damaskladder::cli
