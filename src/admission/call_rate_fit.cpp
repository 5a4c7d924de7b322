#include "admission/call_rate_fit.hpp"

#include <algorithm>
#include <cmath>

namespace damaskladder::admission {
namespace {

/// Keeps the system solvable when causes never vary or always vary together. The standard error is
/// then so large that no rate counts as known.
constexpr double ridge = 1e-6;
constexpr int max_sweeps = 200;
constexpr double accuracy = 1e-6;

} // namespace

call_rate_fit::call_rate_fit() : m_squares(1) {}

std::size_t call_rate_fit::add_cause()
{
    m_squares.grow();
    for (auto& count : m_counts) {
        count.by_cause.push_back(0);
    }
    return m_squares.size() - 2;
}

std::size_t call_rate_fit::add_count()
{
    m_counts.push_back({std::vector<double>(m_squares.size()), 0});
    return m_counts.size() - 1;
}

void call_rate_fit::record(const std::vector<double>& causes, const std::vector<double>& counts,
                           double keep)
{
    std::vector<double> terms{1};
    terms.insert(terms.end(), causes.begin(), causes.end());
    m_squares.scale(keep);
    for (std::size_t row = 0; row < terms.size(); ++row) {
        for (std::size_t column = 0; column < terms.size(); ++column) {
            m_squares.at(row, column) += terms[row] * terms[column];
        }
    }
    for (std::size_t n = 0; n < m_counts.size(); ++n) {
        m_counts[n].square = m_counts[n].square * keep + counts[n] * counts[n];
        for (std::size_t term = 0; term < terms.size(); ++term) {
            double& sum = m_counts[n].by_cause[term];
            sum = sum * keep + terms[term] * counts[n];
        }
    }
}

std::vector<std::vector<rate_estimate>> call_rate_fit::solve() const
{
    square_matrix squares = m_squares;
    for (std::size_t n = 0; n < squares.size(); ++n) {
        squares.at(n, n) += ridge * (1 + squares.at(n, n));
    }
    const square_matrix inverse = squares.inverse();
    std::vector<std::vector<rate_estimate>> result;
    for (const auto& sums : m_counts) {
        const auto rates = rates_of(sums, squares);
        double unexplained = sums.square;
        for (std::size_t row = 0; row < rates.size(); ++row) {
            unexplained -= 2 * rates[row] * sums.by_cause[row];
            for (std::size_t column = 0; column < rates.size(); ++column) {
                unexplained += rates[row] * rates[column] * m_squares.at(row, column);
            }
        }
        const double variance = std::max(0.0, unexplained) / std::max(1.0, windows());
        auto& estimates = result.emplace_back();
        for (std::size_t n = 1; n < rates.size(); ++n) {
            estimates.push_back({rates[n], std::sqrt(variance * inverse.at(n, n))});
        }
    }
    return result;
}

std::vector<double> call_rate_fit::rates_of(const count_sums& sums,
                                            const square_matrix& squares) const
{
    // Coordinate descent converges to the minimum without negative rates.
    std::vector<double> rates(squares.size());
    for (int sweep = 0; sweep < max_sweeps; ++sweep) {
        double largest_change = 0;
        for (std::size_t n = 0; n < rates.size(); ++n) {
            double rest = sums.by_cause[n];
            for (std::size_t other = 0; other < rates.size(); ++other) {
                rest -= other == n ? 0 : squares.at(n, other) * rates[other];
            }
            const double rate = std::max(0.0, rest / squares.at(n, n));
            largest_change = std::max(largest_change, std::abs(rate - rates[n]) / (1 + rate));
            rates[n] = rate;
        }
        if (largest_change < accuracy) {
            break;
        }
    }
    return rates;
}

} // namespace damaskladder::admission
