/// Decides when the caller of a refused request is asked to return.
#pragma once

#include "base/error.h"
#include "serving/serving_context.h"

#include <chrono>
#include <string>

namespace corianderhoist {

/// Returns the time after which a caller that is refused for `kind` should return; zero if the kind
/// suggests none. Different for each call, so that callers that are refused at the same time do not
/// return at the same time.
std::chrono::milliseconds ReturnTime(serving_context& context,
                                     error_kind kind,
                                     const std::string& service);

}  // namespace corianderhoist
