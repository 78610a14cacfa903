/// What the pipeline takes from a request, and the header fields it passes on.
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
result<std::optional<std::string>> KeyOf(const header_fields& headers);

/// Returns the idempotency key, empty without one. Fails with `kIdempotencyKeyInvalid`.
result<std::string> IdempotencyKeyOf(const header_fields& headers);

/// Returns the caller's own limit on the time of the request. Fails with `kBadRequest`.
result<std::optional<std::chrono::milliseconds>> DeadlineOf(const header_fields& headers);

/// Returns the fields that an upstream may see: no key, none of this project's own fields, none
/// that concern the caller's connection. Fails with `kBadRequest` when the target contains the key.
result<header_fields> HeadersForUpstream(const http_request& request,
                                         const std::optional<std::string>& key);

/// Returns the fields of an upstream's answer that the caller may see.
header_fields HeadersForCaller(const header_fields& headers);

/// Identifies a request for the detection of requests that crash upstreams.
digest FingerprintOf(std::string_view workspace, const http_request& request);

/// Identifies the content that an idempotency key stands for.
digest BodyDigestOf(const http_request& request);

/// Converts an answer to the form in which a record keeps it and back.
stored_answer ToStored(const answer_head& head, std::string body);
answer_head FromStored(const stored_answer& stored);

}  // namespace corianderhoist
