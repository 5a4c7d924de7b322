#include "daemon/quota_host.hpp"
#include "daemon/secure_random.hpp"
#include "daemon/traffic_quota.hpp"
#include "settings/ini_reader.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace damaskladder::daemon {
namespace {

using std::chrono::milliseconds;

process_settings settings_of_one()
{
    process_settings settings;
    settings.name = base::node_id("r1");
    settings.replica.emplace();
    return settings;
}

std::shared_ptr<const settings::compiled_settings> one_workspace()
{
    auto document = settings::read_ini("[teams/main/workspaces/w1]\nrate = 100/s\nburst = 100\n",
                                       "test settings");
    document.tree.set_version(base::settings_version(7));
    return settings::compiled_settings::compile(document.tree);
}

/// The holder of pooled rates and the token buckets of one node, connected without a network.
class pooled_rates {
public:
    pooled_rates()
        : m_secret(wire::cluster_secret::parse(std::string(64, 'a')).value()),
          m_messages(m_loop, m_secret, m_settings.name, base::incarnation(1)),
          m_members(membership::node_identity{m_settings.name, {}, base::incarnation(1), {}, {}},
                    membership::membership_options{}, secure_random()),
          m_buckets(m_settings.name, base::incarnation(1),
                    {.deliver = [this](const node::event& event) { on_event(event); },
                     .send = [this](const quota::quota_send& sent) { m_host.send(sent); }}),
          m_host(m_loop, m_messages, m_settings, m_directory, base::incarnation(1), m_members,
                 hooks())
    {
        m_loop.each_round([this](base::time_point now) { return m_buckets.round(now); });
        m_host.start();
    }

    void run_for(milliseconds time)
    {
        m_loop.call_at(http::event_loop::now() + time, [this] { m_loop.stop(); });
        m_loop.run();
    }

    void set_settings() { m_host.set_settings(*one_workspace()); }

    /// Requests tokens repeatedly and returns the time until one is granted.
    std::optional<base::duration> time_to_token(milliseconds limit)
    {
        const auto start = http::event_loop::now();
        while (!m_granted && http::event_loop::now() < start + limit) {
            const auto now = http::event_loop::now();
            m_buckets.acquire({node::exchange_id(++m_last), base::workspace_id("w1"), now + limit},
                              now);
            run_for(milliseconds(20));
        }
        return m_granted ? std::optional(http::event_loop::now() - start) : std::nullopt;
    }

private:
    quota_host::hooks hooks()
    {
        return {.control_voters = [this] { return std::vector<base::node_id>{m_settings.name}; },
                .to_buckets =
                    [this](const quota::quota_message& message) {
                        m_buckets.receive(message, http::event_loop::now());
                    },
                .set_holder =
                    [this](const auto& holder) {
                        m_buckets.set_holder(holder, http::event_loop::now());
                    },
                .set_quotas =
                    [this](const auto& quotas) {
                        m_buckets.set_quotas(quotas, http::event_loop::now());
                    }};
    }

    void on_event(const node::event& event)
    {
        m_granted = m_granted || std::holds_alternative<node::token_granted>(event);
    }

    process_settings m_settings = settings_of_one();
    replica_directory m_directory{m_settings};
    http::event_loop m_loop;
    wire::cluster_secret m_secret;
    messenger m_messages;
    membership::membership_node m_members;
    traffic_quota m_buckets;
    quota_host m_host;
    std::uint64_t m_last = 0;
    bool m_granted = false;
};

struct start_case {
    std::string name;
    /// Time by which the lease is available before the settings arrive.
    milliseconds lease_first;
};

class starts : public testing::TestWithParam<start_case> {};

// Guards against refusals by rate after a restart of all processes: a holder that acquired its
// lease before its settings treated their arrival as a growth of its share, which takes effect only
// after 10 s.
TEST_P(starts, give_tokens_soon)
{
    pooled_rates rates;
    rates.run_for(GetParam().lease_first);
    rates.set_settings();
    const auto taken = rates.time_to_token(milliseconds(5000));
    ASSERT_TRUE(taken);
    EXPECT_LT(*taken, milliseconds(3000));
}

INSTANTIATE_TEST_SUITE_P(table, starts,
                         testing::Values(start_case{"settings_first", milliseconds(0)},
                                         start_case{"lease_first", milliseconds(2500)}),
                         [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::daemon
