#include "base/log.h"
#include "observe/metrics.h"
#include "wire/http2_session.h"
#include "wire/rpc.h"

#include <QHostAddress>
#include <QNetworkProxy>
#include <QSslError>
#include <QTimer>

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInitialBackoff(50);
constexpr milliseconds kConnectTimeout(3000);
constexpr std::string_view kStatusOk = "200";

// Traffic of one method, both directions as seen by the client. Bytes are those of message bodies.
struct method_traffic {
  counter& calls;
  counter& sent_bytes;
  counter& received_bytes;
};

method_traffic TrafficOf(const std::string& method) {
  metrics& registry = metrics::Instance();
  return {registry.Counter("rpc." + method + ".calls"),
          registry.Counter("rpc." + method + ".sent_bytes"),
          registry.Counter("rpc." + method + ".received_bytes")};
}

struct pending_call {
  method_traffic* traffic = nullptr;
  std::string path;
  std::string body;
  rpc_callback<std::string> callback;
  std::unique_ptr<QTimer> timer;
  std::uint64_t received_bytes_at_submit = 0;  ///< Of the session, at submission.
};

rpc_result<std::string> DecodeReply(const std::string& status, std::string body) {
  if (status == kStatusOk) {
    return body;
  }
  return Recover(
      [&]() -> result<rpc_result<std::string>> {
        BOOST_LEAF_AUTO(failure, Decode<rpc_failure>(body));
        return rpc_result<std::string>(std::move(failure));
      },
      [](const error& failure) {
        return rpc_result<std::string>(rpc_failure{failure.kind, failure.detail, {}});
      });
}

}  // namespace

// All members must be used on the thread of the loop.
struct rpc_channel::state : std::enable_shared_from_this<state> {
  state(io_loop& owner,
        std::shared_ptr<tls_identity> own,
        endpoint target,
        std::string name,
        milliseconds longest_backoff)
      : loop(owner),
        identity(std::move(own)),
        address(std::move(target)),
        peer(std::move(name)),
        max_backoff(longest_backoff) {}

  void StartCall(std::string method,
                 std::string body,
                 milliseconds timeout,
                 rpc_callback<std::string> callback) {
    const std::uint64_t id = next_call++;
    pending_call& call = calls[id];
    auto traffic = traffic_by_method.find(method);
    if (traffic == traffic_by_method.end()) {
      traffic = traffic_by_method.emplace(method, TrafficOf(method)).first;
    }
    call.traffic = &traffic->second;
    call.path = "/v1/" + std::move(method);
    call.body = std::move(body);
    call.callback = std::move(callback);
    call.timer = std::make_unique<QTimer>();
    call.timer->setSingleShot(true);
    QObject::connect(call.timer.get(), &QTimer::timeout, call.timer.get(),
                     [this, id] { OnTimeout(id); });
    call.timer->start(timeout);
    if (session) {
      Submit(id);
      return;
    }
    queued_calls.push_back(id);
    Connect();
  }

  void Submit(std::uint64_t id) {
    const auto found = calls.find(id);
    if (found == calls.end()) {
      return;
    }
    found->second.traffic->calls.Add();
    found->second.traffic->sent_bytes.Add(found->second.body.size());
    const std::int32_t stream =
        session->SubmitRequest(found->second.path, std::move(found->second.body));
    if (stream < 0) {
      CompleteCall(id, rpc_failure{error_kind::kUnreachable, "no free stream to " + peer, {}});
      return;
    }
    call_by_stream[stream] = id;
    found->second.received_bytes_at_submit = session->ReceivedBytes();
  }

  void OnTimeout(std::uint64_t id) {
    const auto found = calls.find(id);
    if (found == calls.end()) {
      return;
    }
    const bool is_submitted = std::any_of(call_by_stream.begin(), call_by_stream.end(),
                                          [id](const auto& item) { return item.second == id; });
    const bool is_unresponsive = is_submitted && session &&
                                 session->ReceivedBytes() == found->second.received_bytes_at_submit;
    CompleteCall(id, rpc_failure{error_kind::kTimeout, "no answer from " + peer + " in time", {}});
    if (is_unresponsive) {
      CloseConnection("silent");
    }
  }

  void CompleteCall(std::uint64_t id, rpc_result<std::string> reply) {
    const auto found = calls.find(id);
    if (found == calls.end()) {
      return;
    }
    auto call = std::make_shared<pending_call>(std::move(found->second));
    calls.erase(found);
    call->callback(std::move(reply));
    // The call's timer may be the sender of the current signal, so it is destroyed later.
    loop.Post([call] {});
  }

  void Connect() {
    if (socket || is_in_backoff || is_closed) {
      return;
    }
    QSslSocket* encrypted = nullptr;
    if (identity) {
      auto tls_socket = std::make_unique<QSslSocket>();
      encrypted = tls_socket.get();
      socket = std::move(tls_socket);
    } else {
      socket = std::make_unique<QTcpSocket>();
    }
    socket->setProxy(QNetworkProxy::NoProxy);
    QObject* context = socket.get();
    QObject::connect(socket.get(), &QTcpSocket::disconnected, context,
                     [this] { CloseConnection("closed"); });
    QObject::connect(socket.get(), &QTcpSocket::errorOccurred, context,
                     [this] { CloseConnection(socket->errorString().toStdString()); });
    QTimer::singleShot(kConnectTimeout, context, [this] {
      if (!session) {
        CloseConnection("no connection in time");
      }
    });
    if (encrypted == nullptr) {
      QObject::connect(socket.get(), &QTcpSocket::connected, context, [this] { OnConnected(); });
      socket->connectToHost(QHostAddress(QString::fromStdString(address.ip)), address.port);
      return;
    }
    QObject::connect(encrypted, &QSslSocket::encrypted, context, [this] { OnConnected(); });
    encrypted->setSslConfiguration(identity->Current());
    encrypted->connectToHostEncrypted(QString::fromStdString(address.ip), address.port,
                                      QString::fromStdString(peer));
  }

