#include "quota/token_accrual.hpp"

namespace damaskladder::quota {

void token_accrual::set_rate(token_rate rate)
{
    m_rate = std::clamp(rate, token_rate(0), max_token_rate);
    m_fraction = 0;
}

tokens token_accrual::advance(base::time_point now)
{
    constexpr std::int64_t micros = 1'000'000;
    if (now <= m_last) {
        return tokens(0);
    }
    const auto elapsed = now - m_last;
    m_last = now;
    const auto seconds = elapsed.count() / micros;
    const auto product = m_rate.value() * (elapsed.count() % micros) + m_fraction;
    m_fraction = product % micros;
    const auto whole_seconds = tokens_in(m_rate, std::chrono::seconds(seconds));
    return std::min(max_tokens, whole_seconds + tokens(product / micros));
}

} // namespace damaskladder::quota
