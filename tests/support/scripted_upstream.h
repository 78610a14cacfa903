/// An upstream for tests that answers with given bytes, byte for byte, and records what it got.
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

/// What happens to the connection after the bytes.
enum class after_answer { kKeep, kClose, kReset, kHang };

/// The answer to one request.
struct scripted_answer {
  std::string bytes;
  after_answer after = after_answer::kKeep;
  std::chrono::milliseconds delay{};
};

/// A request as it arrived.
struct scripted_request {
  std::string head;
  std::string body;
  std::size_t connection = 0;  ///< Number of the connection, from 0.

  /// Value of the header field, empty when it is missing.
  std::string Header(const std::string& name) const;
};

/// Blocking sockets, one thread per connection. Ends its threads in the destructor.
class scripted_upstream {
 public:
  /// `script` is called for each request, on the thread of its connection.
  explicit scripted_upstream(std::function<scripted_answer(const scripted_request&)> script);
  ~scripted_upstream();
  scripted_upstream(const scripted_upstream&) = delete;
  scripted_upstream& operator=(const scripted_upstream&) = delete;

  std::uint16_t Port() const { return port_; }
  std::vector<scripted_request> Requests() const;
  /// Connections whose peer has closed them while a request hung.
  int Abandoned() const { return abandoned_; }

 private:
  void Accept();
  void Serve(int descriptor, std::size_t connection);
  bool ReadRequest(int descriptor, std::string& buffer, scripted_request& request) const;

  const std::function<scripted_answer(const scripted_request&)> script_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> is_stopping_ = false;
  std::atomic<int> abandoned_ = 0;
  mutable std::mutex lock_;
  std::vector<scripted_request> requests_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/// A whole signed answer with the attempt id of `request`.
std::string SignedAnswer(const scripted_request& request,
                         int status,
                         const std::string& body,
                         const std::string& more_headers = {});

}  // namespace corianderhoist
