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
// A list that claims more elements than this is not reserved in advance.
constexpr std::size_t max_reserve = 1024;

/// Builds the value from the parser's events, and stops the parser where nesting is too deep.
class tree_builder : public nlohmann::json_sax<json> {
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

    bool start_object(std::size_t /*size*/) override { return open(json::object()); }
    bool key(string_t& value) override
    {
        bool repeated = m_open.back()->contains(value);
        m_key = std::move(value);
        return !repeated;
    }
    bool end_object() override { return close(); }
    bool start_array(std::size_t size) override
    {
        if (!open(json::array())) {
            return false;
        }
        m_open.back()->get_ref<json::array_t&>().reserve(std::min(size, max_reserve));
        return true;
    }
    bool end_array() override { return close(); }

    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& /*error*/) override
    {
        return false;
    }

private:
    bool add(json&& value)
    {
        place(std::move(value));
        return true;
    }

    json* place(json&& value)
    {
        if (m_open.empty()) {
            m_root = std::move(value);
            return &m_root;
        }
        auto& parent = *m_open.back();
        if (parent.is_array()) {
            parent.push_back(std::move(value));
            return &parent.back();
        }
        return &(parent[std::exchange(m_key, {})] = std::move(value));
    }

    bool open(json&& value)
    {
        if (m_open.size() >= max_depth) {
            return false;
        }
        m_open.push_back(place(std::move(value)));
        return true;
    }

    bool close()
    {
        m_open.pop_back();
        return true;
    }

    json m_root;
    // Pointers stay valid: a parent grows only after its last element is closed.
    std::vector<json*> m_open;
    std::string m_key;
};

} // namespace

std::optional<json> parse_cbor(std::span<const std::uint8_t> bytes)
{
    tree_builder builder;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::cbor)) {
        return std::nullopt;
    }
    return builder.take();
}

} // namespace damaskladder::control
