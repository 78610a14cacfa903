/// One attempt to run a request at an upstream, over HTTP/1.1.
#pragma once

#include "base/buffer_budget.h"
#include "base/clock.h"
#include "base/endpoint.h"
#include "fleet/upstream_roster.h"
#include "http/answer_reader.h"
#include "http/message.h"
#include "net/tcp_stream.h"
#include "serving/upstream_statements.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corianderhoist {

/// Names of the header fields of the protocol with upstreams. Set by the adapter of a platform.
struct upstream_header_names {
  std::string attempt_id;  ///< Echoed in the response; identifies late responses to other requests.
  std::string deadline_ms;   ///< Time left for the response, in milliseconds.
  std::string instance;      ///< The addressed incarnation; any other one refuses the request.
  std::string workspace;     ///< Workspace that the key of the request belongs to.
  std::string not_executed;  ///< In a response: the upstream did not run the request.
  std::string signature;     ///< In a response: proves that the upstream produced it.
  statement_header_names statements;
};

/// The result of an attempt.
enum class call_result : std::uint8_t {
  kAnswered,       ///< A complete, valid response of the upstream.
  kNotConnected,   ///< Nothing was sent.
  kWithheld,       ///< Nothing was sent: the upstream no longer accepts requests.
  kNotExecuted,    ///< The upstream states that it did not run the request.
  kWrongInstance,  ///< Another incarnation responded and did not run it.
  kLost,           ///< The connection ended without a response; the request may have run.
  kClosedIdle,  ///< As `kLost`, but the upstream probably closed the connection while it was idle.
  kBroken,      ///< The response is truncated or invalid; the request may have run.
};

/// Whether it is certain that the request has not run and will not run.
inline bool IsNotRun(call_result result) {
  return result == call_result::kNotConnected || result == call_result::kWithheld ||
         result == call_result::kNotExecuted || result == call_result::kWrongInstance;
}

/// A connection and the requests that were sent on it.
struct kept_connection {
  std::unique_ptr<tcp_stream> stream;
  std::vector<std::uint64_t> sent_ids;  ///< Hashes of their attempt ids.
};

/// Pool of idle connections to upstreams. One per event loop.
class connection_cache {
 public:
  /// `buffers` counts what calls and connections hold, none if null; must outlive them.
  explicit connection_cache(const clock_source& clock, buffer_budget* buffers = nullptr)
      : clock_(clock), buffers_(buffers) {}

  buffer_budget* Buffers() const { return buffers_; }

  /// Returns an open connection that has been idle for at most `max_idle_time` and on which no
  /// request with this attempt id was sent, or one without a stream. A repeated answer to an
  /// earlier request with the same id could not be told from the answer to the new one.
  kept_connection Take(upstream_handle upstream,
                       std::chrono::milliseconds max_idle_time,
                       std::string_view attempt_id);
  /// Whether `Take` would return one for a new attempt id.
  bool Has(upstream_handle upstream, std::chrono::milliseconds max_idle_time) const;
  /// Keeps an idle connection for at most `lifetime`.
  void Put(upstream_handle upstream,
           kept_connection connection,
           std::chrono::milliseconds lifetime);
  /// Closes connections whose lifetime has ended, and those to upstreams that are gone.
  void Sweep(const std::function<bool(upstream_handle)>& is_known);
  /// Records the time in which a connection to the upstream was established.
  void NoteRoundTrip(upstream_handle upstream, std::chrono::microseconds round_trip);
  /// The shortest recorded time; 0 if there is none. The network delay is at most this long.
  std::chrono::microseconds RoundTrip(upstream_handle upstream) const;
  std::size_t Size() const;

 private:
  struct idle_connection {
    kept_connection kept;
    steady_time since;
    steady_time until;
    std::uint64_t id = 0;
  };
  static bool IsUsable(const idle_connection& connection,
                       std::chrono::milliseconds max_idle_time,
                       steady_time now);
  void Remove(upstream_handle upstream, std::uint64_t id);

  const clock_source& clock_;
  buffer_budget* const buffers_;
  std::map<upstream_handle, std::vector<idle_connection>> idle_;
  std::map<upstream_handle, std::chrono::microseconds> round_trips_;
  std::uint64_t next_id_ = 1;
};

