#include "membership/service_subscription.hpp"

#include "membership/stable_hash.hpp"

#include <algorithm>

namespace damaskladder::membership {

bool service_subscription::matches(const member_record& record) const
{
    return std::any_of(
        record.backends.begin(), record.backends.end(),
        [&](const backend_server& backend) { return all || services.count(backend.service) > 0; });
}

void service_subscription::add(const service_subscription& other)
{
    all = all || other.all;
    services.insert(other.services.begin(), other.services.end());
}

table_digest service_subscription::digest() const
{
    table_digest digest(all ? 1 : 0);
    for (const base::service_id& service : services) {
        digest = toggled(digest, table_digest(stable_hash(service.value(), 1)));
    }
    return digest;
}

} // namespace damaskladder::membership
