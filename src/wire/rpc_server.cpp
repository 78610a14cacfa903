#include "base/clock.h"
#include "base/log.h"
#include "wire/http2_session.h"
#include "wire/rpc.h"
#include "wire/tcp_acceptor.h"

#include <QHostAddress>
#include <QSslError>

#include <cassert>
#include <chrono>
#include <thread>

namespace corianderhoist {
namespace {

constexpr std::string_view kPathPrefix = "/v1/";
constexpr std::chrono::seconds kHandshakeTimeout(5);
constexpr std::chrono::milliseconds kCloseTimeout(1000);
constexpr std::chrono::milliseconds kClosePollInterval(2);
constexpr int kStatusOk = 200;
constexpr int kStatusCallFailed = 500;

struct method_entry {
  std::set<std::string> roles;
  rpc_server::raw_handler handler;
};
using method_table = std::map<std::string, method_entry, std::less<>>;

// One accepted connection. Must be used on the thread of `loop`.
class server_connection : public std::enable_shared_from_this<server_connection> {
 public:
  server_connection(io_loop& loop,
                    const method_table& methods,
                    std::function<void(server_connection*)> on_closed)
      : loop_(loop), methods_(methods), on_closed_(std::move(on_closed)) {}

  // Destroying the socket emits `disconnected`, which must not close the connection again.
  ~server_connection() { is_closed_ = true; }
  server_connection(const server_connection&) = delete;
  server_connection& operator=(const server_connection&) = delete;

  void Start(qintptr descriptor, tls_identity* identity) {
    QSslSocket* encrypted = nullptr;
    if (identity != nullptr) {
      auto tls_socket = std::make_unique<QSslSocket>();
      encrypted = tls_socket.get();
      socket_ = std::move(tls_socket);
    } else {
      socket_ = std::make_unique<QTcpSocket>();
    }
    QObject* context = socket_.get();
    QObject::connect(socket_.get(), &QTcpSocket::disconnected, context,
                     [this] { CloseConnection("closed"); });
    QObject::connect(socket_.get(), &QTcpSocket::errorOccurred, context,
                     [this] { CloseConnection(socket_->errorString().toStdString()); });
    socket_->setSocketDescriptor(descriptor);
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    if (encrypted == nullptr) {
      is_plain_ = true;
      StartSession();
      return;
    }
    QObject::connect(encrypted, &QSslSocket::encrypted, context, [this, encrypted] {
      context_.peer = IdentityOf(*encrypted);
      StartSession();
    });
    encrypted->setSslConfiguration(identity->Current());
    encrypted->startServerEncryption();
    loop_.After(kHandshakeTimeout, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && !self->session_) {
        self->CloseConnection("TLS handshake timeout");
      }
    });
  }

  /// No further call is handled.
  void StopReceiving() { is_receiving_ = false; }
  bool HasUnsent() const { return session_ && session_->HasUnsent(); }

 private:
  void StartSession() {
    session_ = std::make_unique<http2_session>(
        *socket_, http2_session::side::kServer,
        http2_session::events{[this](std::int32_t stream, std::string head, std::string body) {
                                Dispatch(stream, head, body);
                              },
                              [](std::int32_t) {},
                              [this](const std::string& cause) { CloseConnection(cause); }});
  }

  void Dispatch(std::int32_t stream, const std::string& path, const std::string& body) {
    if (!is_receiving_) {
      return;
    }
    auto respond = [&loop = loop_, weak = weak_from_this(), stream](rpc_result<std::string> reply) {
      loop.Post([weak, stream, reply = std::move(reply)]() mutable {
        if (const auto self = weak.lock()) {
          self->Answer(stream, std::move(reply));
        }
      });
    };
    const auto found = path.starts_with(kPathPrefix)
                           ? methods_.find(std::string_view(path).substr(kPathPrefix.size()))
                           : methods_.end();
    if (found == methods_.end()) {
      respond(rpc_failure{error_kind::kNotFound, "unknown method " + path, {}});
      return;
    }
    if (!is_plain_ && !found->second.roles.contains(context_.peer.role)) {
      respond(rpc_failure{
          error_kind::kForbidden, "role '" + context_.peer.role + "' may not call " + path, {}});
      return;
    }
    found->second.handler(context_, body, std::move(respond));
  }