/// The request to send and the upstream to send it to.
struct call_plan {
  upstream_handle upstream = 0;
  endpoint address;
  std::string request_line;  ///< Method and target, without the version.
  header_fields headers;     ///< Without framing fields and the time left, which are added.
  std::string attempt_id;    ///< Expected in the response; empty if the request has none.
  bool is_head_method = false;
  bool has_body = false;                     ///< Otherwise no framing fields are sent.
  std::optional<std::uint64_t> body_length;  ///< Empty for a chunked body.
  steady_time deadline{};  ///< The upstream is handed the time from the sending until then.
  std::chrono::milliseconds connect_timeout{};
  std::chrono::milliseconds max_idle_time{};  ///< Of a reused connection; 0: none is reused.
  bool may_run_twice = false;
  bool must_be_signed = true;  ///< A success without a signature is invalid.
};

/// Must be used on the thread of its event loop.
class upstream_call : public std::enable_shared_from_this<upstream_call> {
 public:
  struct events {
    /// Called once the connection is established. If it returns false, nothing is sent.
    std::function<bool()> may_send;
    /// Called for each response head that the addressed incarnation has certainly sent, including
    /// those that are not passed to `on_head`.
    std::function<void(const answer_head&)> on_own_head;
    std::function<void()> on_sent;  ///< Connected, and the request head is written.
    std::function<void(const answer_head&)> on_head;
    std::function<void(std::string_view)> on_body;
    /// Called once, unless cancelled. `detail` is the cause of a failure.
    std::function<void(call_result, const std::string& detail)> on_end;
    std::function<void()> on_drained;  ///< The stream accepts more of the body.
  };

  upstream_call(connection_cache& cache,
                const upstream_header_names& header_names,
                const clock_source& clock,
                call_plan plan,
                events handlers);
  ~upstream_call();
  upstream_call(const upstream_call&) = delete;
  upstream_call& operator=(const upstream_call&) = delete;

  void Start();
  /// Sends a part of the request body, which is buffered until the connection is established.
  void SendBody(std::string_view part);
  void FinishBody();
  /// Closes the connection. No further event is called.
  void Cancel();
  /// Ends the call with `kBroken`: the owner cannot use the response.
  void Break(const std::string& detail) { Finish(call_result::kBroken, detail); }
  /// Stops or resumes reading of the response.
  void Pause(bool is_paused);

  const call_plan& Plan() const { return plan_; }
  /// Whether the request head has been written to a connection.
  bool IsSent() const { return is_sent_; }
  /// Number of bytes that the kernel has not accepted yet.
  std::size_t Unsent() const { return stream_ ? stream_->Unsent() : 0; }
  bool IsReused() const { return is_reused_; }
  bool HasAnswerBegun() const { return has_answer_begun_; }

 private:
  void Watch();
  void SendHead();
  void OnBytes(std::string_view bytes);
  void OnHead(const answer_head& head);
  bool IsOwnHead(const answer_head& head, const std::string* id) const;
  void OnBody(std::string_view part);
  void OnClosed(stream_end end);
  bool IsProbablyIdleClose() const;
  void OnAnswerComplete();
  void ResetReader();
  void Finish(call_result result, const std::string& detail);
  void Release(bool is_reusable);
  std::chrono::milliseconds ReuseLifetime() const;

  connection_cache& cache_;
  const upstream_header_names& header_names_;
  const clock_source& clock_;
  call_plan plan_;
  events events_;
  std::unique_ptr<tcp_stream> stream_;
  std::vector<std::uint64_t> sent_ids_;  ///< See `kept_connection`.
  std::unique_ptr<answer_reader> reader_;
  steady_time connecting_since_{};
  steady_time sent_at_{};
  std::string incoming_;
  std::string unsent_body_;
  buffer_hold hold_;  ///< Of `unsent_body_`.
  answer_head head_;
  call_result result_ = call_result::kAnswered;
  std::string result_detail_;
  int skipped_answers_ = 0;
  std::size_t discarded_bytes_ = 0;  ///< Of bodies that are not passed to `on_body`.
  bool is_reused_ = false;
  bool is_sent_ = false;
  bool is_body_complete_ = false;
  bool has_answer_begun_ = false;
  bool is_other_request_ = false;  ///< The response being read belongs to another request.
  bool is_keep_alive_ = false;
  bool has_ended_ = false;
};

}  // namespace corianderhoist
