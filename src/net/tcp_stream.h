/// A non-blocking TCP connection on the event loop of its thread.
///
/// QTcpSocket reports a reset like a regular end, so an answer whose length is given by the end of
/// its connection could not be told from one that was cut. This class keeps them apart.
#pragma once

#include "base/endpoint.h"

#include <QSocketNotifier>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace corianderhoist {

/// How a connection ended.
enum class stream_end {
  kFinished,       ///< The peer has closed its sending side.
  kReset,          ///< Reset by the peer, or the path was given up.
  kConnectFailed,  ///< Never connected.
};

/// Single-threaded. Callbacks run from the event loop, never from inside a call of this class, and
/// may destroy the stream.
class tcp_stream {
 public:
  struct events {
    std::function<void()> on_connected;              ///< Only after `Connect`.
    std::function<void(std::string_view)> on_bytes;  ///< Bytes that arrived.
    std::function<void(stream_end)> on_end;          ///< Once; nothing follows.
    std::function<void()> on_drained;                ///< All written bytes have been handed on.
  };

  /// Starts a connection; the outcome comes as `on_connected` or `on_end`.
  static std::unique_ptr<tcp_stream> Connect(const endpoint& address, events handlers);
  /// Takes over an accepted descriptor.
  static std::unique_ptr<tcp_stream> Adopt(int descriptor, events handlers);

  /// Closes the connection without an event. Unread bytes turn the close into a reset.
  ~tcp_stream();
  tcp_stream(const tcp_stream&) = delete;
  tcp_stream& operator=(const tcp_stream&) = delete;

  /// Replaces the callbacks, for a connection that changes its owner.
  void SetEvents(events handlers) { events_ = std::move(handlers); }
  /// Sends `bytes`, or keeps what the kernel does not take yet.
  void Write(std::string_view bytes);
  /// Bytes that the kernel has not taken yet.
  std::size_t Unsent() const { return pending_.size() - pending_start_; }
  /// Stops or resumes reading. While stopped, the end of the connection is not noticed either.
  void PauseReading(bool is_paused);
  /// Closes the sending side once everything is sent.
  void FinishWriting();
  /// Makes the destructor reset the connection, so that the peer cannot take it for a regular end.
  void ResetOnClose();
  bool IsConnected() const { return is_connected_; }

 private:
  tcp_stream(int descriptor, events handlers);
  void Watch();
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
  bool is_connected_ = false;
  bool is_finishing_ = false;
  bool has_ended_ = false;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

/// Accepts connections on the event loop of its thread.
class tcp_listener {
 public:
  /// `on_descriptor` takes over each accepted descriptor.
  explicit tcp_listener(std::function<void(int descriptor)> on_descriptor);
  ~tcp_listener();
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;

  /// Opens the port and returns it. Fails with `kUnreachable`.
  result<std::uint16_t> Listen(const endpoint& address);
  void Close();

 private:
  void Accept();

  std::function<void(int)> on_descriptor_;
  std::unique_ptr<QSocketNotifier> notifier_;
  int descriptor_ = -1;
};

}  // namespace corianderhoist
