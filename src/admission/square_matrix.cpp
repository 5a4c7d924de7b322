#include "admission/square_matrix.hpp"

namespace damaskladder::admission {

void square_matrix::grow()
{
    square_matrix larger(m_size + 1);
    for (std::size_t row = 0; row < m_size; ++row) {
        for (std::size_t column = 0; column < m_size; ++column) {
            larger.at(row, column) = at(row, column);
        }
    }
    *this = larger;
}

void square_matrix::scale(double factor)
{
    for (double& value : m_values) {
        value *= factor;
    }
}

square_matrix square_matrix::inverse() const
{
    square_matrix rest = *this;
    square_matrix result(m_size);
    for (std::size_t n = 0; n < m_size; ++n) {
        result.at(n, n) = 1;
    }
    // A positive definite matrix needs no exchange of rows.
    for (std::size_t pivot = 0; pivot < m_size; ++pivot) {
        const double divisor = rest.at(pivot, pivot);
        for (std::size_t column = 0; column < m_size; ++column) {
            rest.at(pivot, column) /= divisor;
            result.at(pivot, column) /= divisor;
        }
        for (std::size_t row = 0; row < m_size; ++row) {
            const double factor = rest.at(row, pivot);
            if (row == pivot || factor == 0) {
                continue;
            }
            for (std::size_t column = 0; column < m_size; ++column) {
                rest.at(row, column) -= factor * rest.at(pivot, column);
                result.at(row, column) -= factor * result.at(pivot, column);
            }
        }
    }
    return result;
}

} // namespace damaskladder::admission
