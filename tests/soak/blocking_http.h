/// HTTP/1.1 calls over blocking sockets that show how a connection ended.
#pragma once

#include "base/endpoint.h"

#include <chrono>
#include <string>

namespace corianderhoist::soak {

enum class read_result { kBytes, kTimeout, kClosed, kReset };

/// A connection from the caller's side. Not thread safe.
class blocking_connection {
 public:
  blocking_connection() = default;
  ~blocking_connection();
  blocking_connection(const blocking_connection&) = delete;
  blocking_connection& operator=(const blocking_connection&) = delete;

  bool Connect(const endpoint& address, std::chrono::milliseconds timeout);
  bool IsOpen() const { return descriptor_ >= 0; }
  void Close();
  bool Send(const std::string& bytes) const;
  /// Appends received bytes to `Buffer`.
  read_result Read(std::chrono::milliseconds timeout);
  std::string& Buffer() { return buffer_; }

 private:
  int descriptor_ = -1;
  std::string buffer_;
};

struct received_answer {
  int status = 0;
  std::string head;
  std::string body;
  bool is_complete = false;
  bool has_timed_out = false;
  bool closes_connection = false;

  /// Value of the header field, empty when it is missing.
  std::string Header(const std::string& name) const;
};

/// Reads the next final answer from the connection.
received_answer ReadAnswer(blocking_connection& connection, std::chrono::milliseconds timeout);

/// One call on a new connection.
received_answer CallOnNewConnection(const endpoint& address,
                                    const std::string& method,
                                    const std::string& path,
                                    const std::string& body,
                                    std::chrono::milliseconds timeout);

}  // namespace corianderhoist::soak
