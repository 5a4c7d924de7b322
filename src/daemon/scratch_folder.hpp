#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace damaskladder::daemon {

/// Test helper: a temporary folder that is removed after the test.
class scratch_folder {
public:
    scratch_folder()
    {
        std::string name = std::filesystem::temp_directory_path() / "damaskladder.XXXXXX";
        m_path = mkdtemp(name.data());
    }
    ~scratch_folder() { std::filesystem::remove_all(m_path); }
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;

    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace damaskladder::daemon
