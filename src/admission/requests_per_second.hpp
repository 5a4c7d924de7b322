#pragma once

namespace damaskladder::admission {

/// Requests that a backend server takes each second, from all VMs together.
struct requests_per_second {
    double value = 0;

    friend bool operator==(const requests_per_second&, const requests_per_second&) = default;
};

} // namespace damaskladder::admission
