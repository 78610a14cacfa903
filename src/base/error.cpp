#include "base/error.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace corianderhoist {
namespace {

using std::chrono::seconds;

constexpr auto kNotRun = request_outcome::kNotRun;
constexpr auto kUnknown = request_outcome::kUnknown;
constexpr std::nullopt_t kNoRetryAfter = std::nullopt;

constexpr std::array kAnswers = {
    error_answer{error_kind::kInternal, "internal", 500, kUnknown, kNoRetryAfter},
    error_answer{error_kind::kBadRequest, "bad_request", 400, kNotRun, kNoRetryAfter},
    error_answer{error_kind::kHeaderTooLarge, "header_too_large", 431, kNotRun, kNoRetryAfter},
    error_answer{error_kind::kBodyTooLarge, "body_too_large", 413, kNotRun, kNoRetryAfter},
    error_answer{error_kind::kRequestTimeout, "request_timeout", 408, kNotRun, kNoRetryAfter},
    error_answer{error_kind::kNoRoute, "no_route", 404, kNotRun, kNoRetryAfter},
    error_answer{error_kind::kKeyMissing, "key_missing", 401, kNotRun, kNoRetryAfter},
    error_answer{error_kind::kKeyUnknown, "key_unknown", 401, kNotRun, kNoRetryAfter},
    error_answer{error_kind::kServiceForbidden, "service_forbidden", 403, kNotRun, kNoRetryAfter},
    error_answer{error_kind::kNoPlace, "no_place", 503, kNotRun, seconds(5)},
    error_answer{error_kind::kNoUpstream, "no_upstream", 503, kNotRun, seconds(2)},
    error_answer{error_kind::kQueueFull, "queue_full", 503, kNotRun, seconds(1)},
    error_answer{error_kind::kQueueTimeout, "queue_timeout", 503, kNotRun, seconds(1)},
    error_answer{error_kind::kOverRate, "over_rate", 429, kNotRun, seconds(1)},
    error_answer{error_kind::kRequestBlocked, "request_blocked", 403, kNotRun, kNoRetryAfter},
    error_answer{error_kind::kRequestHeldBack, "request_held_back", 503, kNotRun, seconds(10)},
    error_answer{error_kind::kIdempotencyKeyInvalid, "idempotency_key_invalid", 400, kNotRun,
                 kNoRetryAfter},
    error_answer{error_kind::kIdempotencyMismatch, "idempotency_mismatch", 422, kNotRun,
                 kNoRetryAfter},
    error_answer{error_kind::kStillRunning, "still_running", 409, kUnknown, seconds(1)},
    error_answer{error_kind::kCoordinatorUnavailable, "coordinator_unavailable", 503, kNotRun,
                 seconds(2)},
    error_answer{error_kind::kConfigBehind, "config_behind", 503, kNotRun, seconds(1)},
    error_answer{error_kind::kStateUnconfirmed, "state_unconfirmed", 503, kNotRun, seconds(1)},
    error_answer{error_kind::kShuttingDown, "shutting_down", 503, kNotRun, seconds(1)},
    error_answer{error_kind::kUpstreamUnreachable, "upstream_unreachable", 503, kNotRun,
                 seconds(1)},
    error_answer{error_kind::kUpstreamShedding, "upstream_shedding", 503, kNotRun, seconds(1)},
    error_answer{error_kind::kOutcomeUnknown, "outcome_unknown", 502, kUnknown, kNoRetryAfter},
    error_answer{error_kind::kUpstreamTimeout, "upstream_timeout", 504, kUnknown, kNoRetryAfter},
    error_answer{error_kind::kUpstreamBroken, "upstream_broken", 502, kUnknown, kNoRetryAfter},
    error_answer{error_kind::kAnswerNotStored, "answer_not_stored", 409, kUnknown, kNoRetryAfter},
    error_answer{error_kind::kInvalidSettings, "invalid_settings", 400, kNotRun, kNoRetryAfter},
    error_answer{error_kind::kInvalidRules, "invalid_rules", 400, kNotRun, kNoRetryAfter},
    error_answer{error_kind::kVersionConflict, "version_conflict", 409, kNotRun, kNoRetryAfter},
    error_answer{error_kind::kNotAccepted, "not_accepted", 503, kUnknown, seconds(1)},
    error_answer{error_kind::kNotLeader, "not_leader", 421, kNotRun, kNoRetryAfter},
    error_answer{error_kind::kNotFound, "not_found", 404, kNotRun, kNoRetryAfter},
    error_answer{error_kind::kForbidden, "forbidden", 403, kNotRun, kNoRetryAfter},
    error_answer{error_kind::kMalformedMessage, "malformed_message", 400, kNotRun, kNoRetryAfter},
    error_answer{error_kind::kUnreachable, "unreachable", 503, kUnknown, seconds(1)},
    error_answer{error_kind::kTimeout, "timeout", 504, kUnknown, seconds(1)},
    error_answer{error_kind::kStorageFailed, "storage_failed", 503, kUnknown, kNoRetryAfter},
    error_answer{error_kind::kStorageDamaged, "storage_damaged", 503, kUnknown, kNoRetryAfter},
};

constexpr bool IsIndexedByKind() {
  for (std::size_t i = 0; i < kAnswers.size(); ++i) {
    if (static_cast<std::size_t>(kAnswers[i].kind) != i) {
      return false;
    }
  }
  return kAnswers.size() == static_cast<std::size_t>(error_kind::kStorageDamaged) + 1;
}
static_assert(IsIndexedByKind(), "kAnswers must list every error kind in the order of the enum");

}  // namespace

const error_answer& AnswerFor(error_kind kind) {
  const auto index = static_cast<std::size_t>(kind);
  assert(index < kAnswers.size() && "error kind is not an enumerator");
  return kAnswers[index];
}

error_kind ErrorKindFromName(std::string_view name) {
  const auto found = std::find_if(kAnswers.begin(), kAnswers.end(),
                                  [&](const error_answer& answer) { return answer.name == name; });
  return found == kAnswers.end() ? error_kind::kInternal : found->kind;
}

}  // namespace corianderhoist
