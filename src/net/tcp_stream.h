/// A non-blocking TCP connection on the event loop of its thread.
///
/// QTcpSocket reports a reset like a regular close, so a complete answer that is delimited by the
/// close of its connection could not be told from a truncated one. This class distinguishes them.
#pragma once

#include "base/buffer_budget.h"
#include "base/endpoint.h"

#include <QSocketNotifier>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace corianderhoist {

/// The reason for the end of a connection.
enum class stream_end {
  kFinished,       ///< The peer has closed its sending side.
  kReset,          ///< Reset by the peer, or timed out without acknowledgements.
  kConnectFailed,  ///< The connection was not established.
};

/// Not thread-safe. Callbacks run from the event loop, never from inside a member function, and may
/// destroy the stream.
class tcp_stream {
 public:
  struct events {
    std::function<void()> on_connected;              ///< Only after `Connect`.
    std::function<void(std::string_view)> on_bytes;  ///< Bytes were received.
    std::function<void(stream_end)> on_end;          ///< Called once; no event follows.
    std::function<void()> on_drained;                ///< The kernel has accepted all written bytes.
  };

  /// Starts connecting; the result is reported by `on_connected` or `on_end`.
  static std::unique_ptr<tcp_stream> Connect(const endpoint& address, events handlers);
  /// Takes ownership of an accepted descriptor.
  static std::unique_ptr<tcp_stream> Adopt(int descriptor, events handlers);

  /// Closes the connection without an event. The kernel sends a reset if bytes are unread.
  ~tcp_stream();
  tcp_stream(const tcp_stream&) = delete;
  tcp_stream& operator=(const tcp_stream&) = delete;

  /// Replaces the callbacks when the connection changes its owner.
  void SetEvents(events handlers) { events_ = std::move(handlers); }
  /// Counts the buffered bytes in `budget`, which must outlive the stream.
  void CountIn(buffer_budget& budget) { hold_.Use(&budget); }
  /// Sends `bytes` and buffers what the kernel does not accept yet.
  void Write(std::string_view bytes);
  /// Number of bytes that the kernel has not accepted yet.
  std::size_t Unsent() const { return pending_.size() - pending_start_; }
  /// Whether written bytes were dropped because a send failed. No more are sent; `on_end` follows
  /// once the received bytes are read.
  bool HasDroppedBytes() const { return end_seen_by_send_.has_value(); }
  /// Pauses or resumes reading. While paused, the end of the connection is not detected.
  void PauseReading(bool is_paused);
  /// Shuts down the sending side once all buffered bytes are sent.
  void FinishWriting();
  /// Makes the destructor reset the connection, so that the peer does not see a regular close.
  void ResetOnClose();
  bool IsConnected() const { return is_connected_; }

 private:
  tcp_stream(int descriptor, events handlers);
  void CreateNotifiers();
  void OnReadable();
  void OnWritable();
  void Flush();
  void End(stream_end how);

  int descriptor_;
  events events_;
  std::unique_ptr<QSocketNotifier> read_notifier_;
  std::unique_ptr<QSocketNotifier> write_notifier_;
  std::string pending_;
  std::size_t pending_start_ = 0;
  buffer_hold hold_;                            ///< Of `pending_`.
  std::optional<stream_end> end_seen_by_send_;  ///< Set when a send has failed.
  bool is_connected_ = false;
  bool is_finishing_ = false;
  bool has_ended_ = false;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

/// Accepts connections on the event loop of its thread.
class tcp_listener {
 public:
  /// `on_descriptor` takes ownership of each accepted descriptor.
  explicit tcp_listener(std::function<void(int descriptor)> on_descriptor);
  ~tcp_listener();
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;

  /// Starts listening and returns the port. Fails with `kUnreachable`.
  result<std::uint16_t> Listen(const endpoint& address);
  void Close();

 private:
  void Accept();

  std::function<void(int)> on_descriptor_;
  std::unique_ptr<QSocketNotifier> notifier_;
  int descriptor_ = -1;
};

}  // namespace corianderhoist
