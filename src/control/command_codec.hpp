#pragma once

#include "base/result.hpp"
#include "control/command.hpp"
#include "control/reply.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace damaskladder::control {

/// Largest encoded command or reply, in bytes.
inline constexpr std::size_t max_command_size = 4 * 1024 * 1024;

/// Deterministic: equal commands give equal bytes.
std::vector<std::uint8_t> encode(const command& entry);
std::vector<std::uint8_t> encode(const reply& answer);

/// Fail with too_large, or with corrupt if the bytes are not a valid encoding.
base::result<command> decode_command(std::span<const std::uint8_t> bytes);
base::result<reply> decode_reply(std::span<const std::uint8_t> bytes);

} // namespace damaskladder::control
