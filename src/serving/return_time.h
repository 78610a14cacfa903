/// Decides when the caller of a refused request is asked to return.
///
/// The two functions that compute a time are pure; `ReturnTime` draws the random part and reads the
/// shared records. Times are milliseconds, rates requests a second. There are no errors.
///
/// Load that it answers: callers that were refused for lack of capacity return before there is any,
/// and are refused again.
#pragma once

#include "base/error.h"
#include "serving/serving_context.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace corianderhoist {

/// The caller of a refused request, as far as it is known.
struct refused_caller {
  const policy_workspace* workspace = nullptr;  ///< Null on a public route.
  queue_rank rank;
};

/// Returns the time after which there will be capacity for a caller with `ahead` requests before
/// it, of which one is sent per `interval`. `draw`, from 0 to 1, spreads the returns.
std::chrono::milliseconds BacklogReturnTime(std::size_t ahead,
                                            std::chrono::microseconds interval,
                                            double draw);

/// Returns the time in which one VM's part of a workspace's rate admits one more request, at most
/// the `window` in which the rate holds.
std::chrono::milliseconds RateReturnTime(std::uint64_t rate_per_second,
                                         std::uint32_t active_vms,
                                         std::chrono::milliseconds window,
                                         double draw);

/// Returns the time after which a caller that is refused for `kind` should return; zero if the kind
/// suggests none. Different for each call, so that callers that are refused at the same time do not
/// return at the same time.
std::chrono::milliseconds ReturnTime(serving_context& context,
                                     error_kind kind,
                                     const std::string& service,
                                     const refused_caller& caller);

}  // namespace corianderhoist
