/// The head of an answer as it is sent to a caller.
#pragma once

#include "http/message.h"

#include <string>

namespace corianderhoist {

/// Whether an answer with this status has a body (204 and 304 have none).
bool HasBody(int status);

/// Status line, header fields and framing. `is_last`: the connection closes after the answer.
std::string FormatHead(const answer_head& head, bool is_last);

}  // namespace corianderhoist
