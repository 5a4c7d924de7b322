#include "admission/controller.hpp"

#include <algorithm>
#include <cmath>

namespace damaskladder::admission {
namespace {

/// Sweep of the queue for calls that waited too long.
constexpr base::duration sweep_interval = std::chrono::milliseconds(10);

std::size_t index_of(base::importance level)
{
    return static_cast<std::size_t>(level);
}

} // namespace

controller::controller(controller_options options) : m_options(options), m_limit(options.limit) {}

void controller::announce(base::slot_count slots, bool cold, base::time_point now,
                          std::vector<verdict>& out)
{
    m_limit.announce(slots, cold, now);
    m_announced = true;
    dispatch(now, out);
}

void controller::offer(const call_request& request, base::time_point now, std::vector<verdict>& out)
{
    call_request wanted = request;
    if (wanted.open) {
        wanted.workspace = base::workspace_id();
        wanted.weight = m_options.open_weight;
    }
    auto why = verdict_kind::shed;
    if (m_closed || wanted.deadline <= now) {
        out.push_back({wanted.id, m_closed ? verdict_kind::closed : verdict_kind::deadline});
        return;
    }
    if (!fits(wanted, now, why)) {
        shed(wanted.id, wanted.importance, why, now, out);
        return;
    }
    if (queued() == 0) {
        m_next_expiry = now + sweep_interval;
    }
    m_places[wanted.id] = {wanted.importance, wanted.workspace, wanted.open, false};
    level_queue(wanted.importance).push(wanted, now);
    dispatch(now, out);
    make_room(now, out);
}

void controller::finished(ticket id, call_outcome outcome, base::duration own_latency,
                          base::time_point now, std::vector<verdict>& out)
{
    auto found = m_places.find(id);
    if (found == m_places.end() || !found->second.running) {
        return;
    }
    m_limit.on_finished(outcome, own_latency, running(), now);
    --m_running;
    m_running_open -= found->second.open ? 1 : 0;
    m_places.erase(found);
    dispatch(now, out);
}

void controller::caller_gone(ticket id)
{
    auto found = m_places.find(id);
    if (found == m_places.end() || found->second.running) {
        return;
    }
    level_queue(found->second.level).erase(found->second.workspace, id);
    m_places.erase(found);
}

void controller::expire(base::time_point now, std::vector<verdict>& out)
{
    if (queued() == 0 || now < m_next_expiry) {
        return;
    }
    m_next_expiry = now + sweep_interval;
    for (int value = 0; value < base::importance_levels; ++value) {
        const auto level = static_cast<base::importance>(value);
        auto late = level_queue(level).take_if([&](const queued_call& call) {
            return call.deadline <= now || now - call.queued_at > m_options.longest_wait;
        });
        for (const auto& call : late) {
            m_places.erase(call.id);
            const bool passed = call.deadline <= now;
            shed(call.id, level, passed ? verdict_kind::deadline : verdict_kind::shed, now, out);
        }
    }
    dispatch(now, out);
}

void controller::close(std::vector<verdict>& out)
{
    m_closed = true;
    for (auto& queue : m_queues) {
        for (const auto& call : queue.take_if([](const queued_call&) { return true; })) {
            m_places.erase(call.id);
            out.push_back({call.id, verdict_kind::closed});
        }
    }
}

std::optional<base::time_point> controller::next_deadline() const
{
    if (queued() == 0) {
        return std::nullopt;
    }
    return m_next_expiry;
}

std::optional<base::importance> controller::shed_level(base::time_point now) const
{
    return m_meter.level(now);
}

base::slot_count controller::running() const
{
    return base::slot_count(m_running);
}

std::int64_t controller::queued() const
{
    std::int64_t total = 0;
    for (const auto& queue : m_queues) {
        total += queue.size();
    }
    return total;
}

fair_queue& controller::level_queue(base::importance level)
{
    return m_queues.at(index_of(level));
}

bool controller::fits(const call_request& request, base::time_point now, verdict_kind& why) const
{
    const bool open_full = request.open && m_running_open >= open_slots();
    if (m_announced && base::slot_count(m_running) < limit() && !open_full) {
        return true;
    }
    const base::duration wait = expected_wait(request);
    if (wait > m_options.longest_wait) {
        why = verdict_kind::shed;
        return false;
    }
    if (now + wait + typical_latency() > request.deadline) {
        why = verdict_kind::deadline;
        return false;
    }
    return true;
}

base::duration controller::expected_wait(const call_request& request) const
{
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, limit().value()));
    double ahead = 0;
    for (auto level = index_of(request.importance) + 1; level < m_queues.size(); ++level) {
        ahead += static_cast<double>(m_queues.at(level).size());
    }
    const auto& queue = m_queues.at(index_of(request.importance));
    ahead += static_cast<double>(queue.waiting(request.workspace)) /
             queue.share_of(request.workspace, request.weight);
    const auto latency = static_cast<double>(typical_latency().count());
    if (latency == 0) {
        return ahead > slots * m_options.unmeasured_queue ? base::duration::max()
                                                          : base::duration::zero();
    }
    // Slots free up one by one, each after one latency.
    return base::duration(std::llround((ahead + 1) * latency / slots));
}

std::int64_t controller::open_slots() const
{
    const double part = static_cast<double>(limit().value()) * m_options.open_part;
    return std::max<std::int64_t>(1, std::llround(std::floor(part)));
}

std::int64_t controller::longest_queue() const
{
    const auto latency = static_cast<double>(typical_latency().count());
    if (latency == 0) {
        return m_options.most_queued;
    }
    const auto drained = static_cast<double>(limit().value()) *
                         static_cast<double>(m_options.longest_wait.count()) / latency;
    return std::clamp<std::int64_t>(std::llround(drained), 1, m_options.most_queued);
}

void controller::make_room(base::time_point now, std::vector<verdict>& out)
{
    while (queued() > longest_queue()) {
        auto least = std::find_if(m_queues.begin(), m_queues.end(),
                                  [](const fair_queue& queue) { return queue.size() > 0; });
        const auto victim = least->evict();
        m_places.erase(victim->id);
        const auto level = static_cast<base::importance>(least - m_queues.begin());
        shed(victim->id, level, verdict_kind::shed, now, out);
    }
}

void controller::dispatch(base::time_point now, std::vector<verdict>& out)
{
    while (m_announced && base::slot_count(m_running) < limit()) {
        auto level = base::importance::background;
        const auto next = pop_next(level);
        if (!next) {
            return;
        }
        if (next->deadline <= now) {
            m_places.erase(next->id);
            shed(next->id, level, verdict_kind::deadline, now, out);
        }
        else {
            start(*next, level, now, out);
        }
    }
}

std::optional<queued_call> controller::pop_next(base::importance& level)
{
    const bool take_open = m_running_open < open_slots();
    for (int value = base::importance_levels - 1; value >= 0; --value) {
        level = static_cast<base::importance>(value);
        if (auto call = level_queue(level).pop(take_open)) {
            return call;
        }
    }
    return std::nullopt;
}

void controller::start(const queued_call& call, base::importance level, base::time_point now,
                       std::vector<verdict>& out)
{
    m_places[call.id].running = true;
    ++m_running;
    m_running_open += call.open ? 1 : 0;
    m_meter.started(level, now);
    out.push_back({call.id, verdict_kind::start});
}

void controller::shed(ticket id, base::importance level, verdict_kind kind, base::time_point now,
                      std::vector<verdict>& out)
{
    m_meter.shed(level, now);
    out.push_back({id, kind});
}

} // namespace damaskladder::admission
