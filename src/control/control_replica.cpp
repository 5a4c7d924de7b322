#include "control/control_replica.hpp"

#include "control/log_record.hpp"

#include <span>
#include <type_traits>

namespace damaskladder::control {

namespace {

template <class T>
constexpr bool passes_through =
    std::is_same_v<T, consensus::send_message> || std::is_same_v<T, consensus::persist_vote> ||
    std::is_same_v<T, consensus::persist_entries> || std::is_same_v<T, consensus::persist_snapshot>;

} // namespace

control_replica::control_replica(consensus::replica_options log,
                                 consensus::recovered_state recovered, const state_options& options,
                                 base::random_source random)
    : m_log(std::move(log), std::move(recovered), std::move(random)), m_state(options)
{
}

control_replica::effects control_replica::start(base::time_point now)
{
    effects out;
    carry_out(m_log.start(now), out, now);
    return out;
}

control_replica::effects control_replica::handle(consensus::event happened, base::time_point now)
{
    effects out;
    carry_out(m_log.handle(std::move(happened), now), out, now);
    return out;
}

control_replica::effects control_replica::submit(submission_id id, const command& entry,
                                                 base::wall_time wall_now, base::time_point now)
{
    consensus::propose wanted;
    wanted.proposals.push_back(
        {consensus::proposal_id(id.value()), {encode(log_record{wall_now, entry})}});
    return handle(std::move(wanted), now);
}

control_replica::effects control_replica::change_members(submission_id id,
                                                         consensus::membership_change wanted,
                                                         base::time_point now)
{
    return handle(consensus::membership_change_requested{consensus::proposal_id(id.value()),
                                                         std::move(wanted)},
                  now);
}

control_replica::effects control_replica::query(submission_id id, base::time_point now)
{
    return handle(consensus::read_requested{consensus::read_id(id.value())}, now);
}

void control_replica::carry_out(std::vector<consensus::effect> wanted, effects& out,
                                base::time_point now)
{
    for (auto& next : wanted) {
        std::visit(
            [&](auto& effect) {
                using kind = std::decay_t<decltype(effect)>;
                if constexpr (passes_through<kind>) {
                    out.emplace_back(std::move(effect));
                }
                else if constexpr (std::is_same_v<kind, consensus::read_confirmed>) {
                    out.emplace_back(query_confirmed{submission_id(effect.id.value())});
                }
                else if constexpr (std::is_same_v<kind, consensus::became_leader>) {
                    set_leads(true, out);
                }
                else if constexpr (std::is_same_v<kind, consensus::stepped_down>) {
                    set_leads(false, out);
                }
                else if constexpr (std::is_same_v<kind, consensus::snapshot_wanted>) {
                    const auto bytes = m_state.snapshot();
                    carry_out(m_log.handle(consensus::snapshot_taken{effect.applied_index,
                                                                     {bytes.begin(), bytes.end()}},
                                           now),
                              out, now);
                }
                else if constexpr (std::is_same_v<kind, consensus::apply_committed> ||
                                   std::is_same_v<kind, consensus::install_snapshot> ||
                                   std::is_same_v<kind, consensus::refused>) {
                    carry_out(effect, out);
                }
            },
            next);
    }
}

void control_replica::carry_out(consensus::apply_committed& wanted, effects& out)
{
    const auto* bytes = std::get_if<consensus::command>(&wanted.committed.payload);
    if (bytes == nullptr) {
        if (wanted.proposal) {
            // A change of the replicas, which the state machine has no part in.
            change_reply answer;
            answer.verdict = change_verdict::accepted;
            out.emplace_back(submission_answered{submission_id(wanted.proposal->value()), answer});
        }
        return;
    }
    const auto answer = base::handle_failure(
        [&]() -> base::result<std::optional<reply>> {
            BOOST_LEAF_AUTO(record, decode_log_record(bytes->bytes));
            const log_stamp stamp{log_position(wanted.committed.index.value()), record.time};
            return std::optional(m_state.apply(stamp, record.entry));
        },
        [&](const base::failure&) {
            ++m_unreadable;
            return std::optional<reply>();
        });
    if (wanted.proposal && answer) {
        out.emplace_back(submission_answered{submission_id(wanted.proposal->value()), *answer});
    }
    note_version(out);
}

void control_replica::carry_out(const consensus::install_snapshot& wanted, effects& out)
{
    const auto& bytes = wanted.content->state;
    base::handle_failure(
        [&]() -> base::result<void> {
            return m_state.restore(
                std::span(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()));
        },
        [&](const base::failure&) { ++m_unreadable; });
    note_version(out);
}

void control_replica::carry_out(const consensus::refused& wanted, effects& out)
{
    const auto id = std::visit([](const auto& request) { return submission_id(request.value()); },
                               wanted.request);
    out.emplace_back(submission_refused{id, wanted.reason, wanted.known_leader});
}

void control_replica::set_leads(bool leads, effects& out)
{
    if (m_leads != leads) {
        m_leads = leads;
        out.emplace_back(leadership_changed{leads});
    }
}

void control_replica::note_version(effects& out)
{
    const auto version = m_state.tree().version();
    if (version != m_version) {
        m_version = version;
        out.emplace_back(state_changed{version});
    }
}

} // namespace damaskladder::control
