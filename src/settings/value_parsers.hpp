#pragma once

#include "base/byte_count.hpp"
#include "base/importance.hpp"
#include "base/key_hash.hpp"
#include "base/time.hpp"
#include "settings/domain_share.hpp"
#include "settings/key_state.hpp"
#include "settings/once_scope.hpp"
#include "settings/split_part.hpp"
#include "settings/token_rate.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskladder::settings {

// Each parser returns none unless the whole text matches the format. Signs and extra spaces are
// rejected.

/// Digits: "200".
std::optional<std::int64_t> parse_count(std::string_view text);
/// A number with up to six decimals and a unit: "500us", "500ms", "2s", "1.5s", "10min", "1h".
std::optional<base::duration> parse_duration(std::string_view text);
/// Tokens per second with up to three decimals: "100/s", "0.5/s".
std::optional<token_rate> parse_rate(std::string_view text);
/// Digits and a unit: "512B", "64KiB", "1MiB".
std::optional<base::byte_count> parse_bytes(std::string_view text);
/// Services with their weights, without repetition: "s1:90, s2:10".
std::optional<std::vector<split_part>> parse_split(std::string_view text);
/// "request_id" or "attempt".
std::optional<once_scope> parse_once_scope(std::string_view text);
/// "yes" or "no".
std::optional<bool> parse_yes_no(std::string_view text);
/// "background", "low", "normal" or "critical".
std::optional<base::importance> parse_importance(std::string_view text);
/// 64 lower-case hexadecimal digits.
std::optional<base::key_hash> parse_key_hash(std::string_view text);
/// "active" or "withdrawn".
std::optional<key_state> parse_key_state(std::string_view text);
/// A fraction "1/11" or up to six decimals "0.25", above 0 and at most 1.
std::optional<domain_share> parse_share(std::string_view text);
/// Names joined by ", " without repetition: "w1, w2".
std::optional<std::vector<std::string>> parse_names(std::string_view text);
/// One name: letters, digits, '.', '_' and '-', at most 49 characters.
bool is_name(std::string_view text);
/// A request path that begins with '/', has no empty, "." or ".." part, no final '/' (but for "/"
/// itself), and only letters, digits and the characters "._~-".
bool is_path_prefix(std::string_view text);

/// Formats the hash for parse_key_hash.
std::string to_string(const base::key_hash& hash);

} // namespace damaskladder::settings
