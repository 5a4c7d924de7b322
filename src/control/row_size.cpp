#include "control/row_size.hpp"

#include <cstdint>
#include <string>

namespace damaskladder::control {

namespace {

// Fixed rather than sizeof, which differs between builds.
constexpr std::int64_t row_overhead_bytes = 256;
constexpr std::int64_t change_overhead_bytes = 136;

template <class... Texts>
std::int64_t text_bytes(const Texts&... texts)
{
    return (std::int64_t{0} + ... + static_cast<std::int64_t>(texts.size()));
}

std::int64_t diff_bytes(const settings::setting_diff& diff)
{
    std::int64_t total = 0;
    for (const auto& change : diff.changes) {
        total += change_overhead_bytes + text_bytes(change.path.text(), change.field.value(),
                                                    change.from.value(), change.to.value());
    }
    return total;
}

std::int64_t problem_bytes(const settings::settings_problems& problems)
{
    std::int64_t total = 0;
    for (const auto& problem : problems) {
        total += change_overhead_bytes + text_bytes(problem.file, problem.path.text(),
                                                    problem.field.value(), problem.expected);
    }
    return total;
}

} // namespace

base::byte_count row_size(const audit_record& row)
{
    return base::byte_count(row_overhead_bytes + text_bytes(row.who.value(), row.path.text(),
                                                            row.field.value(), row.from, row.to,
                                                            row.change.value(), row.note));
}

base::byte_count row_size(const cached_reply& row)
{
    std::int64_t total =
        row_overhead_bytes + text_bytes(row.change.value()) + problem_bytes(row.answer.problems);
    if (const auto& conflict = row.answer.conflict) {
        total += text_bytes(conflict->author.value(), conflict->change.value()) +
                 diff_bytes(conflict->difference);
    }
    return base::byte_count(total);
}

base::byte_count row_size(const proposal& row)
{
    return base::byte_count(row_overhead_bytes + diff_bytes(row.diff) +
                            text_bytes(row.header.author.value(), row.header.change.value(),
                                       row.subtree.text(), row.closed_by.value(), row.reason));
}

base::byte_count row_size(const version_record& row)
{
    return base::byte_count(
        row_overhead_bytes + diff_bytes(row.diff) +
        text_bytes(row.versioned_root.text(), row.author.value(), row.change.value()));
}

} // namespace damaskladder::control
