#include "http/header_list.hpp"

#include <algorithm>
#include <array>

namespace damaskladder::http {

namespace {

constexpr std::array<std::string_view, 9> hop_by_hop_names = {
    "Connection",        "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "TE", "Trailer",
    "Transfer-Encoding", "Upgrade",    "Content-Length"};

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::vector<std::string> split_list(std::string_view text)
{
    std::vector<std::string> items;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const auto item = trim(text.substr(0, comma));
        if (!item.empty()) {
            items.emplace_back(item);
        }
        if (comma == std::string_view::npos) {
            break;
        }
        text.remove_prefix(comma + 1);
    }
    return items;
}

} // namespace

bool same_name(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return x == y || lower(x) == lower(y);
           });
}

void header_list::add(std::string name, std::string value)
{
    m_fields.push_back({std::move(name), std::move(value)});
}

const std::string* header_list::find(std::string_view name) const
{
    for (const auto& field : m_fields) {
        if (same_name(field.name, name)) {
            return &field.value;
        }
    }
    return nullptr;
}

std::size_t header_list::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(m_fields.begin(), m_fields.end(),
                      [&](const header& f) { return same_name(f.name, name); }));
}

void header_list::remove(std::string_view name)
{
    std::erase_if(m_fields, [&](const header& f) { return same_name(f.name, name); });
}

void header_list::remove_hop_by_hop()
{
    std::vector<std::string> listed;
    for (const auto& field : m_fields) {
        if (same_name(field.name, "Connection")) {
            const auto items = split_list(field.value);
            listed.insert(listed.end(), items.begin(), items.end());
        }
    }
    for (const auto& name : listed) {
        remove(name);
    }
    std::erase_if(m_fields, [](const header& field) {
        return std::any_of(hop_by_hop_names.begin(), hop_by_hop_names.end(),
                           [&](std::string_view name) { return same_name(field.name, name); });
    });
}

void header_list::remove_if(const std::function<bool(const header&)>& condition)
{
    std::erase_if(m_fields, condition);
}

void header_list::remove_prefix(std::string_view prefix)
{
    std::erase_if(m_fields, [&](const header& f) {
        return same_name(std::string_view(f.name).substr(0, prefix.size()), prefix);
    });
}

} // namespace damaskladder::http
