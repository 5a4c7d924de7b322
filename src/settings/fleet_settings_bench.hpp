#pragma once

#include "settings/setting_diff.hpp"
#include "settings/setting_tree.hpp"

#include <cstdint>
#include <string>

namespace damaskladder::settings {

/// Name that is unique in the fleet: "LETTERTEAM.NUMBER".
inline std::string fleet_name(char letter, int team, int number)
{
    std::string name(1, letter);
    name += std::to_string(team);
    name += '.';
    name += std::to_string(number);
    return name;
}

/// Settings of a fleet with 11 failure domains and the given number of teams, each with 2 routes, 4
/// workspaces and 8 keys. 190 teams represent 190 services.
inline setting_tree fleet_settings(int teams)
{
    setting_tree tree;
    auto set = [&](const std::string& path, const char* field, const std::string& value) {
        tree.set(setting_path::parse(path).value_or(setting_path()), field_name(field),
                 field_value(value));
    };
    for (int i = 0; i < 11; ++i) {
        auto path = "fleet/domains/fd" + std::to_string(i);
        set(path, "region", "r" + std::to_string(i % 3));
        set(path, "lease_voters", "n" + std::to_string(i));
    }
    for (int i = 0; i < teams; ++i) {
        auto team = std::to_string(i);
        auto root = "teams/t" + team;
        set(root + "/limits", "max_staleness", "10s");
        set(root + "/policy", "revision", "1");
        std::string workspaces;
        for (int j = 0; j < 4; ++j) {
            auto name = fleet_name('w', i, j);
            workspaces += j == 0 ? "" : ", ";
            workspaces += name;
            auto path = root + "/workspaces/";
            path += name;
            set(path, "rate", "100/s");
            set(path, "burst", "200");
        }
        for (int j = 0; j < 8; ++j) {
            auto path = root + "/keys/";
            path += fleet_name('k', i, j);
            auto digits = std::to_string(1'000'000 + i * 8 + j);
            set(path, "workspace", fleet_name('w', i, j / 2));
            set(path, "hash", digits + std::string(64 - digits.size(), '0'));
            set(path, "state", "active");
        }
        for (int j = 0; j < 2; ++j) {
            auto path = root + "/routes/r" + std::to_string(j);
            auto prefix = "/service" + team;
            prefix += "/part";
            prefix += std::to_string(j);
            set(path, "prefix", prefix);
            set(path, "service", "s" + team);
            set(path, "idempotent", "yes");
            set(path, "workspaces", workspaces);
        }
    }
    return tree;
}

} // namespace damaskladder::settings
