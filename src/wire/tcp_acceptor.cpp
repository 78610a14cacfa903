#include "wire/tcp_acceptor.h"

#include <QHostAddress>
#include <QTcpServer>

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <cassert>
#include <cstdint>
#include <string>

namespace corianderhoist {
namespace {

constexpr int kListenBacklog = 1024;
constexpr std::uint32_t kTcpFlagsOffset = 13;
constexpr std::uint32_t kSynFlag = 0x02;

// Closing a listening socket resets the connections in its queue. Without new handshakes the queue
// can be emptied first; a caller whose SYN is dropped sends it again and is refused.
void DropNewHandshakes(int listening) {
  std::array<sock_filter, 4> code = {{BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kTcpFlagsOffset),
                                      BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, kSynFlag, 0, 1),
                                      BPF_STMT(BPF_RET | BPF_K, 0),
                                      BPF_STMT(BPF_RET | BPF_K, 0xFFFFFFFF)}};
  const sock_fprog filter{code.size(), code.data()};
  // Without the filter, only connections that are established meanwhile are reset.
  ::setsockopt(listening, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter));
}

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
  loop_.RunAndWait([this] {
    if (listener_ && listener_->isListening()) {
      DropNewHandshakes(static_cast<int>(listener_->socketDescriptor()));
      listener_->waitForNewConnection(0);  // Passes on all connections in the queue.
    }
    listener_.reset();
  });
}

}  // namespace corianderhoist