  void OnConnected() {
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    session = std::make_unique<http2_session>(
        *socket, http2_session::side::kClient,
        http2_session::events{
            [this](std::int32_t stream, const std::string& status, std::string body) {
              OnAnswer(stream, status, std::move(body));
            },
            [this](std::int32_t stream) { OnStreamClosed(stream); },
            [this](const std::string& cause) { CloseConnection(cause); }});
    for (const std::uint64_t id : std::exchange(queued_calls, {})) {
      Submit(id);
    }
  }

  void OnAnswer(std::int32_t stream, const std::string& status, std::string body) {
    const auto found = call_by_stream.find(stream);
    if (found == call_by_stream.end()) {
      return;
    }
    const std::uint64_t id = found->second;
    call_by_stream.erase(found);
    // In TLS 1.3 the client's handshake completes before the server has verified the client
    // certificate, so only an answer shows that the server accepted the connection.
    backoff = kInitialBackoff;
    if (const auto call = calls.find(id); call != calls.end()) {
      call->second.traffic->received_bytes.Add(body.size());
    }
    CompleteCall(id, DecodeReply(status, std::move(body)));
  }

  void OnStreamClosed(std::int32_t stream) {
    const auto found = call_by_stream.find(stream);
    if (found == call_by_stream.end()) {
      return;
    }
    const std::uint64_t id = found->second;
    call_by_stream.erase(found);
    CompleteCall(id, rpc_failure{error_kind::kUnreachable, "stream to " + peer + " was reset", {}});
  }

  // Closes the connection and schedules a reconnect. Submitted calls fail; queued calls are
  // submitted on the next connection.
  void CloseConnection(const std::string& cause) {
    if (!socket) {
      return;
    }
    log_event(log_level::kDebug, "channel_lost").Field("peer", peer).Field("cause", cause);
    auto old_session = std::shared_ptr<http2_session>(std::move(session));
    auto old_socket = std::shared_ptr<QTcpSocket>(std::move(socket));
    old_socket->disconnect();
    old_socket->abort();
    // Callers up the stack may still use both, so they are destroyed later. The session refers to
    // the socket and must be destroyed first.
    loop.Post([old_session, old_socket]() mutable {
      old_session.reset();
      old_socket.reset();
    });
    for (const auto& [stream, id] : std::exchange(call_by_stream, {})) {
      CompleteCall(
          id,
          rpc_failure{error_kind::kUnreachable, "connection to " + peer + " lost: " + cause, {}});
    }
    ScheduleReconnect();
  }

  void ScheduleReconnect() {
    is_in_backoff = true;
    loop.After(backoff, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      self->is_in_backoff = false;
      if (!self->queued_calls.empty()) {
        self->Connect();
      }
    });
    backoff = std::min(backoff * 2, max_backoff);
  }

  void Close() {
    is_closed = true;
    session.reset();
    if (socket) {
      socket->disconnect();
      socket.reset();
    }
    calls.clear();
  }

  io_loop& loop;
  std::shared_ptr<tls_identity> identity;
  endpoint address;
  std::string peer;
  std::unique_ptr<QTcpSocket> socket;
  std::unique_ptr<http2_session> session;
  std::map<std::string, method_traffic> traffic_by_method;
  std::unordered_map<std::uint64_t, pending_call> calls;
  std::unordered_map<std::int32_t, std::uint64_t> call_by_stream;
  std::deque<std::uint64_t> queued_calls;
  std::uint64_t next_call = 1;
  const milliseconds max_backoff;
  milliseconds backoff = kInitialBackoff;
  bool is_in_backoff = false;
  bool is_closed = false;
};

rpc_channel::rpc_channel(io_loop& loop,
                         std::shared_ptr<tls_identity> identity,
                         endpoint address,
                         std::string peer_name,
                         milliseconds max_backoff)
    : loop_(loop),
      peer_name_(peer_name),
      state_(std::make_shared<state>(loop,
                                     std::move(identity),
                                     std::move(address),
                                     std::move(peer_name),
                                     max_backoff)) {}

rpc_channel::~rpc_channel() {
  if (loop_.IsCurrent()) {
    state_->Close();
    return;
  }
  loop_.RunAndWait([this] { state_->Close(); });
}

void rpc_channel::CallRaw(std::string method,
                          std::string body,
                          milliseconds timeout,
                          rpc_callback<std::string> callback) {
  auto start_call = [self = state_, method = std::move(method), body = std::move(body), timeout,
                     callback = std::move(callback)]() mutable {
    self->StartCall(std::move(method), std::move(body), timeout, std::move(callback));
  };
  if (loop_.IsCurrent()) {
    start_call();
  } else {
    loop_.Post(std::move(start_call));
  }
}

}  // namespace corianderhoist
