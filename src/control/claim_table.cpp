#include "control/claim_table.hpp"

#include "control/claim_time.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::control {

namespace {

// Names of workspaces and nodes are setting names, which have at most 49 characters.
constexpr std::size_t max_name_length = 49;

claim_reply make_reply(claim_verdict verdict)
{
    return {verdict, {}, {}};
}

claim_reply make_holder_reply(claim_verdict verdict, const claim_record& record)
{
    return {verdict, record.attempt, record.node};
}

bool has_released(const claim_record& record, base::attempt_id attempt)
{
    return std::find(record.released.begin(), record.released.end(), attempt) !=
           record.released.end();
}

} // namespace

claim_table::claim_table(const state_options& options)
    : m_retention(options.claim_retention),
      m_max_ahead(options.claim_max_ahead),
      m_max_claims(options.max_claims),
      m_max_released_attempts(options.max_released_attempts)
{
}

claim_reply claim_table::check(const claim_request& request, base::wall_time now) const
{
    auto verdict = check_key(request.key, now);
    if (verdict != claim_verdict::granted) {
        return make_reply(verdict);
    }
    if (request.node.value().size() > max_name_length) {
        return make_reply(claim_verdict::malformed);
    }
    const auto* record = find(request.key);
    if (record == nullptr) {
        return make_reply(is_full(now) ? claim_verdict::table_full : claim_verdict::granted);
    }
    if (record->content && *record->content != request.content) {
        return make_reply(claim_verdict::other_content);
    }
    if (record->state == claim_state::done) {
        return make_holder_reply(claim_verdict::done, *record);
    }
    if (record->state == claim_state::held) {
        bool resent = record->attempt == request.attempt;
        return make_holder_reply(resent ? claim_verdict::granted : claim_verdict::held, *record);
    }
    if (has_released(*record, request.attempt)) {
        return make_reply(claim_verdict::released);
    }
    return make_reply(claim_verdict::granted);
}

claim_reply claim_table::check(const release_claim& request, base::wall_time now) const
{
    auto verdict = check_key(request.key, now);
    if (verdict != claim_verdict::granted) {
        return make_reply(verdict);
    }
    const auto* record = find(request.key);
    if (record == nullptr) {
        return make_reply(is_full(now) ? claim_verdict::table_full : claim_verdict::released);
    }
    if (has_released(*record, request.attempt)) {
        return make_reply(claim_verdict::released);
    }
    if (record->state == claim_state::free) {
        return make_reply(claim_verdict::released);
    }
    if (record->attempt != request.attempt) {
        return make_holder_reply(claim_verdict::not_held, *record);
    }
    if (record->state == claim_state::done) {
        return make_holder_reply(claim_verdict::done, *record);
    }
    return make_reply(claim_verdict::released);
}

claim_reply claim_table::check(const complete_claim& request, base::wall_time now) const
{
    auto verdict = check_key(request.key, now);
    if (verdict != claim_verdict::granted) {
        return make_reply(verdict);
    }
    const auto* record = find(request.key);
    if (record == nullptr || record->state == claim_state::free) {
        return make_reply(claim_verdict::not_held);
    }
    if (record->attempt != request.attempt) {
        return make_holder_reply(claim_verdict::not_held, *record);
    }
    return make_holder_reply(claim_verdict::done, *record);
}

claim_reply claim_table::apply(const claim_request& request, base::wall_time now)
{
    expire(now);
    auto answer = check(request, now);
    if (answer.verdict == claim_verdict::granted) {
        auto& record = find_or_insert(request.key);
        record.state = claim_state::held;
        record.attempt = request.attempt;
        record.node = request.node;
        record.content = request.content;
    }
    return answer;
}

claim_reply claim_table::apply(const release_claim& request, base::wall_time now)
{
    expire(now);
    auto answer = check(request, now);
    // A release is recorded even while another attempt holds the claim, since the released
    // attempt's own claim request may still arrive.
    if (answer.verdict != claim_verdict::released && answer.verdict != claim_verdict::not_held) {
        return answer;
    }
    auto& record = find_or_insert(request.key);
    if (record.state == claim_state::held && record.attempt == request.attempt) {
        record.state = claim_state::free;
        record.attempt = {};
        record.node = {};
    }
    if (!has_released(record, request.attempt)) {
        if (record.released.size() >= m_max_released_attempts) {
            record.released.erase(record.released.begin());
        }
        record.released.push_back(request.attempt);
    }
    return answer;
}

claim_reply claim_table::apply(const complete_claim& request, base::wall_time now)
{
    expire(now);
    auto answer = check(request, now);
    if (answer.verdict == claim_verdict::done) {
        find_or_insert(request.key).state = claim_state::done;
    }
    return answer;
}

void claim_table::expire(base::wall_time now)
{
    while (!m_keys_by_time.empty() && is_expired(m_keys_by_time.begin()->first, now)) {
        for (const auto& key : m_keys_by_time.begin()->second) {
            m_claims.erase(key);
        }
        m_keys_by_time.erase(m_keys_by_time.begin());
    }
}

const claim_record* claim_table::find(const claim_key& key) const
{
    auto found = m_claims.find(key);
    return found == m_claims.end() ? nullptr : &found->second;
}

std::vector<claim_table::container::const_iterator> claim_table::sorted() const
{
    std::vector<container::const_iterator> claims;
    claims.reserve(m_claims.size());
    for (auto at = m_claims.begin(); at != m_claims.end(); ++at) {
        claims.push_back(at);
    }
    std::sort(claims.begin(), claims.end(),
              [](const auto& a, const auto& b) { return a->first < b->first; });
    return claims;
}

bool claim_table::insert(const claim_key& key, claim_record record)
{
    if (!parse_claim_time(key.request) || m_claims.contains(key)) {
        return false;
    }
    find_or_insert(key) = std::move(record);
    return true;
}

claim_verdict claim_table::check_key(const claim_key& key, base::wall_time now) const
{
    auto id_time = parse_claim_time(key.request);
    if (!id_time || key.workspace.value().size() > max_name_length) {
        return claim_verdict::malformed;
    }
    if (is_expired(*id_time, now)) {
        return claim_verdict::too_old;
    }
    if (*id_time > now + m_max_ahead) {
        return claim_verdict::too_far_ahead;
    }
    return claim_verdict::granted;
}

bool claim_table::is_expired(base::wall_time id_time, base::wall_time now) const
{
    return id_time + m_retention <= now;
}

bool claim_table::is_full(base::wall_time now) const
{
    auto live_claims = m_claims.size();
    for (const auto& [id_time, keys] : m_keys_by_time) {
        if (live_claims < m_max_claims || !is_expired(id_time, now)) {
            break;
        }
        live_claims -= keys.size();
    }
    return live_claims >= m_max_claims;
}

claim_record& claim_table::find_or_insert(const claim_key& key)
{
    auto [at, inserted] = m_claims.try_emplace(key);
    if (inserted) {
        m_keys_by_time[parse_claim_time(key.request).value_or(base::wall_time())].push_back(key);
    }
    return at->second;
}

} // namespace damaskladder::control
