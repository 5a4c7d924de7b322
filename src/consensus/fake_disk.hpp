#pragma once

#include "consensus/file_layer.hpp"
#include "consensus/unsynced_data.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskladder::consensus {

/// In-memory folder for tests. A crash keeps only what was synced, and any operation that changes
/// or syncs something can be made to fail. Must outlive its layers.
class fake_disk {
public:
    file_layer layer();

    /// Number of operations so far that changed or synced something.
    std::uint64_t operations() const { return m_operations; }
    /// Makes the operation with this number fail, and with `stop` all later ones too. A failed
    /// append writes half of its bytes.
    void fail_at(std::uint64_t operation, bool stop);
    /// The disk is full from the operation with this number on, until make_room: creating a file
    /// and appending fail with no_space, and an append writes half of its bytes.
    void fill_up_at(std::uint64_t operation) { m_full_from = operation; }
    void make_room() { m_full_from.reset(); }
    /// Simulates a crash: clears the failure set by fail_at and applies `unsynced` to data that was
    /// not synced.
    void crash(unsynced_data unsynced);

    /// Direct access for tests that damage files. Written content counts as synced.
    std::string read_content(const file_name& name) const;
    void write_content(const file_name& name, const std::string& content);
    std::vector<file_name> names() const;

private:
    struct fake_file {
        std::string content;
        std::string durable;
    };
    using directory = std::map<file_name, std::shared_ptr<fake_file>>;

    bool next_fails();
    base::result<void> change(std::string_view step);
    /// Like change, for an operation that needs room.
    base::result<void> grow(std::string_view step);
    base::result<file_handle> open(const file_name& name);
    base::result<void> append(file_handle handle, std::string_view bytes);
    base::result<void> rename(const file_name& from, const file_name& to);

    directory m_names;
    directory m_durable_names;
    std::map<file_handle, std::shared_ptr<fake_file>> m_open;
    int m_next_handle = 1;
    std::uint64_t m_operations = 0;
    std::optional<std::uint64_t> m_fail_at;
    bool m_stop = false;
    std::optional<std::uint64_t> m_full_from;
};

} // namespace damaskladder::consensus
