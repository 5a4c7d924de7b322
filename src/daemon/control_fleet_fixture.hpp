#pragma once

#include "daemon/claims_host.hpp"
#include "daemon/messenger.hpp"
#include "daemon/propagation_host.hpp"
#include "daemon/replica_host.hpp"
#include "daemon/replica_membership_host.hpp"
#include "daemon/wall_clock_now.hpp"
#include "http/loopback_listener.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace damaskladder::daemon {

/// Test fixture: control replicas and nodes, each on a loopback address of its own (127.0.0.N) and
/// an event loop of its own, with real messages and disks. The loops run by turns on the test's
/// thread.
class control_fleet {
public:
    /// Number of an address 127.0.0.N.
    using vm_number = unsigned;

    struct vm_plan {
        bool has_replica = true;
        /// VMs whose addresses the process is told at its start.
        std::vector<vm_number> listed = {1, 2, 3};
        bool forms_cluster = false;
        bool may_campaign = true;
    };

    /// Data folders are made in `folder`, one for each replica.
    explicit control_fleet(std::string folder)
        : m_folder(std::move(folder)),
          m_secret(wire::cluster_secret::parse(std::string(64, 'a')).value())
    {
    }

    static std::string address_of(vm_number number) { return "127.0.0." + std::to_string(number); }

    void start(vm_number number, const vm_plan& plan)
    {
        auto& added = m_vms[number];
        added = std::make_unique<vm>(*this, number, plan);
        added->start();
    }

    /// Ends a process without notice.
    void kill(vm_number number) { m_vms.erase(number); }

    /// A replica announces that it leaves, and ends when it is no longer a member.
    bool retire(vm_number number)
    {
        m_vms.at(number)->membership->leave();
        m_vms.at(number)->replica->transfer_leadership();
        const bool removed = run_until([&] {
            const vm* leading = leading_vm();
            return leading != nullptr && leading->number != number &&
                   leading->replica->replica().status().members.find(
                       consensus::replica_id(address_of(number))) == nullptr;
        });
        kill(number);
        return removed;
    }

    /// Runs all VMs until a condition holds, and returns whether it does. Gives up after 20 s,
    /// which only a failing test reaches.
    bool run_until(const std::function<bool()>& done)
    {
        const auto give_up = http::event_loop::now() + std::chrono::seconds(20);
        while (!done() && http::event_loop::now() < give_up) {
            for (const auto& [number, each] : m_vms) {
                run_once(each->loop);
            }
        }
        return done();
    }

    /// The replica that leads; 0 if none does.
    vm_number leader() const
    {
        const vm* leading = leading_vm();
        return leading == nullptr ? 0 : leading->number;
    }

    /// Whether the leader counts this many voters and no other member, and all entries are
    /// committed.
    bool has_voters(std::size_t count) const
    {
        const vm* leading = leading_vm();
        if (leading == nullptr) {
            return false;
        }
        const auto status = leading->replica->replica().status();
        return status.members.voter_count() == count && status.members.members.size() == count &&
               status.commit_index == status.last_index;
    }

    /// Submits a change of the settings at the leader until it is accepted.
    bool change_settings(std::uint64_t number)
    {
        bool accepted = false;
        base::time_point next_attempt;
        return run_until([&] {
            const auto now = http::event_loop::now();
            const vm* leading = leading_vm();
            if (leading != nullptr && now >= next_attempt) {
                next_attempt = now + std::chrono::milliseconds(200);
                leading->replica->submit(change(number), [&](const auto& result) {
                    const auto* reply = std::get_if<control::reply>(&result);
                    const auto* changed =
                        reply == nullptr ? nullptr : std::get_if<control::change_reply>(reply);
                    accepted = accepted || (changed != nullptr && is_done(changed->verdict));
                });
            }
            return accepted;
        });
    }

    /// VMs whose settings are not known to be current at the given time or later.
    std::vector<vm_number> unconfirmed_since(base::time_point when) const
    {
        std::vector<vm_number> found;
        for (const auto& [number, each] : m_vms) {
            if (each->version == base::settings_version() || each->confirmed_at < when) {
                found.push_back(number);
            }
        }
        return found;
    }

    /// Whether a claim from this VM is granted.
    bool claim(vm_number number, const std::string& request)
    {
        vm& from = *m_vms.at(number);
        from.granted = false;
        node::request_claim wanted;
        wanted.attempt = base::attempt_id(++m_last_attempt);
        wanted.workspace = base::workspace_id("w1");
        wanted.request =
            base::request_id(std::to_string(std::chrono::duration_cast<std::chrono::seconds>(
                                                wall_clock_now().time_since_epoch())
                                                .count()) +
                             "-" + request);
        wanted.deadline = http::event_loop::now() + std::chrono::seconds(20);
        from.claims->acquire(wanted);
        return run_until([&] { return from.granted; });
    }

private:
    struct vm {
        vm(const control_fleet& owner, vm_number given_number, const vm_plan& plan)
            : fleet(owner),
              number(given_number),
              may_campaign(plan.may_campaign),
              settings(fleet.settings_of(number, plan)),
              directory(settings),
              messages(loop, fleet.m_secret, settings.name,
                       base::incarnation(
                           static_cast<std::uint64_t>(wall_clock_now().time_since_epoch().count())))
        {
        }

