/// Serializes the status line and header fields of an answer to a caller.
#pragma once

#include "http/message.h"

#include <string>

namespace corianderhoist {

/// Returns whether an answer with this status has a body; 204 and 304 have none.
bool HasBody(int status);

/// Serializes the status line, the header fields and the framing fields. `is_last` adds
/// `Connection: close`, because the connection closes after this answer.
std::string FormatHead(const answer_head& head, bool is_last);

}  // namespace corianderhoist
