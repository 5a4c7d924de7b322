#include "base/file_descriptor.hpp"

#include <unistd.h>

#include <utility>

namespace damaskladder::base {

file_descriptor::~file_descriptor()
{
    if (is_open()) {
        ::close(m_descriptor);
    }
}

file_descriptor::file_descriptor(file_descriptor&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

file_descriptor& file_descriptor::operator=(file_descriptor&& other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

} // namespace damaskladder::base
