#pragma once

#include "base/time.hpp"
#include "quota/token_rate.hpp"

#include <array>
#include <cstddef>

namespace damaskladder::quota {

/// Recent history of the headroom below a bound, for the exact accounting of reports that arrive
/// late.
///
/// A used token counts as outstanding until its use is reported to the holder. Accrual that was
/// dropped in the meantime, because the bound seemed to be reached, is credited with the report. A
/// refunded token counts as never used: it is credited only as far as there was headroom all the
/// time since its use. Without that check a refund would exceed the bound of a bucket that has
/// filled up since the use.
class headroom_history {
public:
    static constexpr base::duration slot_length = std::chrono::milliseconds(1);
    /// Length of the history. Reports and refunds of older use credit nothing.
    static constexpr std::int64_t slots = 512;

    explicit headroom_history(base::time_point start) : m_current(slot_of(start)) {}

    /// Advances to `now`. `headroom` is the headroom after the accrual since the last call,
    /// `dropped` the part of that accrual above the bound, and `rate` its rate.
    void advance(base::time_point now, tokens headroom, tokens dropped, token_rate rate);

    /// Records the current headroom after a change of the balance.
    void record_headroom(tokens headroom);

    /// Records that `used` tokens that counted as outstanding were used by `when`. The caller has
    /// already subtracted them from its count. Returns the dropped accrual to credit.
    tokens reclaim(tokens used, base::time_point when);

    /// Returns how much of `amount`, passed to reclaim() as used by `when`, may be credited.
    tokens refund(tokens amount, base::time_point when);

    /// Reserves headroom for `amount`, starting at the earliest time since which it was available
    /// without a break, and returns that time. From then on the tokens count here and no longer in
    /// the bound of the domain that sent them.
    base::time_point reserve(tokens amount, base::time_point now);

private:
    struct slot {
        tokens headroom;
        tokens dropped;
    };

    static std::int64_t slot_of(base::time_point time);
    slot& at(std::int64_t index) { return m_slots[static_cast<std::size_t>(index % slots)]; }
    std::int64_t oldest() const { return m_current - slots + 1; }

    std::int64_t m_current;
    std::array<slot, static_cast<std::size_t>(slots)> m_slots{};
};

} // namespace damaskladder::quota
