#include "daemon/process.hpp"

#include "daemon/control_thread.hpp"
#include "daemon/log.hpp"
#include "daemon/signal_watch.hpp"
#include "daemon/wall_clock_now.hpp"

#include <sodium.h>

#include <utility>

namespace damaskladder::daemon {

base::result<void> run_process(const process_settings& settings, const dialect_maker& make_dialect,
                               settings_reader read_again)
{
    const signal_watch signals;
    start_log(settings.log, settings.name.value());
    // A request needs several random values, and the kernel's generator costs a system call for
    // each. This generator is seeded from it and runs in user space.
    randombytes_set_implementation(&randombytes_internal_implementation);
    if (sodium_init() < 0) {
        return base::fail(base::failure_kind::internal, "initialize libsodium", {},
                          "libsodium initialization failed");
    }
    BOOST_LEAF_AUTO(secret, settings.secret.empty()
                                ? wire::cluster_secret::read_file(settings.secret_file)
                                : wire::cluster_secret::parse(settings.secret));
    // Larger than the incarnation of any earlier run unless the wall clock was set back; in that
    // case peers report the incarnation that they remember.
    const base::incarnation incarnation(
        static_cast<std::uint64_t>(wall_clock_now().time_since_epoch().count()));
    control_thread control(settings, secret, incarnation, make_dialect(settings, secret));
    BOOST_LEAF_CHECK(control.start());
    control.run(signals, std::move(read_again));
    return {};
}

} // namespace damaskladder::daemon
