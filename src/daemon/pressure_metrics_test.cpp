#include "daemon/pressure_metrics.hpp"

#include <gtest/gtest.h>

namespace damaskladder::daemon {
namespace {

// Guards against metrics that a scraper cannot parse, for example a type line without values.
TEST(pressure_text, has_one_type_line_for_all_routes)
{
    EXPECT_EQ(pressure_text({}), "");
    EXPECT_EQ(pressure_text({{base::route_id("a"), base::load_fraction(1.25), 0.5},
                             {base::route_id("b"), base::load_fraction(0.5), 0}}),
              "# TYPE damaskladder_tree_pressure gauge\n"
              "damaskladder_tree_pressure{route=\"a\"} 1.25\n"
              "damaskladder_tree_pressure{route=\"b\"} 0.5\n"
              "# TYPE damaskladder_tree_shed_fraction gauge\n"
              "damaskladder_tree_shed_fraction{route=\"a\"} 0.5\n"
              "damaskladder_tree_shed_fraction{route=\"b\"} 0\n");
}

} // namespace
} // namespace damaskladder::daemon
