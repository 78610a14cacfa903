/// A small blocking HTTP/1.1 client for load generation and tests.
#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/error.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace corianderhoist {

/// A request. Headers are sent as given; the client adds `Host` and, for a body, POST and PUT,
/// `Content-Length`.
struct http_call {
  std::string method = "GET";
  std::string target = "/";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// A response. `status` is 0 when no complete response arrived; `failure` then holds the reason.
struct http_reply {
  int status = 0;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
  std::string failure;

  /// The value of a header, or an empty string when absent. `name` must be in lower case.
  std::string Header(const std::string& name) const;
};

/// A client with one persistent connection that reconnects when the connection was closed. Never
/// retries a request. Not thread safe.
class http_client {
 public:
  explicit http_client(endpoint address);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Sends the request and waits up to `timeout` for the complete response.
  http_reply Call(const http_call& call, std::chrono::milliseconds timeout);
  void Close();

 private:
  bool Connect(std::chrono::milliseconds timeout, std::string& failure);
  /// Whether the idle connection was closed, has failed or has received unexpected data.
  bool IsStale() const;
  http_reply Receive(steady_time deadline, bool is_head);

  endpoint address_;
  int socket_ = -1;
  std::string received_;
};

/// Sends one request on a new connection.
http_reply CallOnce(const endpoint& address,
                    const http_call& call,
                    std::chrono::milliseconds timeout);

}  // namespace corianderhoist
