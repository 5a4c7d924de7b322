#include "propagation/message_check.hpp"

#include <algorithm>
#include <chrono>
#include <string>

namespace damaskladder::propagation {

namespace {

constexpr std::size_t max_name_size = 128;
/// Keeps sums of ages from overflowing; far above any useful age.
constexpr base::duration max_age = std::chrono::hours(24 * 365);

bool is_valid_name(const std::string& text)
{
    return !text.empty() && text.size() <= max_name_size;
}

struct checker {
    const propagation_options& options;

    bool operator()(const poll& body) const
    {
        return is_valid_name(body.reply_to.value()) && is_valid_name(body.domain.value());
    }
    bool operator()(const update& body) const
    {
        if (body.fresh.has_value() &&
            (body.fresh->age < base::duration::zero() || body.fresh->age > max_age)) {
            return false;
        }
        if (body.copy.has_value() && body.copy->chunks > options.max_chunks_per_copy) {
            return false;
        }
        std::size_t bytes = 0;
        for (const settings_difference& difference : body.differences) {
            bytes += difference.bytes.value().size();
            if (difference.to <= difference.from) {
                return false;
            }
        }
        // A single difference may exceed the size limit of an update.
        return body.differences.size() <= options.max_differences &&
               (body.differences.size() <= 1 || bytes <= options.max_difference_bytes_per_update) &&
               bytes <= options.max_difference_log_bytes;
    }
    bool operator()(const chunk_request& body) const
    {
        return is_valid_name(body.reply_to.value());
    }
    bool operator()(const copy_chunk& body) const
    {
        return body.chunk < options.max_chunks_per_copy &&
               body.bytes.value().size() <= options.chunk_bytes;
    }
    bool operator()(const replica_list& body) const
    {
        return body.replicas.size() <= options.max_replicas &&
               std::all_of(body.replicas.begin(), body.replicas.end(), [](const peer& each) {
                   return is_valid_name(each.node.value()) && is_valid_name(each.address.value());
               });
    }
    bool operator()(const report& body) const
    {
        return body.domains.size() <= options.max_domains &&
               std::all_of(body.domains.begin(), body.domains.end(), [](const domain_report& part) {
                   return is_valid_name(part.domain.value());
               });
    }
};

} // namespace

bool within_limits(const message& body, const propagation_options& options)
{
    return std::visit(checker{options}, body);
}

} // namespace damaskladder::propagation
