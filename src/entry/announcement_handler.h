/// Handler for announcements of upstreams: `PUT /v1/upstreams/NAME` with a JSON body, forwarded to
/// the coordinator of the upstream's region.
#pragma once

#include "base/error.h"
#include "coordinator/messages.h"
#include "entry/entry_context.h"
#include "http/answer_sink.h"

#include <memory>
#include <string_view>

namespace corianderhoist {

/// Parses path and body. Fails with `kNotFound` for another path and with `kBadRequest` for an
/// invalid body, listing every error.
result<announcement> ParseAnnouncement(const http_request& request);

/// Answers one request on the announcements port: 204 once the coordinator has accepted it.
void HandleAnnouncement(entry_worker& worker,
                        const http_request& request,
                        const std::shared_ptr<answer_sink>& sink);

}  // namespace corianderhoist
