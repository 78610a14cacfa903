/// Decides when the caller of a refused request is asked to return.
///
/// `BacklogReturnTime` is pure; `ReturnTime` draws the random part and reads the
/// shared records. There are no errors.
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

/// Returns the time after which there will be capacity for a caller with `ahead` requests before
/// it, of which one is sent per `interval`. `draw`, from 0 to 1, spreads the returns.
std::chrono::milliseconds BacklogReturnTime(std::size_t ahead,
                                            std::chrono::microseconds interval,
                                            double draw);

/// Returns the time after which a caller that is refused for `kind` should return; zero if the kind
/// suggests none. `rank` is that of its request. Different for each call, so that callers that are
/// refused at the same time do not return at the same time.
std::chrono::milliseconds ReturnTime(serving_context& context,
                                     error_kind kind,
                                     const std::string& service,
                                     const queue_rank& rank);

}  // namespace corianderhoist
