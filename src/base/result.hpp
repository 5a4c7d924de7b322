#pragma once

#include "base/failure.hpp"

#include <boost/leaf.hpp>

#include <string>
#include <utility>

namespace damaskladder::base {

/// A value or a failure. Check with operator bool and read with value(); propagate a failure with
/// BOOST_LEAF_AUTO, BOOST_LEAF_ASSIGN or BOOST_LEAF_CHECK.
template <class T>
using result = boost::leaf::result<T>;

/// Creates a failed result: `return fail(failure_kind::io, "sync segment", path, "disk full");`
inline boost::leaf::error_id fail(failure_kind kind, std::string step, std::string peer,
                                  std::string text)
{
    return boost::leaf::new_error(failure{kind, std::move(step), std::move(peer), std::move(text)});
}

/// Calls try_block, which returns result<T>. Returns its value, or the T that
/// on_failure(const failure&) returns. The failed result must be created within try_block;
/// otherwise Boost.LEAF discards its failure.
template <class TryBlock, class OnFailure>
auto handle_failure(TryBlock&& try_block, OnFailure&& on_failure)
{
    return boost::leaf::try_handle_all(
        std::forward<TryBlock>(try_block), [&](const failure& error) { return on_failure(error); },
        [&] {
            return on_failure(failure{failure_kind::internal, "unknown step", {}, "unknown error"});
        });
}

} // namespace damaskladder::base
