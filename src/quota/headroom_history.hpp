#pragma once

#include "base/time.hpp"
#include "quota/token_rate.hpp"

#include <array>
#include <cstddef>

namespace damaskladder::quota {

/// Recent history of the room below a bound, to judge late news of use exactly.
///
/// A token that was used counts as outstanding until the holder hears of it. Accrual that was
/// dropped in between, because the bound seemed reached, is made good. A token that is refunded
/// counts as never used: it is credited only as far as there was room for it all the time since its
/// use. Without that check a refund would come on top of a bucket that filled up meanwhile.
class headroom_history {
public:
    static constexpr base::duration slot_length = std::chrono::milliseconds(1);
    /// Reports and refunds that are older get nothing.
    static constexpr std::int64_t slots = 512;

    explicit headroom_history(base::time_point start) : m_current(slot_of(start)) {}

    /// Moves to now. `headroom` is the room after the accrual since the last call, `dropped` what
    /// of it found no room, and `rate` the rate of the accrual.
    void advance(base::time_point now, tokens headroom, tokens dropped, token_rate rate);

    /// Records the present room after a change of balance.
    void record_headroom(tokens headroom);

    /// Enters that `used` tokens counted as outstanding were used by `when`; the caller has lowered
    /// the present count already. Returns dropped accrual to credit.
    tokens reclaim(tokens used, base::time_point when);

    /// Returns how much of `amount`, used at `when` as entered by reclaim(), may be credited.
    tokens refund(tokens amount, base::time_point when);

    /// Takes room for `amount` from as early on as it was there without a break, and returns that
    /// time: what takes the room here left its place elsewhere then.
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
