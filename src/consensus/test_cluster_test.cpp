#include "consensus/file_encoding.hpp"
#include "consensus/test_cluster.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace damaskladder::consensus {

namespace {

std::uint64_t hash_entry(std::uint64_t hash, const entry& next)
{
    for (const char c : encode_entry(next)) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211U;
    }
    return hash;
}

} // namespace

test_cluster::test_cluster(std::size_t count, std::uint64_t seed, const replica_options& options)
    : m_options(options), m_random(seed), m_replicas(count)
{
    const bool all_form = m_options.initial_replicas.empty();
    for (std::size_t i = 0; all_form && i < count; ++i) {
        m_options.initial_replicas.push_back(id_of(i));
    }
    for (std::size_t i = 0; i < count; ++i) {
        m_replicas[i].disk = std::make_unique<fake_disk>();
        start(i);
    }
}

replica_id test_cluster::id_of(std::size_t number)
{
    return replica_id(std::string(1, static_cast<char>('a' + number)));
}

void test_cluster::tick(std::size_t number)
{
    step(number, consensus::tick{});
}

std::uint64_t test_cluster::propose(std::size_t number)
{
    const std::uint64_t request = m_next_request++;
    step(number, consensus::propose{{{proposal_id(request), {std::to_string(request)}}}});
    return request;
}

void test_cluster::read(std::size_t number)
{
    const read_id request(m_next_request++);
    m_replicas[number].reads[request] = m_reference.size();
    step(number, read_requested{request});
}

std::uint64_t test_cluster::change(std::size_t number, membership_change change)
{
    const std::uint64_t request = m_next_request++;
    step(number, membership_change_requested{proposal_id(request), std::move(change)});
    return request;
}

void test_cluster::transfer(std::size_t number)
{
    step(number, transfer_requested{});
}

void test_cluster::flush(std::size_t number)
{
    if (is_up(number) && !m_replicas[number].queue->empty()) {
        if (auto done = m_replicas[number].queue->flush()) {
            step(number, std::move(*done));
        }
    }
}

void test_cluster::deliver(std::size_t position)
{
    deliver_copy(position);
    drop(position);
}

void test_cluster::deliver_copy(std::size_t position)
{
    // Replies are appended at the end, so the position stays valid.
    const envelope delivered = m_messages[position];
    const auto number_of = [](const replica_id& id) {
        return static_cast<std::size_t>(id.value()[0] - 'a');
    };
    const std::size_t to = number_of(delivered.to.id);
    if (m_replicas[to].group != m_replicas[number_of(delivered.from.id)].group) {
        return;
    }
    if (is_frozen(to)) {
        m_replicas[to].received_while_frozen.push_back(delivered);
    }
    else {
        step(to, message_received{delivered});
    }
}

void test_cluster::drop(std::size_t position)
{
    m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(position));
}

void test_cluster::crash(std::size_t number, unsynced_data unsynced)
{
    test_replica& crashed = m_replicas[number];
    crashed.core.reset();
    crashed.queue.reset();
    crashed.storage.reset();
    crashed.reads.clear();
    crashed.disk->crash(unsynced);
}

void test_cluster::start(std::size_t number)
{
    test_replica& started = m_replicas[number];
    const base::random_source random = [this] { return m_random(); };
    const auto& forming = m_options.initial_replicas;
    file_storage_options folder{id_of(number)};
    if (!started.rejoins && std::find(forming.begin(), forming.end(), folder.id) != forming.end()) {
        folder.initial_replicas = forming;
    }
    started.storage = base::handle_failure(
        [&] { return file_storage::open(folder, started.disk->layer(), random); },
        [&](const base::failure& failed) {
            // A disk that is still full keeps the replica down; this is not a violation.
            expect(failed.kind == base::failure_kind::io, "start: " + base::to_string(failed));
            return std::unique_ptr<file_storage>();
        });
    if (!started.storage) {
        return;
    }
    started.queue.emplace(started.storage->hooks());
    started.applied = {};
    started.hash = 0;
    started.wanted_snapshot.reset();
    replica_options options = m_options;
    if (started.rejoins) {
        options.initial_replicas.clear();
    }
    started.core.emplace(options, started.storage->take_recovered_state(), random);
    execute_effects(number, started.core->start(m_now));
}

void test_cluster::wipe(std::size_t number)
{
    crash(number, unsynced_data::lost);
    m_replicas[number].disk = std::make_unique<fake_disk>();
    start(number);
}

void test_cluster::thaw(std::size_t number)
{
    m_replicas[number].frozen = false;
    const auto received = std::exchange(m_replicas[number].received_while_frozen, {});
    for (const envelope& each : received) {
        step(number, message_received{each});
    }
}

void test_cluster::heal()
{
    for (std::size_t i = 0; i < size(); ++i) {
        set_group(i, 0);
    }
}

void test_cluster::run(base::duration amount)
{
    const base::time_point end = m_now + amount;
    while (m_now < end) {
        pass_time(m_options.tick_interval);
        for (std::size_t i = 0; i < size(); ++i) {
            if (!is_frozen(i)) {
                tick(i);
            }
        }
        deliver_all();
    }
}

void test_cluster::deliver_all()
{
    // Bounds a cycle of messages that answer each other; no delivery order needs more.
    constexpr int max_deliveries = 5000;
    for (int i = 0; i < max_deliveries && !m_messages.empty() && !pause; ++i) {
        const std::size_t position = reverse ? m_messages.size() - 1 : 0;
        if (loss_percent > static_cast<int>(m_random() % 100)) {
            drop(position);
            continue;
        }
        if (duplicate) {
            deliver_copy(position);
        }
        deliver(position);
    }
}

