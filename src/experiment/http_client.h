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

/// A request with its headers as written on the wire. `Host` and `Content-Length` are added.
struct http_call {
  std::string method = "GET";
  std::string target = "/";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// What came back. `status` is 0 when no whole answer arrived; `failure` then tells why.
struct http_reply {
  int status = 0;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
  std::string failure;

  /// The value of a header, empty when absent. `name` in lower case.
  std::string Header(const std::string& name) const;
};

/// One connection that is kept alive between calls and opened again when it has ended. Never
/// resends a request. Not thread safe.
class http_client {
 public:
  explicit http_client(endpoint address);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Sends the call and waits for the whole answer, at most `timeout`.
  http_reply Call(const http_call& call, std::chrono::milliseconds timeout);
  void Close();

 private:
  bool Connect(std::chrono::milliseconds timeout, std::string& failure);
  bool IsStale() const;
  http_reply Receive(steady_time deadline, bool is_head);

  endpoint address_;
  int socket_ = -1;
  std::string received_;
};

/// One call on a connection of its own.
http_reply CallOnce(const endpoint& address,
                    const http_call& call,
                    std::chrono::milliseconds timeout);

}  // namespace corianderhoist
