#include "routing/pick_by_completion.hpp"

#include "routing/uniform_fraction.hpp"

namespace damaskladder::routing {
namespace {

/// Draws an index other than `excluded` with a probability proportional to the throughput; `sum` is
/// the throughput of all servers that may be drawn.
std::size_t draw(const std::vector<completion_estimate>& servers, double sum, std::size_t excluded,
                 const base::random_source& random)
{
    double left = uniform_fraction(random) * sum;
    std::size_t last = excluded;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (i == excluded) {
            continue;
        }
        last = i;
        left -= servers[i].throughput();
        if (left < 0) {
            break;
        }
    }
    return last;
}

} // namespace

std::size_t pick_by_completion(const std::vector<completion_estimate>& servers,
                               const base::random_source& random)
{
    if (servers.size() == 1) {
        return 0;
    }
    double sum = 0;
    for (const auto& server : servers) {
        sum += server.throughput();
    }
    const auto first = draw(servers, sum, servers.size(), random);
    const auto second = draw(servers, sum - servers[first].throughput(), first, random);
    return servers[first].relative_load <= servers[second].relative_load ? first : second;
}

} // namespace damaskladder::routing
