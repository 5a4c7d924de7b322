#include "daemon/announce_permission.hpp"
#include "membership/announcement_registry.hpp"

#include <gtest/gtest.h>

#include <string>

namespace damaskladder::daemon {
namespace {

struct permission_case {
    std::string name;
    std::string credential;
    std::string service;
    bool permitted;
};

class announce_permissions : public testing::TestWithParam<permission_case> {};

// Guards against a service announced by a process that may not, and against a deregistration that
// is refused because it names no service.
TEST_P(announce_permissions, depend_on_credential_and_service)
{
    node_settings settings;
    settings.services = {base::service_id("orders")};
    settings.credential = "secret";
    EXPECT_EQ(may_announce(settings, membership::credential_text(GetParam().credential),
                           base::service_id(GetParam().service)),
              GetParam().permitted);
}

INSTANTIATE_TEST_SUITE_P(table, announce_permissions,
                         testing::Values(permission_case{"served", "secret", "orders", true},
                                         permission_case{"other_service", "secret", "files", false},
                                         permission_case{"unnamed_service", "secret", "", true},
                                         permission_case{"wrong_credential", "x", "orders", false},
                                         permission_case{"wrong_and_unnamed", "x", "", false}),
                         [](const auto& tested) { return tested.param.name; });

// Guards against an unnamed service that is announced because its credential is valid.
TEST(announce_permission, announces_no_unnamed_service)
{
    node_settings settings;
    membership::announcement_options options;
    options.may_announce = [&](const auto& credential, const auto& service) {
        return may_announce(settings, credential, service);
    };
    membership::announcement_registry registry(options);
    membership::announcement offer;
    offer.port = base::port_number(1);
    offer.slots = base::slot_count(1);
    offer.connections = membership::connection_count(1);
    EXPECT_EQ(registry.announce(offer, {}), membership::announce_verdict::invalid);
}

} // namespace
} // namespace damaskladder::daemon
