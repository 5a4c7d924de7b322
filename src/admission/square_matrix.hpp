#pragma once

#include <cstddef>
#include <vector>

namespace damaskladder::admission {

/// Small square matrix of real numbers that can grow by a row and a column of zeros.
class square_matrix {
public:
    explicit square_matrix(std::size_t size = 0) : m_size(size), m_values(size * size) {}

    std::size_t size() const { return m_size; }
    double& at(std::size_t row, std::size_t column) { return m_values[row * m_size + column]; }
    double at(std::size_t row, std::size_t column) const { return m_values[row * m_size + column]; }

    void grow();
    void scale(double factor);

    /// Inverse of a symmetric positive definite matrix, by Gauss-Jordan elimination.
    square_matrix inverse() const;

private:
    std::size_t m_size;
    std::vector<double> m_values;
};

} // namespace damaskladder::admission
