/// A test upstream that sends scripted bytes verbatim and records the requests.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace corianderhoist {

/// What the upstream does with the connection after it has sent the bytes of an answer.
enum class after_answer {
  kKeep,
  kClose,
  kReset,
  kFinishAndReset,  ///< Closes its sending side, then resets the connection.
  kHang,            ///< Sends nothing more and waits for the peer to close.
  kFlood,           ///< Sends `scripted_answer::repeated` until the peer closes.
};

/// The answer to one request.
struct scripted_answer {
  std::string bytes;
  after_answer after = after_answer::kKeep;
  std::chrono::milliseconds delay{};
  std::string repeated;
  std::string late_bytes;  ///< Sent `late_by` after `bytes`.
  std::chrono::milliseconds late_by{};
};

/// A request as received; a chunked body is decoded.
struct scripted_request {
  std::string head;
  std::string body;
  std::size_t connection = 0;  ///< Number of the connection, from 0.

  /// Value of the header field, empty when it is missing.
  std::string Header(const std::string& name) const;
};

/// Uses blocking sockets and one thread per connection. The destructor joins all threads.
class scripted_upstream {
 public:
  /// `script` is called for each request, on the thread of its connection.
  explicit scripted_upstream(std::function<scripted_answer(const scripted_request&)> script);
  ~scripted_upstream();
  scripted_upstream(const scripted_upstream&) = delete;
  scripted_upstream& operator=(const scripted_upstream&) = delete;

  std::uint16_t Port() const { return port_; }
  /// `script` returns bytes that are sent once the head of a request has arrived, before its body
  /// is read; the last byte of them only after `pause`. Call before the first request.
  void SetEarlyBytes(std::function<std::string(const scripted_request&)> script,
                     std::chrono::milliseconds pause = {}) {
    early_bytes_ = std::move(script);
    early_pause_ = pause;
  }
  /// Requests for which `is_early` holds are answered before their body is read; their connection
  /// must end after the answer. Call before the first request.
  void SetEarlyAnswers(std::function<bool(const scripted_request&)> is_early) {
    is_early_ = std::move(is_early);
  }
  /// Makes the kernels of both sides buffer few bytes of a request that is not read. Call before
  /// the first request.
  void UseSlowLink();
  std::vector<scripted_request> Requests() const;
  /// Number of connections that have ended, for any reason.
  int EndedConnections() const { return ended_; }
  /// Number of connections that the peer closed after an answer with `after_answer::kHang` or
  /// `after_answer::kFlood`.
  int AbandonedConnections() const { return abandoned_; }

 private:
  void Accept();
  void Serve(int descriptor, std::size_t connection);
  bool ReadRequest(int descriptor, std::string& buffer, scripted_request& request) const;

  const std::function<scripted_answer(const scripted_request&)> script_;
  std::function<std::string(const scripted_request&)> early_bytes_;
  std::chrono::milliseconds early_pause_{};
  std::function<bool(const scripted_request&)> is_early_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> is_stopping_ = false;
  std::atomic<int> abandoned_ = 0;
  std::atomic<int> ended_ = 0;
  mutable std::mutex lock_;
  std::vector<scripted_request> requests_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/// A complete signed answer with the attempt id of `request`.
std::string SignedAnswer(const scripted_request& request,
                         int status,
                         const std::string& body,
                         const std::string& more_headers = {});

}  // namespace corianderhoist
