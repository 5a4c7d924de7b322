#include "daemon/process.hpp"

#include "daemon/control_thread.hpp"
#include "daemon/log.hpp"
#include "daemon/signal_watch.hpp"
#include "daemon/wall_clock_now.hpp"

#include <curl/curl.h>
#include <sodium.h>

namespace damaskladder::daemon {

base::result<void> run_process(const process_settings& settings, const dialect_maker& speak)
{
    const signal_watch signals;
    start_log(settings.log, settings.name.value());
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL) != 0) {
        return base::fail(base::failure_kind::internal, "start libraries", {},
                          "libsodium or libcurl cannot be used");
    }
    BOOST_LEAF_AUTO(secret, settings.secret.empty()
                                ? wire::cluster_secret::read_file(settings.secret_file)
                                : wire::cluster_secret::parse(settings.secret));
    // Larger than that of any earlier run, unless the wall clock went back; peers then tell this
    // process of the number that they remember.
    const base::incarnation incarnation(
        static_cast<std::uint64_t>(wall_clock_now().time_since_epoch().count()));
    control_thread control(settings, secret, incarnation, speak(settings, secret));
    BOOST_LEAF_CHECK(control.start());
    control.run(signals);
    return {};
}

} // namespace damaskladder::daemon
