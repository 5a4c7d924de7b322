#pragma once

#include "base/result.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace damaskladder::wire {

/// Purpose of a key derived from the cluster secret.
enum class key_usage : std::uint8_t {
    request_context = 1,
    messages = 2,
    key_hashes = 3,
    tokens = 4
};

/// A 32-byte symmetric key.
using secret_key = std::array<unsigned char, 32>;

/// The secret shared by all processes of a cluster. A separate key is derived for each usage, so
/// that data sealed for one purpose is not accepted for another.
class cluster_secret {
public:
    /// Parses 64 hexadecimal digits; white space around them is ignored. Fails with
    /// invalid_argument; the error message does not contain the input.
    static base::result<cluster_secret> parse(std::string_view text);

    /// Reads the secret from a file. Fails with io or invalid_argument.
    static base::result<cluster_secret> read_file(const std::string& path);

    secret_key derive(key_usage usage) const;

private:
    secret_key m_secret{};
};

} // namespace damaskladder::wire
