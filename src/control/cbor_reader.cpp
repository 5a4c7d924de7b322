#include "control/cbor_reader.hpp"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace damaskladder::control {

namespace {

using json = nlohmann::json;

constexpr std::size_t max_depth = 16;
// Limit on the capacity reserved for a list, since its claimed length is not trusted.
constexpr std::size_t max_reserve = 1024;

/// Builds the value from parser events and stops the parser if the nesting is too deep.
class json_builder : public nlohmann::json_sax<json> {
public:
    json take() { return std::move(m_root); }

    bool null() override { return add(json(nullptr)); }
    bool boolean(bool value) override { return add(json(value)); }
    bool number_integer(number_integer_t value) override { return add(json(value)); }
    bool number_unsigned(number_unsigned_t value) override { return add(json(value)); }
    bool number_float(number_float_t value, const string_t& /*text*/) override
    {
        return add(json(value));
    }
    bool string(string_t& value) override { return add(json(std::move(value))); }
    bool binary(binary_t& value) override { return add(json::binary(std::move(value))); }

    bool start_object(std::size_t /*size*/) override { return push_container(json::object()); }
    bool key(string_t& value) override
    {
        bool duplicate = m_open_containers.back()->contains(value);
        m_key = std::move(value);
        return !duplicate;
    }
    bool end_object() override { return pop_container(); }
    bool start_array(std::size_t size) override
    {
        if (!push_container(json::array())) {
            return false;
        }
        m_open_containers.back()->get_ref<json::array_t&>().reserve(std::min(size, max_reserve));
        return true;
    }
    bool end_array() override { return pop_container(); }

    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& /*error*/) override
    {
        return false;
    }

private:
    bool add(json&& value)
    {
        insert(std::move(value));
        return true;
    }

    json* insert(json&& value)
    {
        if (m_open_containers.empty()) {
            m_root = std::move(value);
            return &m_root;
        }
        auto& parent = *m_open_containers.back();
        if (parent.is_array()) {
            parent.push_back(std::move(value));
            return &parent.back();
        }
        return &(parent[std::exchange(m_key, {})] = std::move(value));
    }

    bool push_container(json&& value)
    {
        if (m_open_containers.size() >= max_depth) {
            return false;
        }
        m_open_containers.push_back(insert(std::move(value)));
        return true;
    }

    bool pop_container()
    {
        m_open_containers.pop_back();
        return true;
    }

    json m_root;
    // The pointers stay valid: a parent grows only after its last element is closed.
    std::vector<json*> m_open_containers;
    std::string m_key;
};

} // namespace

std::optional<json> parse_cbor(std::span<const std::uint8_t> bytes)
{
    json_builder builder;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::cbor)) {
        return std::nullopt;
    }
    return builder.take();
}

} // namespace damaskladder::control
