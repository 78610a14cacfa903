/// Properties of the HTTP readers that hold for arbitrary bytes from a caller or an upstream. Used
/// by the fuzz targets and, with their fixed corpus, by unit tests.
#pragma once

#include <string_view>

namespace corianderhoist {

/// Throws `std::logic_error` when the result depends on how the bytes are split, or when an
/// accepted request has a form that upstreams could parse differently.
void CheckRequestBytes(std::string_view bytes);

/// Throws `std::logic_error` when the result depends on how the bytes are split, or when the length
/// of a body differs from its Content-Length.
void CheckAnswerBytes(std::string_view bytes);

}  // namespace corianderhoist
