#include "daemon/announcement_parser.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace damaskladder::daemon {

base::result<membership::announcement> parse_announcement(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        membership::announcement offer;
        offer.service = base::service_id(json.at("service").get<std::string>());
        const auto port = json.at("port").get<std::int64_t>();
        if (!std::in_range<std::uint16_t>(port)) {
            throw std::out_of_range("port");
        }
        offer.port = base::port_number(static_cast<std::uint16_t>(port));
        offer.slots = base::slot_count(json.value("slots", std::int64_t{0}));
        offer.connections =
            membership::connection_count(json.value("connections", std::int64_t{0}));
        offer.cold = json.value("cold", false);
        offer.credential = membership::credential_text(json.value("credential", std::string()));
        return offer;
    }
    catch (const std::exception&) {
        return base::fail(base::failure_kind::invalid_argument, "read announcement", {},
                          "expected JSON with service, port, slots, connections, cold and "
                          "credential");
    }
}

} // namespace damaskladder::daemon
