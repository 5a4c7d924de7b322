#pragma once

#include "base/time.hpp"
#include "http/address.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace damaskladder::http {

class client_connection;

/// Pool of idle connections by peer. The most recently used connection is taken first, so that
/// surplus connections expire and are closed.
class idle_connections {
public:
    using connection_ptr = std::shared_ptr<client_connection>;

    /// Takes a connection whose idle deadline has not passed, or returns null.
    connection_ptr take(const address& peer, base::time_point now);

    void put(connection_ptr connection);

    /// Removes a closed connection from the pool.
    void remove(const client_connection& closed);

    /// Removes and returns the connections whose idle deadline has passed.
    std::vector<connection_ptr> take_expired(base::time_point now);

    std::size_t size() const { return m_size; }

private:
    std::map<address, std::vector<connection_ptr>> m_by_peer;
    std::size_t m_size = 0;
};

} // namespace damaskladder::http
