#pragma once

#include <cstddef>
#include <memory>
#include <vector>

namespace damaskladder::http {

class exchange;

/// The open exchanges of a connection in the order of their requests. The first one is stored in
/// place, so that a connection whose caller does not send requests ahead allocates nothing here.
class exchange_queue {
public:
    bool empty() const { return m_front == nullptr; }
    std::size_t size() const { return empty() ? 0 : 1 + m_behind.size(); }

    /// The exchange whose response is being sent. Null if the queue is empty.
    const std::shared_ptr<exchange>& front() const { return m_front; }
    /// The exchange whose request arrived last. Null if the queue is empty.
    const std::shared_ptr<exchange>& back() const
    {
        return m_behind.empty() ? m_front : m_behind.back();
    }
    /// All exchanges behind the first.
    const std::vector<std::shared_ptr<exchange>>& behind_front() const { return m_behind; }

    /// Number of exchanges before this one.
    std::size_t position(const exchange& of) const;
    std::vector<std::shared_ptr<exchange>> ahead_of(const exchange& of) const;
    std::vector<std::shared_ptr<exchange>> behind(const exchange& of) const;

    void push(std::shared_ptr<exchange> added);
    std::shared_ptr<exchange> pop_front();
    /// Removes all exchanges behind this one and returns them.
    std::vector<std::shared_ptr<exchange>> remove_behind(const exchange& last);
    /// Removes all exchanges and returns them.
    std::vector<std::shared_ptr<exchange>> clear();

    /// Bytes of bodies and responses that wait for the turn of their exchange.
    std::size_t waiting_bytes() const;

private:
    std::shared_ptr<exchange> m_front;
    std::vector<std::shared_ptr<exchange>> m_behind;
};

} // namespace damaskladder::http
