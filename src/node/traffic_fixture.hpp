#pragma once

#include "node/traffic_machine.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace damaskladder::node {

/// For tests: a traffic machine with a small fixed view, which prints each effect as a line of
/// text.
struct traffic_fixture {
    explicit traffic_fixture(traffic_options chosen = options()) : machine(std::move(chosen))
    {
        fill_view();
    }

    static traffic_options options()
    {
        traffic_options result;
        result.random = [random = std::mt19937_64(11)]() mutable { return random(); };
        return result;
    }

    static base::time_point at_ms(std::int64_t value)
    {
        return base::time_point(std::chrono::milliseconds(value));
    }

    /// Handles one event and returns the effects, one line each.
    std::string handle(const event& input, std::int64_t ms)
    {
        std::vector<effect> out;
        machine.handle(input, view, at_ms(ms), out);
        std::ostringstream lines;
        for (const auto& wanted : out) {
            std::visit([&](const auto& one) { print(one, lines); }, wanted);
            lines << '\n';
            if (const auto* forward = std::get_if<forward_to_gatekeeper>(&wanted)) {
                last_forward = *forward;
            }
        }
        return lines.str();
    }

    static routing::backend_server server_of(const char* node)
    {
        return {base::node_id(node), base::incarnation(1), base::failure_domain_id("d1"),
                base::slot_count(4), base::slot_count(0),  false};
    }

    void fill_view()
    {
        view.self = base::node_id("n1");
        view.own_domain = base::failure_domain_id("d1");
        view.settings_version = base::settings_version(9);
        keyed.route = base::route_id("keyed");
        keyed.service = base::service_id("s");
        keyed.timeout = std::chrono::seconds(1);
        keyed.workspaces = {base::workspace_id("w")};
        once = keyed;
        once.idempotent = false;
        open = keyed;
        open.open = true;
        open.workspaces.clear();
        large = open;
        large.streaming = true;
        key = {base::key_id("k"), base::workspace_id("w"), true};
        other = {base::key_id("o"), base::workspace_id("other"), true};
        view.match_route = [this](std::string_view path, std::string_view) -> const route_entry* {
            return path == "/keyed"   ? &keyed
                   : path == "/once"  ? &once
                   : path == "/open"  ? &open
                   : path == "/large" ? &large
                                      : nullptr;
        };
        view.find_key = [this](const base::key_hash& hash) -> const key_entry* {
            return hash == hash_of('k') ? &key : hash == hash_of('o') ? &other : nullptr;
        };
        view.key_active = [this](const base::key_id&) { return key.active; };
        view.weight_of = [](const base::workspace_id&) { return base::share_weight(1); };
        view.services = {{base::service_id("s"), {server_of("g1"), server_of("g2")}}};
        view.local = {
            {base::service_id("s"), base::slot_count(1), false, false, std::chrono::seconds(10)}};
    }

    /// Fake hash of the key that is named by a letter.
    static base::key_hash hash_of(char letter)
    {
        base::key_hash hash;
        hash.bytes[0] = static_cast<std::uint8_t>(letter);
        return hash;
    }

    static void print(const request_token& e, std::ostream& to)
    {
        to << "ask-tokens e" << e.exchange;
    }
    static void print(const return_token& e, std::ostream& to) { to << "token-back " << e.grant; }
    static void print(const forward_to_gatekeeper& e, std::ostream& to)
    {
        to << "forward t" << e.transfer << " e" << e.exchange;
    }
    static void print(const start_at_backend_server& e, std::ostream& to)
    {
        to << "start t" << e.transfer << " e" << e.exchange << (e.fresh_connection ? " fresh" : "");
    }
    static void print(const request_claim&, std::ostream& to) { to << "ask-claim"; }
    static void print(const release_claim&, std::ostream& to) { to << "release-claim"; }
    static void print(const complete_claim&, std::ostream& to) { to << "complete-claim"; }
    static void print(const refuse& e, std::ostream& to)
    {
        to << "refuse e" << e.exchange << ' ' << e.status
           << (e.reported_outcome == outcome::not_run ? " not-run " : " unknown ")
           << to_string(e.reason);
        if (e.allowance_left) {
            to << " left " << *e.allowance_left;
        }
    }
    static void print(const relay_response& e, std::ostream& to)
    {
        to << "relay e" << e.exchange << " t" << e.transfer << (e.keep_copy ? " keep" : "");
        if (e.allowance_left) {
            to << " left " << *e.allowance_left;
        }
    }
    static void print(const replay_response& e, std::ostream& to)
    {
        to << "replay e" << e.exchange;
    }
    static void print(const abort_response& e, std::ostream& to) { to << "cut e" << e.exchange; }
    static void print(const cancel_transfer& e, std::ostream& to)
    {
        to << "cancel t" << e.transfer;
    }

    traffic_machine machine;
    node_view view;
    route_entry keyed;
    route_entry once;
    route_entry open;
    route_entry large;
    key_entry key;
    key_entry other;
    forward_to_gatekeeper last_forward;
};

/// An event of a test table and its time.
struct timed_event {
    std::int64_t ms;
    event input;
};

} // namespace damaskladder::node
