/// Properties that hold for any bytes from a caller or an upstream. Used by the fuzz targets and,
/// with their fixed corpus, by unit tests.
#pragma once

#include <string_view>

namespace corianderhoist {

/// Throws `std::logic_error` when reading depends on how the bytes are split, or when an accepted
/// request has a form that upstreams could read in another way.
void CheckRequestBytes(std::string_view bytes);

/// Throws `std::logic_error` when reading depends on how the bytes are split, or when a body
/// differs from its announced length.
void CheckAnswerBytes(std::string_view bytes);

}  // namespace corianderhoist
