#include "load/request_id_text.hpp"

#include <iomanip>
#include <sstream>

namespace damaskladder::load {

base::request_id make_request_id(base::wall_time now, const base::random_source& random)
{
    constexpr int digits = 16;
    const auto seconds = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
    std::ostringstream text;
    text << seconds << '-' << std::hex << std::setw(digits) << std::setfill('0') << random();
    return base::request_id(text.str());
}

} // namespace damaskladder::load
