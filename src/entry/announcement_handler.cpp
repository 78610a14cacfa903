#include "entry/announcement_handler.h"

#include "base/log.h"
#include "observe/metrics.h"
#include "settings/settings_reader.h"

#include <algorithm>
#include <limits>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kPathPrefix = "/v1/upstreams/";
constexpr std::size_t kMaxNameBytes = 128;
constexpr std::int64_t kMaxSlots = 100'000;
constexpr milliseconds kTryTimeout(1000);
constexpr milliseconds kForwardTimeout(2000);
constexpr int kNoContent = 204;

upstream_state ParseState(std::string_view word) {
  if (word == "starting") {
    return upstream_state::kStarting;
  }
  return word == "leaving" ? upstream_state::kLeaving : upstream_state::kReady;
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                  c == '-' || c == '_' || c == '.';
         });
}

void CheckName(settings_reader& reader, std::string_view key, std::string_view value) {
  if (!IsName(value)) {
    reader.AddFault(key, "must have 1 to 128 letters, digits, '-', '_' or '.'");
  }
}

}  // namespace

result<announcement> ParseAnnouncement(const http_request& request) {
  if (request.method != "PUT" || !request.path.starts_with(kPathPrefix)) {
    return Fail(error_kind::kNotFound, "only PUT /v1/upstreams/NAME is served here");
  }
  announcement parsed;
  parsed.upstream = request.path.substr(kPathPrefix.size());
  if (!IsName(parsed.upstream)) {
    return Fail(error_kind::kNotFound, "NAME must have 1 to 128 letters, digits, '-', '_' or '.'");
  }
  BOOST_LEAF_AUTO(reader, settings_reader::FromText(request.body));
  if (reader.String("upstream", parsed.upstream) != parsed.upstream) {
    reader.AddFault("upstream", "differs from the name in the path");
  }
  parsed.incarnation = reader.String("incarnation");
  parsed.started_at_ms =
      reader.Integer("started_at_ms", 0, std::numeric_limits<std::int64_t>::max() >> 10U);
  parsed.service = reader.String("service");
  parsed.region = reader.String("region");
  parsed.data_centre = reader.String("data_centre");
  parsed.address = FormatEndpoint(reader.Address("address"));
  parsed.slots = static_cast<std::uint32_t>(reader.Integer("slots", 1, kMaxSlots));
  parsed.state = ParseState(reader.OneOf("state", {"starting", "ready", "leaving"}));
  CheckName(reader, "incarnation", parsed.incarnation);
  CheckName(reader, "service", parsed.service);
  CheckName(reader, "region", parsed.region);
  CheckName(reader, "data_centre", parsed.data_centre);
  reader.CheckUnknownKeys();
  BOOST_LEAF_CHECK(reader.Report());
  return parsed;
}

void HandleAnnouncement(entry_worker& worker,
                        const http_request& request,
                        const std::shared_ptr<answer_sink>& sink) {
  const auto parsed = Recover(
      [&]() -> result<std::optional<announcement>> {
        BOOST_LEAF_AUTO(message, ParseAnnouncement(request));
        return std::optional(std::move(message));
      },
      [&](const error& failure) {
        const error_kind kind =
            failure.kind == error_kind::kNotFound ? failure.kind : error_kind::kBadRequest;
        SendRefusal(*sink, {kind, failure.detail, {}}, request.id);
        return std::optional<announcement>();
      });
  if (!parsed) {
    return;
  }
  coordinator_client* coordinator = worker.FindCoordinator(parsed->region);
  if (!coordinator) {
    SendRefusal(*sink,
                {error_kind::kBadRequest, "region '" + parsed->region + "' is not known", {}},
                request.id);
    return;
  }
  metrics::Instance().Counter("announcements.received").Add();
  coordinator->Call<empty_message>(
      {"coordinator.announce", [message = *parsed] { return Encode(message); }, kTryTimeout,
       worker.context.clock.Now() + kForwardTimeout},
      [sink, id = request.id, name = parsed->upstream](const rpc_result<empty_message>& reply,
                                                       steady_time) {
        if (const auto* failure = std::get_if<rpc_failure>(&reply)) {
          log_event(log_level::kWarning, "announcement_refused")
              .Field("upstream", name)
              .Field("cause", failure->detail);
          SendRefusal(*sink, {failure->kind, failure->detail, {}}, id);
          return;
        }
        SendCompleteAnswer(*sink, {kNoContent, {}, {}}, {});
      });
}

}  // namespace corianderhoist
