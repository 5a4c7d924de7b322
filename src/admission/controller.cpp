#include "admission/controller.hpp"

#include <algorithm>
#include <cmath>

namespace damaskladder::admission {
namespace {

/// Interval between two sweeps of the queue for expired calls.
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
    call_request effective = request;
    if (effective.open) {
        effective.workspace = base::workspace_id();
        effective.weight = m_options.open_weight;
    }
    auto reason = verdict_kind::shed;
    if (m_closed || effective.deadline <= now) {
        out.push_back({effective.id, m_closed ? verdict_kind::closed : verdict_kind::deadline});
        return;
    }
    if (!can_accept(effective, now, reason)) {
        shed(effective.id, effective.importance, reason, now, out);
        return;
    }
    if (queued() == 0) {
        m_next_sweep = now + sweep_interval;
    }
    m_calls[effective.id] = {effective.importance, effective.workspace, effective.open, false};
    queue_for(effective.importance).push(effective, now);
    dispatch(now, out);
    evict_excess(now, out);
}

void controller::finished(ticket id, call_outcome outcome, base::duration own_latency,
                          base::time_point now, std::vector<verdict>& out)
{
    auto found = m_calls.find(id);
    if (found == m_calls.end() || !found->second.running) {
        return;
    }
    m_limit.on_finished(outcome, own_latency, running(), now);
    --m_running;
    m_running_open -= found->second.open ? 1 : 0;
    m_calls.erase(found);
    dispatch(now, out);
}

void controller::caller_gone(ticket id)
{
    auto found = m_calls.find(id);
    if (found == m_calls.end() || found->second.running) {
        return;
    }
    queue_for(found->second.level).erase(found->second.workspace, id);
    m_calls.erase(found);
}

void controller::expire(base::time_point now, std::vector<verdict>& out)
{
    if (queued() == 0 || now < m_next_sweep) {
        return;
    }
    m_next_sweep = now + sweep_interval;
    for (int value = 0; value < base::importance_levels; ++value) {
        const auto level = static_cast<base::importance>(value);
        auto expired = queue_for(level).extract_if([&](const queued_call& call) {
            return call.deadline <= now || now - call.queued_at > m_options.max_wait;
        });
        for (const auto& call : expired) {
            m_calls.erase(call.id);
            const bool past_deadline = call.deadline <= now;
            shed(call.id, level, past_deadline ? verdict_kind::deadline : verdict_kind::shed, now,
                 out);
        }
    }
    dispatch(now, out);
}

void controller::close(std::vector<verdict>& out)
{
    m_closed = true;
    for (auto& queue : m_queues) {
        for (const auto& call : queue.extract_if([](const queued_call&) { return true; })) {
            m_calls.erase(call.id);
            out.push_back({call.id, verdict_kind::closed});
        }
    }
}

std::optional<base::time_point> controller::next_deadline() const
{
    if (queued() == 0) {
        return std::nullopt;
    }
    return m_next_sweep;
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

fair_queue& controller::queue_for(base::importance level)
{
    return m_queues.at(index_of(level));
}

bool controller::can_accept(const call_request& request, base::time_point now,
                            verdict_kind& reason) const
{
    const bool open_full = request.open && m_running_open >= max_running_open();
    if (m_announced && base::slot_count(m_running) < limit() && !open_full) {
        return true;
    }
    const base::duration wait = expected_wait(request);
    if (wait > m_options.max_wait) {
        reason = verdict_kind::shed;
        return false;
    }
    if (now + wait + typical_latency() > request.deadline) {
        reason = verdict_kind::deadline;
        return false;
    }
    return true;
}

base::duration controller::expected_wait(const call_request& request) const
{
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, limit().value()));
    double calls_ahead = 0;
    for (auto level = index_of(request.importance) + 1; level < m_queues.size(); ++level) {
        calls_ahead += static_cast<double>(m_queues.at(level).size());
    }
    const auto& queue = m_queues.at(index_of(request.importance));
    calls_ahead += static_cast<double>(queue.waiting(request.workspace)) /
                   queue.share_fraction(request.workspace, request.weight);
    const auto latency = static_cast<double>(typical_latency().count());
    if (latency == 0) {
        return calls_ahead > slots * m_options.unmeasured_queue_factor ? base::duration::max()
                                                                       : base::duration::zero();
    }
    // Slots free up evenly: one every latency / slots.
    return base::duration(std::llround((calls_ahead + 1) * latency / slots));
}

std::int64_t controller::max_running_open() const
{
    const double max_open = static_cast<double>(limit().value()) * m_options.max_open_fraction;
    return std::max<std::int64_t>(1, std::llround(std::floor(max_open)));
}

std::int64_t controller::max_queue_length() const
{
    const auto latency = static_cast<double>(typical_latency().count());
    if (latency == 0) {
        return m_options.max_queued;
    }
    const auto drainable = static_cast<double>(limit().value()) *
                           static_cast<double>(m_options.max_wait.count()) / latency;
    return std::clamp<std::int64_t>(std::llround(drainable), 1, m_options.max_queued);
}

void controller::evict_excess(base::time_point now, std::vector<verdict>& out)
{
    while (queued() > max_queue_length()) {
        auto least_important =
            std::find_if(m_queues.begin(), m_queues.end(),
                         [](const fair_queue& queue) { return queue.size() > 0; });
        const auto victim = least_important->evict();
        m_calls.erase(victim->id);
        const auto level = static_cast<base::importance>(least_important - m_queues.begin());
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
            m_calls.erase(next->id);
            shed(next->id, level, verdict_kind::deadline, now, out);
        }
        else {
            start(*next, level, now, out);
        }
    }
}

std::optional<queued_call> controller::pop_next(base::importance& level)
{
    const bool include_open = m_running_open < max_running_open();
    for (int value = base::importance_levels - 1; value >= 0; --value) {
        level = static_cast<base::importance>(value);
        if (auto call = queue_for(level).pop(include_open)) {
            return call;
        }
    }
    return std::nullopt;
}

void controller::start(const queued_call& call, base::importance level, base::time_point now,
                       std::vector<verdict>& out)
{
    m_calls[call.id].running = true;
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
