#include "base/failure.hpp"

namespace damaskladder::base {

std::string to_string(const failure& error)
{
    std::string line = error.step + ": " + error.text + " (";
    if (!error.peer.empty()) {
        line += "peer " + error.peer + ", ";
    }
    line += to_string(error.kind);
    line += ")";
    return line;
}

} // namespace damaskladder::base
