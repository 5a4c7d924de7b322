#include "daemon/operator_api.hpp"
#include "daemon/own_dialect.hpp"
#include "daemon/scratch_folder.hpp"
#include "http/client.hpp"
#include "http/loopback_listener.hpp"
#include "http/run_until.hpp"
#include "settings/evacuation_entries.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace damaskladder::daemon {
namespace {

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int conflict = 409;
constexpr int unavailable = 503;

process_settings settings_of(const std::string& folder,
                             const std::vector<base::failure_domain_id>& domains)
{
    process_settings settings;
    settings.name = base::node_id("r1");
    settings.replicas[settings.name] = {"127.0.0.1", 1};
    settings.replica.emplace();
    settings.replica->data = folder;
    settings.replica->admin = base::operator_id("first");
    settings.replica->failure_domains = domains;
    return settings;
}

/// The product's own interface, with "/start/DOMAIN" and "/end/DOMAIN" as orders without an id.
dialect test_dialect()
{
    dialect made = own_dialect();
    made.read_operator_call = [](const http::request_head& head, std::string_view) {
        operator_call call;
        const bool starts = head.target.starts_with("/start/");
        if (starts || head.target.starts_with("/end/")) {
            call.what = starts ? operator_call::kind::start_evacuation
                               : operator_call::kind::end_evacuation;
            call.domain = base::failure_domain_id(head.target.substr(starts ? 7 : 5));
        }
        return call;
    };
    return made;
}

/// A cluster of one control replica on a folder, with its operator API on loopback.
class single_control {
public:
    explicit single_control(const process_settings& settings)
        : m_settings(settings),
          m_dialect(test_dialect()),
          m_secret(wire::cluster_secret::parse(std::string(64, 'a')).value()),
          m_replica(m_loop, m_settings,
                    {.send = [](const auto&) {}, .settings_changed = [](auto) {}}),
          m_api(m_loop, m_replica, m_secret, m_settings, m_dialect),
          m_client(m_loop)
    {
        EXPECT_TRUE(m_replica.start());
        EXPECT_TRUE(m_api.listen({"127.0.0.1", m_port}));
    }

    /// Status of an order. Orders that get 503 are sent again.
    int order(const std::string& target)
    {
        const auto give_up = http::event_loop::now() + std::chrono::seconds(20);
        int status = unavailable;
        while (status == unavailable && http::event_loop::now() < give_up) {
            status = send(target);
        }
        return status;
    }

    std::string evacuated()
    {
        std::string text;
        for (const auto& domain : settings::evacuated_domains(m_replica.replica().state().tree())) {
            text += domain.value();
        }
        return text;
    }

    /// Waits until a read is confirmed. A new leader applies the entries of earlier terms only
    /// after it has committed one of its own.
    void wait_for_confirmed_read()
    {
        bool confirmed = false;
        const auto give_up = http::event_loop::now() + std::chrono::seconds(20);
        while (!confirmed && http::event_loop::now() < give_up) {
            ASSERT_TRUE(http::run_until(m_loop, [this] { return m_replica.leads(); }));
            bool ended = false;
            m_replica.query([&](const control::submission_refused* refused) {
                confirmed = refused == nullptr;
                ended = true;
            });
            ASSERT_TRUE(http::run_until(m_loop, [&] { return ended; }));
        }
        EXPECT_TRUE(confirmed);
    }

private:
    int send(const std::string& target)
    {
        http::client_request request;
        request.to = {"127.0.0.1", m_port};
        request.head.method = "POST";
        request.head.target = target;
        request.head.body_size = base::byte_count(0);
        int status = 0;
        bool ended = false;
        http::transfer::hooks hooks;
        hooks.on_head = [&](const http::response_head& head) { status = head.status; };
        hooks.on_body = [](std::string_view) { return true; };
        hooks.read_body = [](char*, std::size_t) { return std::size_t{0}; };
        hooks.on_end = [&](const http::transfer_result&) { ended = true; };
        m_client.send(std::move(request), std::move(hooks));
        EXPECT_TRUE(http::run_until(m_loop, [&] { return ended; }));
        return status;
    }

    http::event_loop m_loop;
    process_settings m_settings;
    dialect m_dialect;
    wire::cluster_secret m_secret;
    replica_host m_replica;
    std::uint16_t m_port = http::loopback_listener().port();
    operator_api m_api;
    http::client m_client;
};

struct sent_order {
    const char* target;
    int status;
};

struct order_case {
    const char* name;
    std::vector<base::failure_domain_id> domains;
    std::vector<sent_order> orders;
    const char* evacuated;
};

void PrintTo(const order_case& row, std::ostream* out)
{
    *out << row.name;
}

const std::vector<base::failure_domain_id> two_domains = {base::failure_domain_id("a"),
                                                          base::failure_domain_id("b")};

class evacuation_orders : public testing::TestWithParam<order_case> {};

// Guards against repeats that get an error, orders that evacuate a whole fleet, orders that are
// lost at a restart, and a cluster that answers with an error of the caller while it forms.
TEST_P(evacuation_orders, are_confirmed_and_kept)
{
    const scratch_folder folder;
    const auto settings = settings_of(folder.path(), GetParam().domains);
    {
        single_control control(settings);
        for (const auto& [target, status] : GetParam().orders) {
            EXPECT_EQ(control.order(target), status) << target;
        }
        EXPECT_EQ(control.evacuated(), GetParam().evacuated);
    }
    single_control restarted(settings);
    restarted.wait_for_confirmed_read();
    EXPECT_EQ(restarted.evacuated(), GetParam().evacuated);
}

INSTANTIATE_TEST_SUITE_P(
    table, evacuation_orders,
    testing::Values(
        order_case{"start", two_domains, {{"/start/a", ok}}, "a"},
        order_case{"start_twice", two_domains, {{"/start/a", ok}, {"/start/a", ok}}, "a"},
        order_case{"end", two_domains, {{"/start/a", ok}, {"/end/a", ok}}, ""},
        order_case{"end_without_start", two_domains, {{"/end/a", ok}}, ""},
        order_case{
            "end_twice", two_domains, {{"/start/a", ok}, {"/end/a", ok}, {"/end/a", ok}}, ""},
        order_case{"last", two_domains, {{"/start/a", ok}, {"/start/b", conflict}}, "a"},
        order_case{"other_after_end",
                   two_domains,
                   {{"/start/a", ok}, {"/end/a", ok}, {"/start/b", ok}},
                   "b"},
        order_case{"unknown", two_domains, {{"/start/c", not_found}, {"/end/c", not_found}}, ""},
        order_case{"no_name", two_domains, {{"/start/a%20b", bad_request}}, ""},
        order_case{"no_domains_known", {}, {{"/start/a", not_found}}, ""}),
    [](const auto& tested) { return std::string(tested.param.name); });

} // namespace
} // namespace damaskladder::daemon
