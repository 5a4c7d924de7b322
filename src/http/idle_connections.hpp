#pragma once

#include "base/time.hpp"
#include "http/address.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace damaskladder::http {

class client_connection;

/// Connections that wait for their next transfer, by peer. The one used last is taken first, so
/// that those that are not needed any more grow old and are closed.
class idle_connections {
public:
    using connection_ptr = std::shared_ptr<client_connection>;

    /// A connection that its server still keeps, or null.
    connection_ptr take(const address& peer, base::time_point now);

    void put(connection_ptr connection);

    /// Takes out a connection that has been closed.
    void remove(const client_connection& closed);

    /// Takes out those that their servers may close from now on.
    std::vector<connection_ptr> take_expired(base::time_point now);

    std::size_t size() const { return m_size; }

private:
    std::map<address, std::vector<connection_ptr>> m_by_peer;
    std::size_t m_size = 0;
};

} // namespace damaskladder::http
