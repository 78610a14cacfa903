#include "wire/http2_session.h"

#include <QSslSocket>

#include <algorithm>
#include <array>
#include <cassert>
#include <string_view>
#include <utility>

namespace corianderhoist {
namespace {

constexpr std::size_t kMaxMessageBytes = 64U << 20U;
constexpr std::uint32_t kMaxConcurrentStreams = 20'000;
constexpr std::int32_t kStreamWindowBytes = 4 << 20;
constexpr std::int32_t kConnectionWindowBytes = 32 << 20;

nghttp2_nv Header(std::string_view name, std::string_view value) {
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(),
          value.size(), NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

struct http2_session::callbacks {
  static http2_session& Self(void* user_data) { return *static_cast<http2_session*>(user_data); }

  static int OnBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user_data) {
    Self(user_data).streams_.try_emplace(frame->hd.stream_id);
    return 0;
  }

  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame* frame,
                      const std::uint8_t* name,
                      std::size_t name_length,
                      const std::uint8_t* value,
                      std::size_t value_length,
                      std::uint8_t,
                      void* user_data) {
    const std::string_view key(reinterpret_cast<const char*>(name), name_length);
    if (key == ":path" || key == ":status") {
      Self(user_data).streams_[frame->hd.stream_id].head.assign(
          reinterpret_cast<const char*>(value), value_length);
    }
    return 0;
  }

  static int OnData(nghttp2_session* session,
                    std::uint8_t,
                    std::int32_t stream,
                    const std::uint8_t* data,
                    std::size_t length,
                    void* user_data) {
    std::string& incoming = Self(user_data).streams_[stream].incoming;
    if (incoming.size() + length > kMaxMessageBytes) {
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
      return 0;
    }
    incoming.append(reinterpret_cast<const char*>(data), length);
    return 0;
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* user_data) {
    const bool can_end_message =
        frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (!can_end_message || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
      return 0;
    }
    http2_session& self = Self(user_data);
    const auto found = self.streams_.find(frame->hd.stream_id);
    if (found != self.streams_.end()) {
      self.events_.on_message(found->first, std::move(found->second.head),
                              std::move(found->second.incoming));
    }
    return 0;
  }

