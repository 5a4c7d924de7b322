#include "daemon/view_builder.hpp"

#include <gtest/gtest.h>

#include <string>

namespace damaskladder::daemon {
namespace {

membership::member_record member_in(const std::string& domain)
{
    membership::member_record record;
    record.node = base::node_id("node-" + domain);
    record.incarnation = base::incarnation(1);
    record.domain = base::failure_domain_id("fleet");
    record.vm_domain = base::failure_domain_id(domain);
    record.traffic = base::traffic_address("127.0.0.1:7001");
    membership::backend_server backend;
    backend.service = base::service_id("s");
    backend.slots = base::slot_count(4);
    record.backends.push_back(backend);
    return record;
}

struct view_case {
    const char* name;
    /// Domain in which the view is built, and the one that is evacuated.
    const char* own;
    const char* evacuated;
    bool local_evacuated;
};

class evacuated_views : public testing::TestWithParam<view_case> {};

// Guards against requests that are sent to an evacuated failure domain, and against a fleet that
// stops using the others.
TEST_P(evacuated_views, exclude_the_servers_of_the_domain)
{
    settings::setting_tree tree;
    tree.set(
        *settings::setting_path::parse(std::string("fleet/evacuations/") + GetParam().evacuated),
        settings::field_name("active"), settings::field_value("yes"));
    auto services = std::make_shared<membership::service_view>();
    services->add(member_in("a"), membership::reachability::reachable);
    services->add(member_in("b"), membership::reachability::reachable);
    view_sources from;
    from.domain = base::failure_domain_id(GetParam().own);
    from.settings = make_tables(settings::compiled_settings::compile(tree));
    from.services = services;
    for (const auto& backend : member_in(GetParam().own).backends) {
        from.local.push_back({backend, {}, {}});
    }
    const auto view = build_view(from);

    const base::failure_domain_id evacuated(GetParam().evacuated);
    EXPECT_EQ(view->evacuated, std::set{evacuated});
    ASSERT_EQ(view->node->services.size(), 1U);
    ASSERT_EQ(view->node->services.front().servers.size(), 2U);
    for (const auto& server : view->node->services.front().servers) {
        EXPECT_EQ(server.draining, server.domain == evacuated) << server.domain;
    }
    ASSERT_EQ(view->node->local.size(), 1U);
    EXPECT_EQ(view->node->local.front().evacuated, GetParam().local_evacuated);
    EXPECT_FALSE(view->node->local.front().draining);
}

INSTANTIATE_TEST_SUITE_P(table, evacuated_views,
                         testing::Values(view_case{"own_domain", "a", "a", true},
                                         view_case{"other_domain", "b", "a", false},
                                         view_case{"domain_without_servers", "a", "c", false}),
                         [](const auto& tested) { return std::string(tested.param.name); });

} // namespace
} // namespace damaskladder::daemon
