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
  kInternal,
  // Requests that are refused before they run.
  kBadRequest,
  kHeaderTooLarge,
  kBodyTooLarge,
  kRequestTimeout,
  kNoRoute,
  kKeyMissing,
  kKeyUnknown,
  kServiceForbidden,
  kNoPlace,
  kNoUpstream,
  kQueueFull,
  kQueueTimeout,
  kOverRate,
  kRequestBlocked,
  kRequestHeldBack,
  kIdempotencyKeyInvalid,
  kIdempotencyMismatch,
  kStillRunning,
  kCoordinatorUnavailable,
  kConfigBehind,
  kStateUnconfirmed,
  kShuttingDown,
  kUpstreamUnreachable,
  kUpstreamShedding,
  // Requests that may have run.
  kOutcomeUnknown,
  kUpstreamTimeout,
  kUpstreamBroken,
  kAnswerNotStored,
  // Operator interface and internal protocol.
  kInvalidSettings,
  kInvalidRules,
  kVersionConflict,
  kNotAccepted,
  kNotLeader,
  kNotFound,
  kForbidden,
  kMalformedMessage,
  kUnreachable,
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
