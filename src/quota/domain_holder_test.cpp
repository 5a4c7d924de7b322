#include "quota/domain_holder.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace damaskladder::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::workspace_id workspace("w");
const holder_id self{base::node_id("h"), base::incarnation(1), lease::lease_epoch(1)};
const holder_id peer{base::node_id("p"), base::incarnation(1), lease::lease_epoch(1)};

base::time_point at(int ms)
{
    return base::time_point(milliseconds(ms));
}

/// A holder with half of a rate of 10 tokens/s and a burst of 10. It is full at 2,000 ms, and its
/// lease ends at 9 s.
class holder_fixture {
public:
    holder_fixture() : holder({}, self, {share_point(0), share_point(500'000)}, at(9'000), at(0))
    {
        holder.set_quotas(base::settings_version(1),
                          {{workspace, token_rate(10 * one_token.value()), one_token * 10}}, at(0));
        holder.set_peers({peer}, at(0));
        holder.on_time(at(2'000));
    }

    static borrow_line line(std::uint64_t sequence, int demand)
    {
        borrow_line line;
        line.workspace = workspace;
        line.session = session_number(1);
        line.sequence = base::sequence_number(sequence);
        line.demand = one_token * demand;
        return line;
    }

    /// Total lent to the node according to the answer; -1 if there is no answer.
    int lend_to(const borrow_line& line, int ms, std::uint64_t run = 1, const holder_id& to = self)
    {
        const auto sends =
            holder.on_borrow({base::node_id("n"), base::incarnation(run), to, {line}}, at(ms));
        for (const auto& effect : sends) {
            if (const auto* lent = std::get_if<lend>(&effect.message)) {
                return static_cast<int>(lent->lines[0].lent_total.value() / one_token.value());
            }
        }
        return -1;
    }

    /// Amount of the transfer that answers a request; -1 if there is no answer.
    int transfer_to(std::uint64_t number, int demand, int ms, std::uint64_t run = 1)
    {
        const holder_id borrower{peer.node, base::incarnation(run), peer.epoch};
        const auto sends = holder.on_transfer_request(
            {borrower, self, transfer_number(number), workspace, one_token * demand, tokens(0)},
            at(ms));
        return sends.empty()
                   ? -1
                   : static_cast<int>(std::get<transfer>(sends[0].message).amount.value() /
                                      one_token.value());
    }

    /// Delivers a transfer of the peer that is valid for 2 s.
    quota_sends receive_transfer(std::uint64_t number, int amount, int ms)
    {
        return holder.on_transfer({peer, self, transfer_number(number), workspace,
                                   one_token * amount, tokens(0), seconds(2)},
                                  at(ms));
    }

    /// Validity of the node's tokens in milliseconds, according to the answer to the line.
    int valid_for(const borrow_line& line, int ms)
    {
        const auto sends =
            holder.on_borrow({base::node_id("n"), base::incarnation(1), self, {line}}, at(ms));
        const auto* lent = sends.empty() ? nullptr : std::get_if<lend>(&sends.back().message);
        return lent == nullptr ? -1 : static_cast<int>(lent->lines[0].valid_for / milliseconds(1));
    }

    void acknowledge(std::uint64_t number, int returned, int ms)
    {
        holder.on_transfer_ack({self, peer, transfer_number(number), workspace, tokens(0),
                                base::duration{}, true, one_token * returned},
                               at(ms));
    }

    int balance() const
    {
        return static_cast<int>(holder.balance(workspace).value() / one_token.value());
    }

    domain_holder holder;
};

struct holder_case {
    std::string name;
    /// Drives the holder and returns a value that must equal `expected`.
    std::function<int(holder_fixture&)> act;
    int expected;
};

class holder_faults : public testing::TestWithParam<holder_case> {};

TEST_P(holder_faults, keep_tokens_single)
{
    holder_fixture fixture;
    EXPECT_EQ(GetParam().act(fixture), GetParam().expected);
}

using f = holder_fixture;

INSTANTIATE_TEST_SUITE_P(
    table, holder_faults,
    testing::Values(
        holder_case{"starts_empty",
                    [](f&) {
                        const domain_holder fresh(
                            {}, self, {share_point(0), share_point(1'000'000)}, at(9'000), at(0));
                        return static_cast<int>(fresh.balance(workspace).value());
                    },
                    0},
        holder_case{"accrues_to_its_part", [](f& x) { return x.balance(); }, 5},
        // Guards against a second debit for a duplicate line.
        holder_case{"repeated_line",
                    [](f& x) {
                        x.lend_to(f::line(1, 2), 2'000);
                        x.lend_to(f::line(1, 2), 2'001);
                        return x.balance();
                    },
                    3},
        // Guards against lending tokens again that are still in flight.
        holder_case{"new_line_before_answer",
                    [](f& x) {
                        x.lend_to(f::line(1, 2), 2'000);
                        return x.lend_to(f::line(2, 3), 2'001);
                    },
                    3},
        // Guards against crediting returned tokens twice.
        holder_case{"repeated_return",
                    [](f& x) {
                        x.lend_to(f::line(1, 4), 2'000);
                        auto line = f::line(2, 0);
                        line.received_total = one_token * 4;
                        line.returned_total = one_token * 2;
                        x.lend_to(line, 2'001);
                        line.sequence = base::sequence_number(3);
                        x.lend_to(line, 2'002);
                        x.lend_to(line, 2'003);
                        return x.balance();
                    },
                    3},
        // Guards against inconsistent totals: a node that returns more tokens than it was lent.
        holder_case{"returns_more_than_lent",
                    [](f& x) {
                        x.lend_to(f::line(1, 1), 2'000);
                        auto line = f::line(2, 0);
                        line.received_total = one_token;
                        line.returned_total = one_token * 3;
                        x.lend_to(line, 2'001);
                        return x.balance();
                    },
                    4},
        // Guards against crediting the tokens of an earlier incarnation when the node restarts.
        holder_case{"node_restarted",
                    [](f& x) {
                        x.lend_to(f::line(1, 4), 2'000);
                        x.lend_to(f::line(1, 0), 2'001, 2);
                        return x.balance();
                    },
                    1},
        holder_case{"line_of_earlier_run",
                    [](f& x) {
                        x.lend_to(f::line(1, 1), 2'000, 2);
                        return x.lend_to(f::line(2, 1), 2'001, 1);
                    },
                    -1},
        // Guards against answering messages that are addressed to another lease term.
        holder_case{"other_holding", [](f& x) { return x.lend_to(f::line(1, 1), 2'000, 1, peer); },
                    -1},
        holder_case{"lease_ended", [](f& x) { return x.lend_to(f::line(1, 1), 9'000); }, -1},
        // Guards against a node that stops responding and whose tokens stay counted forever.
        holder_case{"silent_node",
                    [](f& x) {
                        x.holder.set_lease_end(at(30'000));
                        x.lend_to(f::line(1, 5), 2'000);
                        x.holder.on_time(at(29'999));
                        const auto blocked = x.balance();
                        x.holder.set_lease_end(at(60'000));
                        x.holder.on_time(at(30'050));
                        x.holder.on_time(at(40'000));
                        return x.balance() * 10 + blocked;
                    },
                    50},
        // Guards against a second debit for a duplicate request, also for one that is delayed.
        holder_case{"repeated_ask",
                    [](f& x) {
                        x.transfer_to(1, 2, 2'000);
                        return x.transfer_to(1, 2, 2'001) * 10 + x.balance();
                    },
                    23},
        holder_case{"late_copy_of_ask",
                    [](f& x) {
                        x.transfer_to(1, 2, 2'000);
                        x.transfer_to(2, 1, 2'001);
                        x.acknowledge(1, 0, 2'002);
                        return x.transfer_to(1, 2, 2'003);
                    },
                    -1},
        holder_case{"ask_of_earlier_run",
                    [](f& x) {
                        x.transfer_to(1, 1, 2'000, 2);
                        return x.transfer_to(5, 1, 2'001, 1);
                    },
                    -1},
        // Guards against crediting the returned part of a transfer twice.
        holder_case{"repeated_ack",
                    [](f& x) {
                        x.transfer_to(1, 4, 2'000);
                        x.acknowledge(1, 2, 2'001);
                        x.acknowledge(1, 2, 2'002);
                        return x.balance();
                    },
                    3},
        // Guards against crediting a transfer twice, also when the duplicate arrives after the
        // transfer expired.
        holder_case{"repeated_transfer",
                    [](f& x) {
                        x.lend_to(f::line(1, 7), 2'000);
                        const transfer moved{peer,      self,          transfer_number(1),
                                             workspace, one_token * 1, tokens(0),
                                             seconds(2)};
                        x.holder.on_transfer(moved, at(2'001));
                        x.holder.on_transfer(moved, at(2'002));
                        x.holder.on_time(at(2'050));
                        const auto lent = x.lend_to(f::line(1, 7), 2'051);
                        x.holder.on_transfer(moved, at(4'500));
                        return lent * 10 + x.balance();
                    },
                    60},
        // Guards against tokens of another domain that are still usable after that domain stops
        // counting them.
        holder_case{"foreign_tokens_bound_validity",
                    [](f& x) {
                        x.lend_to(f::line(1, 7), 2'000);
                        x.receive_transfer(1, 2, 2'001);
                        const auto sends = x.receive_transfer(1, 2, 2'002);
                        const auto reply = x.valid_for(f::line(1, 7), 2'003);
                        return sends.size() == 1 && reply > 0 && reply <= 2'000 ? 1 : 0;
                    },
                    1},
        // Guards against accepting a delayed transfer that expires before tokens lent since then.
        holder_case{"transfer_with_earlier_deadline",
                    [](f& x) {
                        x.lend_to(f::line(1, 7), 2'000);
                        x.holder.on_time(at(2'050));
                        auto line = f::line(2, 7);
                        line.received_total = one_token * 5;
                        x.lend_to(line, 2'350);
                        x.receive_transfer(2, 1, 2'351);
                        const auto sends = x.receive_transfer(1, 1, 2'352);
                        const auto& ack = std::get<transfer_ack>(sends[0].message);
                        return ack.final && ack.returned == one_token ? 1 : 0;
                    },
                    1},
        // Guards against lending to a session with tokens that the holder has no record of.
        holder_case{"unknown_session_with_tokens",
                    [](f& x) {
                        auto line = f::line(9, 2);
                        line.received_total = one_token * 3;
                        return x.lend_to(line, 2'000) * 10 + x.balance();
                    },
                    5},
        holder_case{"transfer_never_asked",
                    [](f& x) {
                        x.holder.on_transfer({peer, self, transfer_number(9), workspace,
                                              one_token * 3, tokens(0), seconds(2)},
                                             at(2'001));
                        return x.balance();
                    },
                    5},
        // Guards against handing over the lease while tokens of the old term can still be used.
        holder_case{"drained_only_when_returned",
                    [](f& x) {
                        x.lend_to(f::line(1, 2), 2'000);
                        x.holder.stop(at(2'001));
                        const bool early = x.holder.drained(at(2'001));
                        auto line = f::line(2, 0);
                        line.closed = true;
                        x.lend_to(line, 2'002);
                        return (early ? 10 : 0) + (x.holder.drained(at(2'002)) ? 1 : 0);
                    },
                    1},
        // Guards against an older settings version that reverts a newer one.
        holder_case{"older_version",
                    [](f& x) {
                        const workspace_quota less{workspace, token_rate(0), one_token * 4};
                        const workspace_quota more{workspace, token_rate(0), one_token * 10};
                        x.holder.set_quotas(base::settings_version(3), {less}, at(2'000));
                        x.holder.set_quotas(base::settings_version(2), {more}, at(2'000));
                        return x.balance();
                    },
                    2}),
    [](const auto& param) { return param.param.name; });

} // namespace
} // namespace damaskladder::quota
