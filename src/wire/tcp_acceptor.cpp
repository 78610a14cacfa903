#include "wire/tcp_acceptor.h"

#include <QHostAddress>
#include <QTcpServer>

#include <cassert>
#include <string>

namespace corianderhoist {
namespace {

constexpr int kListenBacklog = 1024;

}  // namespace

class tcp_acceptor::listener final : public QTcpServer {
 public:
  explicit listener(const std::function<void(qintptr)>& on_descriptor)
      : on_descriptor_(on_descriptor) {}

 protected:
  void incomingConnection(qintptr descriptor) override { on_descriptor_(descriptor); }

 private:
  const std::function<void(qintptr)>& on_descriptor_;
};

tcp_acceptor::tcp_acceptor(std::function<void(qintptr)> on_descriptor)
    : on_descriptor_(std::move(on_descriptor)), loop_("accept") {}

tcp_acceptor::~tcp_acceptor() {
  Close();
}

result<std::uint16_t> tcp_acceptor::Listen(const endpoint& address) {
  assert(!listener_ && "the acceptor is already listening");
  std::uint16_t port = 0;
  std::string cause;
  loop_.RunAndWait([&] {
    listener_ = std::make_unique<listener>(on_descriptor_);
    listener_->setListenBacklogSize(kListenBacklog);
    if (listener_->listen(QHostAddress(QString::fromStdString(address.ip)), address.port)) {
      port = listener_->serverPort();
    } else {
      cause = listener_->errorString().toStdString();
    }
  });
  if (port == 0) {
    return Fail(error_kind::kUnreachable,
                "cannot listen on " + FormatEndpoint(address) + ": " + cause);
  }
  return port;
}

void tcp_acceptor::Close() {
  loop_.RunAndWait([this] { listener_.reset(); });
}

}  // namespace corianderhoist
