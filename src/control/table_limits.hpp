#pragma once

#include "base/byte_count.hpp"

#include <cstddef>

namespace damaskladder::control {

/// Limits of a table that drops its oldest rows; whichever limit is exceeded first. The newest row
/// is kept even if it exceeds max_size alone.
struct table_limits {
    std::size_t max_rows = 0;
    /// Total of row_size.
    base::byte_count max_size;

    /// Whether a table with these totals has to drop its oldest row.
    bool exceeded_by(std::size_t rows, base::byte_count size) const
    {
        return rows > max_rows || (rows > 1 && size > max_size);
    }
};

} // namespace damaskladder::control
