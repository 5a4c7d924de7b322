#pragma once

#include "node/exchange_id.hpp"
#include "node/run_rule.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace damaskladder::node {

/// Decides which requests of one connection start while others are ahead of them.
///
/// A request that must not run twice starts only when all requests ahead are answered and the
/// connection stays open: the caller sends it again if an earlier response closes the connection. A
/// request behind one that must not run twice starts after that one, since it may depend on it.
class pipeline_order {
public:
    /// Returns the rule of a request in progress, and nothing if it has ended.
    using rule_lookup = std::function<std::optional<run_rule>(exchange_id)>;

    explicit pipeline_order(rule_lookup rule_of);

    /// Whether a request that has arrived behind these has to wait.
    bool must_wait(run_rule rule, const std::vector<exchange_id>& ahead) const;

    /// Returns the requests that may start now that no request is ahead of the given one.
    std::vector<exchange_id> startable(exchange_id first,
                                       const std::vector<exchange_id>& behind) const;

private:
    rule_lookup m_rule_of;
};

} // namespace damaskladder::node
