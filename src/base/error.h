/// Error kinds, their answers to callers, and the result type of fallible functions.
#pragma once

#include <boost/leaf.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace corianderhoist {

/// The reasons for which an operation can fail or a request can be refused.
/// `AnswerFor` maps each kind to the answer that callers see.
enum class error_kind {
  kInternal,  ///< Unexpected failure.
  // Requests that are refused before they run.
  kBadRequest,
  kHeaderTooLarge,
  kBodyTooLarge,
  kRequestTimeout,
  kNoRoute,  ///< No route matches method and path.
  kKeyMissing,
  kKeyUnknown,
  kServiceForbidden,  ///< The workspace may not use the service of the route.
  kNoPlace,           ///< No region or data centre may serve the request.
  kNoUpstream,        ///< No upstream of the service is ready in the allowed places.
  kQueueFull,         ///< A queue, or a limit on connections or open calls, is full.
  kQueueTimeout,      ///< No slot of an upstream became free in time.
  kOverRate,          ///< The workspace exceeds its rate limit.
  kRequestBlocked,    ///< Equal requests have crashed upstreams; an operator can unblock them.
  kRequestHeldBack,   ///< Equal requests have crashed upstreams; may be retried later.
  kIdempotencyKeyInvalid,
  kIdempotencyMismatch,  ///< The idempotency key was used for a different request.
  kStillRunning,         ///< The first request with this idempotency key has not ended.
  kCoordinatorUnavailable,
  kConfigBehind,      ///< The entry VM's configuration is too old for the coordinator.
  kStateUnconfirmed,  ///< The entry VM cannot rule out that its fleet state is outdated.
  kShuttingDown,
  kUpstreamUnreachable,
  kUpstreamShedding,  ///< The upstream rejected the request due to load.
  // Requests that may have run.
  kOutcomeUnknown,  ///< An attempt ended without a known outcome, such as at a shutdown.
  kUpstreamTimeout,
  kUpstreamBroken,   ///< The connection was lost or the answer was invalid.
  kAnswerNotStored,  ///< The request with this idempotency key has run; its answer is not kept.
  // Operator interface and internal protocol.
  kInvalidSettings,
  kInvalidRules,
  kVersionConflict,  ///< The current state excludes the change, such as another base version.
  kNotAccepted,      ///< No leader has confirmed the change; it may still be committed.
  kNotLeader,        ///< The called replica does not lead its group.
  kNotFound,
  kForbidden,
  kMalformedMessage,
  kUnreachable,  ///< A connection failed, or a port could not be opened.
  kTimeout,
  kStorageFailed,
  kStorageDamaged,
};

/// What an error answer guarantees about the execution of the request.
enum class request_outcome { kNotRun, kUnknown };

/// The answer that a caller receives for an error kind.
struct error_answer {
  error_kind kind;
  std::string_view name;  ///< Stable name, snake case, part of the public interface.
  int http_status;
  request_outcome outcome;
  std::optional<std::chrono::seconds> retry_after;  ///< Unset: no delay is suggested.
};

/// Returns the answer for `kind`. Defined for every enumerator.
const error_answer& AnswerFor(error_kind kind);

/// Returns the kind with the given stable name, or `kInternal` if the name is unknown.
error_kind ErrorKindFromName(std::string_view name);

/// An error kind with a human-readable message (lower case, no trailing period).
struct error {
  error_kind kind = error_kind::kInternal;
  std::string detail;
};

/// Either a value or an `error` that travels through Boost.LEAF.
template <class T>
using result = boost::leaf::result<T>;

/// Returns a failed `result` that carries `error{kind, detail}`.
inline auto Fail(error_kind kind, std::string detail) {
  return boost::leaf::new_error(error{kind, std::move(detail)});
}

/// Calls `function`, which returns `result<T>`, and returns its value. On failure, returns the
/// value of `on_error(const error&)` instead, which must be convertible to T.
template <class Function, class OnError>
auto Recover(Function&& function, OnError&& on_error) {
  return boost::leaf::try_handle_all(
      std::forward<Function>(function), [&](const error& failure) { return on_error(failure); },
      [&] {
        return on_error(error{error_kind::kInternal, "failure without description"});
      });
}

}  // namespace corianderhoist
