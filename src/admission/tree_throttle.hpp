#pragma once

#include "admission/pressure_meter.hpp"
#include "admission/route_pressure.hpp"
#include "admission/tree_throttle_options.hpp"
#include "admission/workspace_demand.hpp"
#include "base/importance.hpp"
#include "base/random_source.hpp"
#include "base/route_id.hpp"
#include "base/time.hpp"

#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace damaskladder::admission {

/// Sheds requests at the root of their call tree in the entry node, by the pressure that the
/// answers report for their route. The pressure is that of the scarcest service of the call tree.
class tree_throttle {
public:
    /// Called when shedding of a route begins or ends.
    using shedding_hook = std::function<void(const route_pressure& route, bool began)>;

    tree_throttle(tree_throttle_options options, base::random_source random,
                  shedding_hook on_shedding = {});

    /// Records the pressure in an answer or refusal.
    void on_report(const base::route_id& route, base::load_fraction pressure, base::time_point now);

    /// Decides at random whether to shed a request. Returns the Retry-After, without a random part,
    /// if it is to be shed.
    std::optional<base::duration> shed(const base::route_id& route, base::importance level,
                                       const base::workspace_id& workspace, base::time_point now);

    /// Fraction of the requests of an importance that is shed; 0 for unknown routes.
    double fraction(const base::route_id& route, base::importance level) const;

    /// The routes with the highest pressure, at most `count`.
    std::vector<route_pressure> highest(std::size_t count, base::time_point now) const;

private:
    struct route_state {
        explicit route_state(const pressure_meter_options& options) : meter(options) {}

        pressure_meter meter;
        workspace_demand demand;
        /// Of requests of normal importance.
        double shed = 0;
        /// Of critical requests; above 0 only while `shed` is at the cap.
        double critical = 0;
        /// Admitted fractions of the last steps, oldest first; at most feedback_steps.
        std::deque<double> admitted;
        base::time_point adjusted_at;
        bool shedding = false;
    };

    route_state* state_of(const base::route_id& route, base::time_point now);
    void advance(const base::route_id& route, route_state& state, base::time_point now);
    void adjust(route_state& state, double pressure) const;
    double fraction(const route_state& state, base::importance level) const;

    tree_throttle_options m_options;
    base::random_source m_random;
    shedding_hook m_on_shedding;
    std::unordered_map<base::route_id, route_state> m_routes;
};

} // namespace damaskladder::admission
