#pragma once

#include "base/byte_count.hpp"
#include "http/exchange.hpp"

#include <cstddef>
#include <unordered_map>

namespace damaskladder::daemon {

/// Bounds the bytes of request bodies that are being received, for all requests of a server
/// together: a bound for each body times the number of connections may exceed the memory of a VM.
class body_budget {
public:
    explicit body_budget(base::byte_count limit) : m_limit(limit) {}

    /// Records the size that a body has reached. Returns false, and releases the body, if all
    /// bodies together exceed the limit; the request is then to be refused.
    bool grow(const http::exchange* request, std::size_t size);
    /// The body is complete or no longer wanted. Has no effect if it is not recorded.
    void release(const http::exchange* request);

private:
    base::byte_count m_limit;
    std::size_t m_total = 0;
    std::unordered_map<const http::exchange*, std::size_t> m_sizes;
};

} // namespace damaskladder::daemon
