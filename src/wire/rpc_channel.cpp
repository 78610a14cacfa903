#include "base/log.h"
#include "wire/http2_session.h"
#include "wire/rpc.h"

#include <QHostAddress>
#include <QNetworkProxy>
#include <QSslError>
#include <QTimer>

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstBackOff(50);
constexpr milliseconds kLongestBackOff(1000);
constexpr milliseconds kConnectTimeout(3000);
constexpr std::string_view kStatusOk = "200";

struct pending_call {
  std::string path;
  std::string body;
  rpc_callback<std::string> callback;
  std::unique_ptr<QTimer> timer;
  std::uint64_t received_before = 0;  ///< Bytes of the session when the call was submitted.
};

rpc_result<std::string> ToReply(const std::string& status, std::string body) {
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

// All members are used on the thread of the loop only.
struct rpc_channel::state : std::enable_shared_from_this<state> {
  state(io_loop& owner, std::shared_ptr<tls_identity> own, endpoint target, std::string name)
      : loop(owner), identity(std::move(own)), address(std::move(target)), peer(std::move(name)) {}

  void Add(std::string method,
           std::string body,
           milliseconds timeout,
           rpc_callback<std::string> callback) {
    const std::uint64_t id = next_call++;
    pending_call& call = calls[id];
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
    waiting.push_back(id);
    Connect();
  }

  void Submit(std::uint64_t id) {
    const auto found = calls.find(id);
    if (found == calls.end()) {
      return;
    }
    const std::int32_t stream =
        session->SubmitRequest(found->second.path, std::move(found->second.body));
    if (stream < 0) {
      Finish(id, rpc_failure{error_kind::kUnreachable, "no free stream to " + peer, {}});
      return;
    }
    call_of_stream[stream] = id;
    found->second.received_before = session->ReceivedBytes();
  }

  void OnTimeout(std::uint64_t id) {
    const auto found = calls.find(id);
    if (found == calls.end()) {
      return;
    }
    const bool is_submitted = std::any_of(call_of_stream.begin(), call_of_stream.end(),
                                          [id](const auto& item) { return item.second == id; });
    const bool is_silent =
        is_submitted && session && session->ReceivedBytes() == found->second.received_before;
    Finish(id, rpc_failure{error_kind::kTimeout, "no answer from " + peer + " in time", {}});
    if (is_silent) {
      Drop("silent");
    }
  }

  void Finish(std::uint64_t id, rpc_result<std::string> reply) {
    const auto found = calls.find(id);
    if (found == calls.end()) {
      return;
    }
    auto call = std::make_shared<pending_call>(std::move(found->second));
    calls.erase(found);
    call->callback(std::move(reply));
    // The timer may be the sender of the current signal.
    loop.Post([call] {});
  }

  void Connect() {
    if (socket || is_backing_off || is_closed) {
      return;
    }
    QSslSocket* encrypted = nullptr;
    if (identity) {
      auto made = std::make_unique<QSslSocket>();
      encrypted = made.get();
      socket = std::move(made);
    } else {
      socket = std::make_unique<QTcpSocket>();
    }
    socket->setProxy(QNetworkProxy::NoProxy);
    QObject* context = socket.get();
    QObject::connect(socket.get(), &QTcpSocket::disconnected, context, [this] { Drop("closed"); });
    QObject::connect(socket.get(), &QTcpSocket::errorOccurred, context,
                     [this] { Drop(socket->errorString().toStdString()); });
    QTimer::singleShot(kConnectTimeout, context, [this] {
      if (!session) {
        Drop("no connection in time");
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
            [this](const std::string& cause) { Drop(cause); }});
    for (const std::uint64_t id : std::exchange(waiting, {})) {
      Submit(id);
    }
  }

  void OnAnswer(std::int32_t stream, const std::string& status, std::string body) {
    const auto found = call_of_stream.find(stream);
    if (found == call_of_stream.end()) {
      return;
    }
    const std::uint64_t id = found->second;
    call_of_stream.erase(found);
    // TLS 1.3 reports a client as connected before the server has checked its certificate, so only
    // an answer shows that the connection works.
    back_off = kFirstBackOff;
    Finish(id, ToReply(status, std::move(body)));
  }

  void OnStreamClosed(std::int32_t stream) {
    const auto found = call_of_stream.find(stream);
    if (found == call_of_stream.end()) {
      return;
    }
    const std::uint64_t id = found->second;
    call_of_stream.erase(found);
    Finish(id, rpc_failure{error_kind::kUnreachable, "stream to " + peer + " was reset", {}});
  }

  // Ends the connection. Calls that were sent fail; calls that still wait go to the next
  // connection.
  void Drop(const std::string& cause) {
    if (!socket) {
      return;
    }
    log_event(log_level::kDebug, "channel_lost").Field("peer", peer).Field("cause", cause);
    auto old_session = std::shared_ptr<http2_session>(std::move(session));
    auto old_socket = std::shared_ptr<QTcpSocket>(std::move(socket));
    old_socket->disconnect();
    old_socket->abort();
    // Both may be in use further up the stack; the session goes first, it refers to the socket.
    loop.Post([old_session, old_socket]() mutable {
      old_session.reset();
      old_socket.reset();
    });
    for (const auto& [stream, id] : std::exchange(call_of_stream, {})) {
      Finish(id, rpc_failure{
                     error_kind::kUnreachable, "connection to " + peer + " lost: " + cause, {}});
    }
    BackOff();
  }

  void BackOff() {
    is_backing_off = true;
    loop.After(back_off, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      self->is_backing_off = false;
      if (!self->waiting.empty()) {
        self->Connect();
      }
    });
    back_off = std::min(back_off * 2, kLongestBackOff);
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
  std::unordered_map<std::uint64_t, pending_call> calls;
  std::unordered_map<std::int32_t, std::uint64_t> call_of_stream;
  std::deque<std::uint64_t> waiting;
  std::uint64_t next_call = 1;
  milliseconds back_off = kFirstBackOff;
  bool is_backing_off = false;
  bool is_closed = false;
};

rpc_channel::rpc_channel(io_loop& loop,
                         std::shared_ptr<tls_identity> identity,
                         endpoint address,
                         std::string peer_name)
    : loop_(loop),
      peer_name_(peer_name),
      state_(std::make_shared<state>(loop,
                                     std::move(identity),
                                     std::move(address),
                                     std::move(peer_name))) {}

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
  auto add = [self = state_, method = std::move(method), body = std::move(body), timeout,
              callback = std::move(callback)]() mutable {
    self->Add(std::move(method), std::move(body), timeout, std::move(callback));
  };
  if (loop_.IsCurrent()) {
    add();
  } else {
    loop_.Post(std::move(add));
  }
}

}  // namespace corianderhoist
