/// Parsing of the header fields that concern the proxy, and filtering of those passed on.
#pragma once

#include "base/error.h"
#include "base/hash.h"
#include "coordinator/messages.h"
#include "http/message.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace corianderhoist {

/// Returns the workspace key of a request, from `Corianderhoist-Key` or `Authorization: Bearer`.
/// Fails with `kBadRequest` when both are present or the key is empty.
result<std::optional<std::string>> ParseWorkspaceKey(const header_fields& headers);

/// Returns the idempotency key, or an empty string if there is none. Fails with
/// `kIdempotencyKeyInvalid` unless it has 1 to 200 visible ASCII characters.
result<std::string> ParseIdempotencyKey(const header_fields& headers);

/// Returns the time limit that the caller sets in `Corianderhoist-Deadline-Ms`. Fails with
/// `kBadRequest`.
result<std::optional<std::chrono::milliseconds>> ParseCallerTimeout(const header_fields& headers);

/// Returns the fields to forward to an upstream, without the key, the `Corianderhoist-` fields and
/// the hop-by-hop fields. Fails with `kBadRequest` when the target contains the key.
result<header_fields> HeadersForUpstream(const http_request& request,
                                         const std::optional<std::string>& key);

/// Returns the fields of an upstream's answer to forward to the caller.
header_fields HeadersForCaller(const header_fields& headers);

/// Digest of workspace, method, target and body. Identifies equal requests for the detection of
/// requests that crash upstreams.
digest FingerprintOf(std::string_view workspace, const http_request& request);

/// Digest of method, target and body. Detects an idempotency key reused for another request.
digest BodyDigestOf(const http_request& request);

/// Convert between an answer and its form in an idempotency record.
stored_answer ToStored(const answer_head& head, std::string body);
answer_head FromStored(const stored_answer& stored);

}  // namespace corianderhoist
