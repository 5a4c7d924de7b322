#pragma once

#include "base/incarnation.hpp"
#include "base/node_id.hpp"
#include "base/time.hpp"
#include "membership/endings_number.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace damaskladder::membership {

/// Decides to which observers a node sends its run endings, and whether enough of them hold the
/// newest list for the node to confirm it.
class endings_confirmation {
public:
    /// An observer of the node, with the incarnation that the node knows. An observer that has
    /// restarted holds nothing.
    struct holder {
        base::node_id node;
        base::incarnation incarnation;
    };

    explicit endings_confirmation(base::duration resend_interval)
        : m_resend_interval(resend_interval)
    {
    }

    /// Starts a new list, which nobody holds yet. The newest list includes the earlier ones.
    void begin_list();
    /// Number of the newest list.
    endings_number newest() const { return m_newest; }

    void on_kept(const base::node_id& node, endings_number number, base::incarnation incarnation);

    /// Observers to send the newest list to at this time: those that do not hold it.
    std::vector<base::node_id> due(const std::vector<holder>& observers, base::time_point now);

    /// The newest list that a majority of the observers holds.
    endings_number held_by_majority(const std::vector<holder>& observers) const;

private:
    struct receipt {
        base::incarnation incarnation;
        endings_number number;
    };

    bool holds_newest(const holder& observer) const;

    base::duration m_resend_interval;
    endings_number m_newest;
    std::map<base::node_id, receipt> m_receipts;
    std::map<base::node_id, base::time_point> m_next_send;
};

} // namespace damaskladder::membership
