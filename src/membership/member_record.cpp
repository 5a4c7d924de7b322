#include "membership/member_record.hpp"

#include "membership/stable_hash.hpp"

namespace damaskladder::membership {

bool supersedes(const member_record& candidate, const member_record& current)
{
    if (candidate.incarnation != current.incarnation) {
        return candidate.incarnation > current.incarnation;
    }
    if (candidate.status != current.status) {
        return candidate.status > current.status;
    }
    return candidate.status == member_status::alive && candidate.version > current.version;
}

table_digest digest_of(const member_record& record)
{
    const std::uint64_t order =
        mix_bits(record.incarnation.value()) ^ mix_bits(~record.version.value());
    return table_digest(stable_hash(record.node.value(), order));
}

member_record tombstone_of(const member_record& record, member_status status)
{
    member_record tombstone = record;
    tombstone.status = status;
    tombstone.load = load_level::normal;
    tombstone.backends.clear();
    return tombstone;
}

bool differs_for_callers(const member_record& a, const member_record& b)
{
    return a.incarnation != b.incarnation || a.status != b.status || a.messages != b.messages ||
           a.traffic != b.traffic || a.backends != b.backends;
}

} // namespace damaskladder::membership