  static int OnClose(nghttp2_session*, std::int32_t stream, std::uint32_t, void* user_data) {
    http2_session& self = Self(user_data);
    self.streams_.erase(stream);
    self.events_.on_stream_closed(stream);
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session*,
                          std::int32_t,
                          std::uint8_t* buffer,
                          std::size_t length,
                          std::uint32_t* flags,
                          nghttp2_data_source* source,
                          void*) {
    auto& stream = *static_cast<stream_state*>(source->ptr);
    const std::size_t count = std::min(length, stream.outgoing.size() - stream.sent);
    std::copy_n(stream.outgoing.data() + stream.sent, count, buffer);
    stream.sent += count;
    if (stream.sent == stream.outgoing.size()) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
  }
};

http2_session::http2_session(QTcpSocket& socket, side session_side, events handlers)
    : socket_(socket), side_(session_side), events_(std::move(handlers)) {
  nghttp2_session_callbacks* table = nullptr;
  nghttp2_session_callbacks_new(&table);
  nghttp2_session_callbacks_set_on_begin_headers_callback(table, callbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(table, callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(table, callbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(table, callbacks::OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(table, callbacks::OnClose);
  const int status = session_side == side::kServer
                         ? nghttp2_session_server_new(&session_, table, this)
                         : nghttp2_session_client_new(&session_, table, this);
  nghttp2_session_callbacks_del(table);
  assert(status == 0 && "nghttp2 could not allocate a session");
  (void)status;

  const std::array settings = {
      nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxConcurrentStreams},
      nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes},
  };
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, kConnectionWindowBytes);
  QObject::connect(&socket_, &QTcpSocket::readyRead, &socket_, [this] { Receive(); });
  Flush();
  Receive();
}

http2_session::~http2_session() {
  QObject::disconnect(&socket_, &QTcpSocket::readyRead, nullptr, nullptr);
  nghttp2_session_del(session_);
}

std::int32_t http2_session::SubmitRequest(const std::string& path, std::string body) {
  assert(side_ == side::kClient && "only a client session submits requests");
  const std::array headers = {Header(":method", "POST"), Header(":scheme", "https"),
                              Header(":authority", "corianderhoist"), Header(":path", path)};
  // Elements of an unordered_map have stable addresses, so nghttp2 can keep a pointer to the
  // stream.
  const std::int32_t expected =
      static_cast<std::int32_t>(nghttp2_session_get_next_stream_id(session_));
  stream_state& stream = streams_[expected];
  stream.outgoing = std::move(body);
  nghttp2_data_provider provider{};
  provider.source.ptr = &stream;
  provider.read_callback = callbacks::ReadBody;
  const std::int32_t id =
      nghttp2_submit_request(session_, nullptr, headers.data(), headers.size(), &provider, nullptr);
  if (id < 0) {
    streams_.erase(expected);
    return id;
  }
  Flush();
  return id;
}

void http2_session::SubmitAnswer(std::int32_t id, int status, std::string body) {
  const auto found = streams_.find(id);
  if (has_failed_ || found == streams_.end()) {
    return;
  }
  found->second.outgoing = std::move(body);
  const std::string status_text = std::to_string(status);
  const std::array headers = {Header(":status", status_text)};
  nghttp2_data_provider provider{};
  provider.source.ptr = &found->second;
  provider.read_callback = callbacks::ReadBody;
  nghttp2_submit_response(session_, id, headers.data(), headers.size(), &provider);
  Flush();
}

void http2_session::Cancel(std::int32_t stream) {
  if (!has_failed_) {
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
    Flush();
  }
}

void http2_session::Receive() {
  if (has_failed_ || socket_.bytesAvailable() == 0) {
    return;
  }
  const QByteArray bytes = socket_.readAll();
  received_bytes_ += static_cast<std::uint64_t>(bytes.size());
  is_receiving_ = true;
  const ssize_t used =
      nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(bytes.data()),
                               static_cast<std::size_t>(bytes.size()));
  is_receiving_ = false;
  if (used < 0) {
    HandleSessionError(nghttp2_strerror(static_cast<int>(used)));
    return;
  }
  Flush();
}

void http2_session::Flush() {
  // nghttp2 does not allow sending from its receive callbacks; Receive flushes after they return.
  if (has_failed_ || is_receiving_) {
    return;
  }
  while (true) {
    const std::uint8_t* bytes = nullptr;
    const ssize_t length = nghttp2_session_mem_send(session_, &bytes);
    if (length < 0) {
      HandleSessionError(nghttp2_strerror(static_cast<int>(length)));
      return;
    }
    if (length == 0) {
      break;
    }
    socket_.write(reinterpret_cast<const char*>(bytes), length);
  }
  if (nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0) {
    HandleSessionError("the session has ended");
  }
}

bool http2_session::HasUnsent() const {
  const auto* encrypted = qobject_cast<const QSslSocket*>(&socket_);
  const bool is_socket_pending = socket_.bytesToWrite() > 0 ||
                                 (encrypted != nullptr && encrypted->encryptedBytesToWrite() > 0);
  return !has_failed_ && (is_socket_pending ||
                          std::any_of(streams_.begin(), streams_.end(), [](const auto& stream) {
                            return stream.second.sent < stream.second.outgoing.size();
                          }));
}

void http2_session::HandleSessionError(const std::string& cause) {
  if (std::exchange(has_failed_, true)) {
    return;
  }
  QMetaObject::invokeMethod(
      &socket_, [on_error = events_.on_error, cause] { on_error(cause); }, Qt::QueuedConnection);
}

}  // namespace corianderhoist
