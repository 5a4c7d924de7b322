#pragma once

#include "admission/rate_estimate.hpp"
#include "admission/square_matrix.hpp"

#include <cstddef>
#include <vector>

namespace damaskladder::admission {

/// Explains counts by several simultaneous causes: least squares over windows, with weights that
/// decrease with age, without negative rates and with a constant part for counts without a cause.
class call_rate_fit {
public:
    call_rate_fit();

    /// Adds a cause or a count that was 0 in all earlier windows, and returns its index.
    std::size_t add_cause();
    std::size_t add_count();

    /// Records a window. `keep` is the factor by which the weight of all earlier windows decreases.
    void record(const std::vector<double>& causes, const std::vector<double>& counts, double keep);

    /// Sum of the weights of the windows.
    double windows() const { return m_squares.at(0, 0); }

    /// Estimates the rate of each count per unit of each cause: result[count][cause].
    std::vector<std::vector<rate_estimate>> solve() const;

private:
    struct count_sums {
        std::vector<double> by_cause;
        double square = 0;
    };

    std::vector<double> rates_of(const count_sums& sums, const square_matrix& squares) const;

    /// Sums of the products of causes; index 0 is the constant part.
    square_matrix m_squares;
    std::vector<count_sums> m_counts;
};

} // namespace damaskladder::admission