  void Answer(std::int32_t stream, rpc_result<std::string> reply) {
    if (!session_) {
      return;
    }
    if (const auto* failure = std::get_if<rpc_failure>(&reply)) {
      session_->SubmitAnswer(stream, kStatusCallFailed, Encode(*failure));
    } else {
      session_->SubmitAnswer(stream, kStatusOk, std::move(std::get<std::string>(reply)));
    }
  }

  void CloseConnection(const std::string& cause) {
    if (std::exchange(is_closed_, true)) {
      return;
    }
    if (!is_plain_ && context_.peer.name.empty()) {
      log_event(log_level::kWarning, "peer_refused")
          .Field("peer", socket_->peerAddress().toString().toStdString())
          .Field("cause", cause);
    }
    // The current call may come from a signal of the socket, so the objects are destroyed later
    // from the event loop.
    loop_.Post([self = shared_from_this()] {
      self->session_.reset();
      self->socket_.reset();
      self->on_closed_(self.get());
    });
  }

  io_loop& loop_;
  const method_table& methods_;
  std::function<void(server_connection*)> on_closed_;
  std::unique_ptr<QTcpSocket> socket_;
  std::unique_ptr<http2_session> session_;
  rpc_context context_;
  bool is_plain_ = false;
  bool is_receiving_ = true;
  bool is_closed_ = false;
};

struct worker {
  explicit worker(const std::string& name) : loop(name) {}

  std::map<server_connection*, std::shared_ptr<server_connection>> connections;
  io_loop loop;
};

}  // namespace

struct rpc_server::state {
  std::shared_ptr<tls_identity> identity;
  method_table methods;
  std::vector<std::unique_ptr<worker>> workers;
  std::size_t next_worker = 0;
  tcp_acceptor acceptor{[this](qintptr descriptor) { Accept(descriptor); }};

  void Accept(qintptr descriptor) {
    worker& chosen = *workers[next_worker++ % workers.size()];
    chosen.loop.Post([this, &chosen, descriptor] {
      auto connection = std::make_shared<server_connection>(
          chosen.loop, methods,
          [&chosen](server_connection* closed) { chosen.connections.erase(closed); });
      chosen.connections.emplace(connection.get(), connection);
      connection->Start(descriptor, identity.get());
    });
  }
};

rpc_server::rpc_server(std::shared_ptr<tls_identity> identity, int thread_count)
    : state_(std::make_unique<state>()) {
  assert(thread_count > 0 && "a server needs a thread");
  state_->identity = std::move(identity);
  for (int i = 0; i < thread_count; ++i) {
    state_->workers.push_back(std::make_unique<worker>("rpc" + std::to_string(i)));
  }
}

rpc_server::~rpc_server() {
  Close();
}

void rpc_server::Register(std::string method, std::set<std::string> roles, raw_handler handler) {
  assert(!state_->acceptor.IsListening() && "methods must be registered before listening");
  state_->methods.emplace(std::move(method), method_entry{std::move(roles), std::move(handler)});
}

result<std::uint16_t> rpc_server::Listen(const endpoint& address) {
  return state_->acceptor.Listen(address);
}

void rpc_server::Close() {
  state_->acceptor.Close();
  const auto deadline = SystemClock().Now() + kCloseTimeout;
  for (const auto& each : state_->workers) {
    const auto has_unsent = [&each] {
      bool is_unsent = false;
      // Runs after the answers that were given before, which are posted to the same loop.
      each->loop.RunAndWait([&] {
        for (const auto& [key, connection] : each->connections) {
          connection->StopReceiving();
          is_unsent |= connection->HasUnsent();
        }
      });
      return is_unsent;
    };
    while (has_unsent() && SystemClock().Now() < deadline) {
      std::this_thread::sleep_for(kClosePollInterval);
    }
    each->loop.RunAndWait([&each] { each->connections.clear(); });
  }
}

}  // namespace corianderhoist
