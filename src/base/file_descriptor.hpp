#pragma once

namespace damaskladder::base {

/// Owns a POSIX file descriptor and closes it on destruction.
class file_descriptor {
public:
    explicit file_descriptor(int descriptor) : m_descriptor(descriptor) {}
    ~file_descriptor();
    file_descriptor(file_descriptor&& other) noexcept;
    file_descriptor& operator=(file_descriptor&& other) noexcept;
    file_descriptor(const file_descriptor&) = delete;
    file_descriptor& operator=(const file_descriptor&) = delete;

    int get() const { return m_descriptor; }
    bool is_open() const { return m_descriptor >= 0; }

private:
    int m_descriptor;
};

} // namespace damaskladder::base