bool test_cluster::run_until(const std::function<bool()>& condition, base::duration limit)
{
    const base::time_point end = m_now + limit;
    while (m_now < end && !condition()) {
        run(m_options.tick_interval);
    }
    return condition();
}

bool test_cluster::converges(base::duration limit)
{
    if (!run_until([&] { return leader().has_value(); }, limit)) {
        return false;
    }
    std::uint64_t last = propose(*leader());
    return run_until(
        [&] {
            if (refusals.count(last) != 0 && leader()) {
                last = propose(*leader());
            }
            bool complete = accepted.count(last) != 0;
            for (std::size_t i = 0; i < size(); ++i) {
                const bool counts = is_up(i) && is_member(i);
                complete = complete && (!counts || applied(i).value() == m_reference.size());
            }
            return complete;
        },
        limit);
}

bool test_cluster::is_member(std::size_t number) const
{
    const member* known = m_members.find(id_of(number));
    return known != nullptr && known->identity == status(number).identity;
}

std::string test_cluster::describe() const
{
    std::ostringstream out;
    for (std::size_t i = 0; i < size(); ++i) {
        out << id_of(i);
        if (!is_up(i)) {
            out << " down\n";
            continue;
        }
        const replica_status now = status(i);
        out << "/" << now.identity.nonce << " " << to_string(now.role) << " term " << now.term
            << " commit " << now.commit_index << " last " << now.last_index << " snapshot "
            << now.snapshot_index << " members";
        for (const member& each : now.members.members) {
            out << " " << each.identity.id << "/" << each.identity.nonce << ":"
                << static_cast<int>(each.role);
        }
        out << "\n";
    }
    return out.str();
}

std::optional<std::size_t> test_cluster::leader() const
{
    std::optional<std::size_t> found;
    for (std::size_t i = 0; i < size(); ++i) {
        const bool leads = is_up(i) && status(i).role == replica_role::leader;
        if (leads && (!found || status(i).term > status(*found).term)) {
            found = i;
        }
    }
    return found;
}

void test_cluster::step(std::size_t number, event happened)
{
    if (is_up(number)) {
        execute_effects(number, m_replicas[number].core->handle(std::move(happened), m_now));
    }
}

void test_cluster::execute_effects(std::size_t number, std::vector<effect> effects)
{
    for (effect& each : effects) {
        if (!m_replicas[number].queue->add(each)) {
            std::visit([&](auto& next) { on(number, next); }, each);
        }
    }
    if (!delay_syncs) {
        flush(number);
    }
    if (m_replicas[number].wanted_snapshot) {
        take_snapshot(number);
    }
}

void test_cluster::on(std::size_t /*number*/, send_message& sent)
{
    m_messages.push_back(std::move(sent.content));
}

void test_cluster::on(std::size_t number, apply_committed& applied)
{
    test_replica& machine = m_replicas[number];
    const entry& next = applied.committed;
    expect(next.index == index_after(machine.applied), "entries are applied without gaps");
    machine.applied = next.index;
    machine.hash = hash_entry(machine.hash, next);
    if (next.index.value() == m_reference.size() + 1) {
        m_reference.push_back(machine.hash);
        if (const auto* members = std::get_if<configuration>(&next.payload)) {
            m_members = *members;
        }
    }
    expect(m_reference.at(next.index.value() - 1) == machine.hash, "one committed sequence");
    if (applied.proposal) {
        expect(accepted.emplace(applied.proposal->value(), next.index).second &&
                   refusals.count(applied.proposal->value()) == 0,
               "one outcome for each proposal");
    }
}

void test_cluster::on(std::size_t number, install_snapshot& installed)
{
    test_replica& machine = m_replicas[number];
    ++snapshots_installed;
    machine.applied = installed.content->last_index;
    machine.hash = std::stoull(installed.content->state);
    expect(machine.applied.value() <= m_reference.size() &&
               m_reference.at(machine.applied.value() - 1) == machine.hash,
           "snapshots hold the committed sequence");
}

void test_cluster::on(std::size_t number, read_confirmed& confirmed)
{
    ++reads_confirmed;
    const std::size_t committed_before = m_replicas[number].reads.at(confirmed.id);
    expect(m_replicas[number].applied.value() >= committed_before, "reads are linearizable");
}

void test_cluster::on(std::size_t number, became_leader& elected)
{
    const replica_identity identity = status(number).identity;
    const auto [found, is_new] = m_leaders.emplace(elected.term, identity);
    expect(is_new || found->second == identity, "one leader per term");
    if (on_elected) {
        on_elected(number);
    }
}

void test_cluster::on(std::size_t /*number*/, refused& request)
{
    if (const auto* proposal = std::get_if<proposal_id>(&request.request)) {
        expect(accepted.count(proposal->value()) == 0, "one outcome for each proposal");
        refusals[proposal->value()] = request.reason;
    }
}

void test_cluster::on(std::size_t number, snapshot_wanted& wanted)
{
    m_replicas[number].wanted_snapshot = wanted.applied_index;
}

void test_cluster::take_snapshot(std::size_t number)
{
    test_replica& machine = m_replicas[number];
    machine.wanted_snapshot.reset();
    // Padded so that a transfer needs several chunks.
    constexpr std::size_t padding = 100;
    step(number, snapshot_taken{machine.applied,
                                std::to_string(machine.hash) + " " + std::string(padding, '.')});
}

void test_cluster::expect(bool condition, const std::string& text)
{
    if (!condition && m_violation.empty()) {
        m_violation = text;
    }
}

} // namespace damaskladder::consensus
