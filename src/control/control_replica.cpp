#include "control/control_replica.hpp"

#include "control/log_record.hpp"

#include <span>
#include <type_traits>

namespace damaskladder::control {

namespace {

template <class T>
constexpr bool is_forwarded =
    std::is_same_v<T, consensus::send_message> || std::is_same_v<T, consensus::persist_vote> ||
    std::is_same_v<T, consensus::persist_entries> || std::is_same_v<T, consensus::persist_snapshot>;

} // namespace

control_replica::control_replica(consensus::replica_options log,
                                 consensus::recovered_state recovered, const state_options& options,
                                 base::random_source random)
    : m_consensus(std::move(log), std::move(recovered), std::move(random)), m_state(options)
{
}

control_replica::effects control_replica::start(base::time_point now)
{
    effects out;
    process(m_consensus.start(now), out, now);
    return out;
}

control_replica::effects control_replica::handle(consensus::event input, base::time_point now)
{
    effects out;
    process(m_consensus.handle(std::move(input), now), out, now);
    return out;
}

control_replica::effects control_replica::submit(submission_id id, const command& entry,
                                                 base::wall_time wall_now, base::time_point now)
{
    consensus::propose proposal_batch;
    proposal_batch.proposals.push_back(
        {consensus::proposal_id(id.value()), {encode(log_record{wall_now, entry})}});
    return handle(std::move(proposal_batch), now);
}

control_replica::effects control_replica::change_members(submission_id id,
                                                         consensus::membership_change member_change,
                                                         base::time_point now)
{
    return handle(consensus::membership_change_requested{consensus::proposal_id(id.value()),
                                                         std::move(member_change)},
                  now);
}

control_replica::effects control_replica::query(submission_id id, base::time_point now)
{
    return handle(consensus::read_requested{consensus::read_id(id.value())}, now);
}

void control_replica::process(std::vector<consensus::effect> log_effects, effects& out,
                              base::time_point now)
{
    for (auto& item : log_effects) {
        std::visit(
            [&](auto& effect) {
                using effect_type = std::decay_t<decltype(effect)>;
                if constexpr (is_forwarded<effect_type>) {
                    out.emplace_back(std::move(effect));
                }
                else if constexpr (std::is_same_v<effect_type, consensus::read_confirmed>) {
                    out.emplace_back(query_confirmed{submission_id(effect.id.value())});
                }
                else if constexpr (std::is_same_v<effect_type, consensus::became_leader>) {
                    update_leadership(true, out);
                }
                else if constexpr (std::is_same_v<effect_type, consensus::stepped_down>) {
                    update_leadership(false, out);
                }
                else if constexpr (std::is_same_v<effect_type, consensus::snapshot_wanted>) {
                    const auto bytes = m_state.snapshot();
                    process(
                        m_consensus.handle(consensus::snapshot_taken{effect.applied_index,
                                                                     {bytes.begin(), bytes.end()}},
                                           now),
                        out, now);
                }
                else if constexpr (std::is_same_v<effect_type, consensus::apply_committed> ||
                                   std::is_same_v<effect_type, consensus::install_snapshot> ||
                                   std::is_same_v<effect_type, consensus::refused>) {
                    process(effect, out);
                }
            },
            item);
    }
}

void control_replica::process(consensus::apply_committed& log_effect, effects& out)
{
    const auto* bytes = std::get_if<consensus::command>(&log_effect.committed.payload);
    if (bytes == nullptr) {
        if (log_effect.proposal) {
            // A membership change, which does not involve the state machine.
            change_reply answer;
            answer.verdict = change_verdict::accepted;
            out.emplace_back(
                submission_answered{submission_id(log_effect.proposal->value()), answer});
        }
        return;
    }
    const auto answer = base::handle_failure(
        [&]() -> base::result<std::optional<reply>> {
            BOOST_LEAF_AUTO(record, decode_log_record(bytes->bytes));
            const log_stamp stamp{log_position(log_effect.committed.index.value()), record.time};
            return std::optional(m_state.apply(stamp, record.entry));
        },
        [&](const base::failure&) {
            ++m_unreadable_entries;
            return std::optional<reply>();
        });
    if (log_effect.proposal && answer) {
        out.emplace_back(submission_answered{submission_id(log_effect.proposal->value()), *answer});
    }
    emit_version_change(out);
}

void control_replica::process(const consensus::install_snapshot& log_effect, effects& out)
{
    const auto& bytes = log_effect.content->state;
    base::handle_failure(
        [&]() -> base::result<void> {
            return m_state.restore(
                std::span(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()));
        },
        [&](const base::failure&) { ++m_unreadable_entries; });
    emit_version_change(out);
}

void control_replica::process(const consensus::refused& log_effect, effects& out)
{
    const auto id = std::visit([](const auto& request) { return submission_id(request.value()); },
                               log_effect.request);
    out.emplace_back(submission_refused{id, log_effect.reason, log_effect.known_leader});
}

void control_replica::update_leadership(bool leads, effects& out)
{
    if (m_leads != leads) {
        m_leads = leads;
        out.emplace_back(leadership_changed{leads});
    }
}

void control_replica::emit_version_change(effects& out)
{
    const auto version = m_state.tree().version();
    if (version != m_version) {
        m_version = version;
        out.emplace_back(settings_version_changed{version});
    }
}

} // namespace damaskladder::control