        void start()
        {
            ASSERT_TRUE(messages.listen(to_string(settings.messages)));
            if (settings.replica) {
                start_replica();
            }
            propagation = std::make_unique<propagation_host>(
                loop, messages, settings, directory, replica.get(),
                propagation_host::hooks{
                    .changed = [this](const auto& compiled) { version = compiled->version(); },
                    .confirmed = [this](base::time_point when) { confirmed_at = when; },
                    .add_nearby = [](propagation::upstream_candidates&) {}});
            propagation->start();
            claims = std::make_unique<claims_host>(
                loop, messages, settings, directory, replica.get(),
                claims_host::hooks{.deliver = [this](const node::event& event) {
                    granted = granted || std::holds_alternative<node::claim_granted>(event);
                }});
            claims->start();
        }

        void start_replica()
        {
            std::filesystem::create_directories(settings.replica->data);
            replica = std::make_unique<replica_host>(
                loop, settings,
                replica_host::hooks{.send = [this](const auto& message) { send(message); },
                                    .settings_changed =
                                        [this](base::settings_version changed) {
                                            if (propagation) {
                                                propagation->replica_changed(changed);
                                            }
                                        }});
            messages.on_message<consensus::envelope>(
                wire::message_kind::consensus,
                [this](const auto&, const auto& message) { replica->receive(message); });
            ASSERT_TRUE(replica->start());
            membership = std::make_unique<replica_membership_host>(loop, messages, settings,
                                                                   directory, *replica);
            membership->start();
        }

        void send(const consensus::envelope& message)
        {
            if (!may_campaign &&
                std::holds_alternative<consensus::pre_vote_request>(message.body)) {
                return;
            }
            const base::node_id to(message.to.id.value());
            messages.send(to, to.value() + ":" + std::to_string(fleet.m_port),
                          wire::message_kind::consensus, message);
        }

        const control_fleet& fleet;
        vm_number number;
        bool may_campaign;
        process_settings settings;
        replica_directory directory;
        http::event_loop loop;
        messenger messages;
        std::unique_ptr<replica_host> replica;
        std::unique_ptr<replica_membership_host> membership;
        std::unique_ptr<propagation_host> propagation;
        std::unique_ptr<claims_host> claims;
        base::settings_version version;
        base::time_point confirmed_at;
        bool granted = false;
    };

    static void run_once(http::event_loop& loop)
    {
        loop.call_at(http::event_loop::now() + std::chrono::milliseconds(1),
                     [&loop] { loop.stop(); });
        loop.run();
    }

    static bool is_done(control::change_verdict verdict)
    {
        return verdict == control::change_verdict::accepted ||
               verdict == control::change_verdict::unchanged;
    }

    const vm* leading_vm() const
    {
        for (const auto& [number, each] : m_vms) {
            if (each->replica && each->replica->leads()) {
                return each.get();
            }
        }
        return nullptr;
    }

    process_settings settings_of(vm_number number, const vm_plan& plan) const
    {
        process_settings settings;
        settings.name = base::node_id(address_of(number));
        settings.domain = base::failure_domain_id("d" + std::to_string(number));
        settings.messages = {address_of(number), m_port};
        settings.messages_port = m_port;
        settings.discovers_replicas = true;
        settings.forms_cluster = plan.forms_cluster;
        for (const vm_number each : plan.listed) {
            settings.replicas[base::node_id(address_of(each))] = {address_of(each), m_port};
        }
        settings.node.emplace();
        if (plan.has_replica) {
            settings.replica.emplace();
            settings.replica->data = m_folder + "/" + settings.name.value();
            settings.replica->admin = base::operator_id("operator");
        }
        return settings;
    }

    /// A change of the settings that is made once, however often it is submitted.
    static control::change_settings change(std::uint64_t number)
    {
        control::change_settings command;
        command.header = {base::change_id("change-" + std::to_string(number)),
                          base::operator_id("operator"), wall_clock_now()};
        command.subtree = settings::setting_path::parse("teams/main").value();
        command.edit = settings::setting_tree();
        command.document = control::document_change{
            base::document_version(number - 1),
            {base::document_version(number), "document " + std::to_string(number)}};
        return command;
    }

    std::string m_folder;
    wire::cluster_secret m_secret;
    /// A port that was free on 127.0.0.1; all VMs use the same one.
    std::uint16_t m_port = http::loopback_listener().port();
    std::uint64_t m_last_attempt = 0;
    std::map<vm_number, std::unique_ptr<vm>> m_vms;
};

} // namespace damaskladder::daemon
