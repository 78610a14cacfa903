/// HTTP exchange with an upstream: one request and its answer.
#pragma once

#include "coordinator/messages.h"
#include "http/answer_reader.h"
#include "http/message.h"
#include "upstream/upstream_connection_pool.h"

#include <QTimer>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace corianderhoist {

/// How an exchange ended. With `kNotSent` and `kConnectFailed` the upstream received no byte.
struct exchange_end {
  attempt_result result = attempt_result::kNotSent;
  std::string detail;
};

/// The request of an exchange, its target and connection options.
struct exchange_request {
  upstream_address upstream;
  const http_request* request = nullptr;  ///< Must stay valid until the end of the exchange.
  header_fields headers;                  ///< Sent in place of the headers of `request`.
  std::chrono::milliseconds connect_timeout{};
  bool may_reuse = false;              ///< Whether an idle connection may be used.
  std::uint32_t idle_connections = 0;  ///< Maximum number of idle connections to the upstream.
};

/// Confined to the thread of its pool. An idle connection is reused only if the upstream echoed
/// `Corianderhoist-Request-Id` in its last answer; on such a connection an answer with another id
/// is rejected. A late or repeated answer is therefore never attributed to another request.
class upstream_exchange : public std::enable_shared_from_this<upstream_exchange> {
 public:
  struct events {
    std::function<void(answer_head)> on_head;
    std::function<void(std::string_view)> on_body;
    std::function<void(const exchange_end&)> on_end;  ///< Called once, unless cancelled.
  };

  upstream_exchange(upstream_connection_pool& pool, exchange_request request, events handlers);
  ~upstream_exchange();
  upstream_exchange(const upstream_exchange&) = delete;
  upstream_exchange& operator=(const upstream_exchange&) = delete;

  void Start();
  /// Closes the connection; no event follows.
  void Cancel();
  /// Pause and resume reading of the answer, for callers that read slowly.
  void Pause() { is_paused_ = true; }
  void Resume();

  /// Whether sending of the request has begun, so that the upstream may run it.
  bool IsSent() const { return is_sent_; }
  /// Whether any byte of the answer has arrived.
  bool HasStartedAnswer() const { return reader_.HasStarted(); }

 private:
  void ConnectSignals();
  void Send();
  void OnReadable();
  void OnHead(answer_head head);
  void OnClosed(const std::string& cause);
  void Finish(attempt_result result, std::string detail);
  void Release(bool is_reusable);

  upstream_connection_pool& pool_;
  exchange_request request_;
  events events_;
  answer_reader reader_;
  std::unique_ptr<QTcpSocket> socket_;
  std::unique_ptr<QTimer> connect_timer_;
  std::string incoming_;
  std::string failure_;
  attempt_result result_ = attempt_result::kSuccess;
  bool is_reused_ = false;
  bool is_sent_ = false;
  bool is_paused_ = false;
  bool has_closed_ = false;
  bool has_ended_ = false;
  bool is_id_echoed_ = false;
};

}  // namespace corianderhoist
