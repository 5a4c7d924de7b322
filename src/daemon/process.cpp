#include "daemon/process.hpp"

#include "daemon/control_thread.hpp"
#include "daemon/log.hpp"
#include "daemon/signal_watch.hpp"
#include "daemon/wall_clock_now.hpp"

#include <sodium.h>

namespace damaskladder::daemon {

base::result<void> run_process(const process_settings& settings, const dialect_maker& make_dialect)
{
    const signal_watch signals;
    start_log(settings.log, settings.name.value());
    // The kernel's generator costs a system call for each of the several values that a request
    // needs; this one is seeded from it.
    randombytes_set_implementation(&randombytes_internal_implementation);
    if (sodium_init() < 0) {
        return base::fail(base::failure_kind::internal, "start libraries", {},
                          "libsodium cannot be used");
    }
    BOOST_LEAF_AUTO(secret, settings.secret.empty()
                                ? wire::cluster_secret::read_file(settings.secret_file)
                                : wire::cluster_secret::parse(settings.secret));
    // Larger than that of any earlier run, unless the wall clock went back; peers then tell this
    // process of the number that they remember.
    const base::incarnation incarnation(
        static_cast<std::uint64_t>(wall_clock_now().time_since_epoch().count()));
    control_thread control(settings, secret, incarnation, make_dialect(settings, secret));
    BOOST_LEAF_CHECK(control.start());
    control.run(signals);
    return {};
}

} // namespace damaskladder::daemon
