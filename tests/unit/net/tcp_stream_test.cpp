// Guards against reporting a reset as a regular close, and against losing or reordering bytes of
// large writes.
#include "net/tcp_stream.h"
#include "support/scripted_upstream.h"
#include "support/test_certificate_authority.h"
#include "support/test_table.h"
#include "wire/io_loop.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <future>

namespace corianderhoist {
namespace {

constexpr int kPollTimeoutMs = 5000;

struct end_case {
  std::string name;
  after_answer after;
  stream_end expected;
};

// Sends a request and returns the received bytes and the reason for the end of the connection.
std::pair<std::string, stream_end> Exchange(std::uint16_t port) {
  io_loop loop("test");
  std::promise<std::pair<std::string, stream_end>> ended;
  std::unique_ptr<tcp_stream> stream;
  std::string received;
  loop.RunAndWait([&] {
    stream = tcp_stream::Connect(
        {"127.0.0.1", port}, {.on_connected = [&] { stream->Write("GET / HTTP/1.1\r\n\r\n"); },
                              .on_bytes = [&](std::string_view bytes) { received.append(bytes); },
                              .on_end =
                                  [&](stream_end reason) {
                                    ended.set_value({received, reason});
                                  },
                              .on_drained = {}});
  });
  auto result = ended.get_future().get();
  loop.RunAndWait([&] { stream.reset(); });
  return result;
}

const test_table kEnds("tcp stream",
                       std::vector<end_case>{
                           {"a regular close", after_answer::kClose, stream_end::kFinished},
                           {"a reset", after_answer::kReset, stream_end::kReset},
                       },
                       std::function([](const end_case& row) {
                         scripted_upstream upstream([&](const scripted_request&) {
                           return scripted_answer{"hello", row.after, std::chrono::milliseconds(0)};
                         });
                         const auto [received, reason] = Exchange(upstream.Port());
                         CPPUNIT_ASSERT(reason == row.expected);
                       }));

/// How the peer ends a connection on which the stream still sends.
struct failed_write_case {
  std::string name;
  std::function<void(int descriptor)> end;
  stream_end expected;
};

void ResetOnClose(int descriptor) {
  const linger reset{1, 0};
  ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

// A send that fails clears the error of the socket, so that reads end as after a regular close.
const test_table kFailedWrites(
    "tcp stream whose send fails before it reads",
    std::vector<failed_write_case>{
        {"a reset", [](int descriptor) { ResetOnClose(descriptor); }, stream_end::kReset},
        {"a close with unread bytes, which resets", [](int) {}, stream_end::kReset},
        {"a reset after a regular close",
         [](int descriptor) {
           ::shutdown(descriptor, SHUT_WR);
           ResetOnClose(descriptor);
         },
         stream_end::kFinished},
        {"a regular close, whose peer resets at later bytes",
         [](int descriptor) {
           std::array<char, 16> block{};
           ::recv(descriptor, block.data(), block.size(), 0);
         },
         stream_end::kFinished},
    },
    std::function([](const failed_write_case& row) {
      io_loop loop("test");
      std::unique_ptr<tcp_stream> stream;
      std::unique_ptr<tcp_listener> listener;
      std::string received;
      std::promise<int> accepted;
      std::promise<stream_end> ended;
      std::uint16_t port = 0;
      loop.RunAndWait([&] {
        listener = std::make_unique<tcp_listener>([&](int descriptor) {
          stream = tcp_stream::Adopt(
              descriptor, {.on_connected = {},
                           .on_bytes = [&](std::string_view bytes) { received.append(bytes); },
                           .on_end = [&](stream_end reason) { ended.set_value(reason); },
                           .on_drained = {}});
          stream->PauseReading(true);
          stream->Write("upload");
          accepted.set_value(descriptor);
        });
        port = Expect([&] { return listener->Listen({"127.0.0.1", 0}); });
      });
      const int peer = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(port);
      address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      const int connected = ::connect(peer, reinterpret_cast<sockaddr*>(&address), sizeof(address));
      pollfd reset{accepted.get_future().get(), 0, 0};
      pollfd upload{peer, POLLIN, 0};
      ::poll(&upload, 1, kPollTimeoutMs);
      ::send(peer, "part", 4, MSG_NOSIGNAL);
      row.end(peer);
      ::close(peer);
      loop.RunAndWait([&] { stream->Write("more"); });
      const int resets = ::poll(&reset, 1, kPollTimeoutMs);
      loop.RunAndWait([&] {
        stream->Write("more");
        stream->PauseReading(false);
      });
      const stream_end reason = ended.get_future().get();
      loop.RunAndWait([&] {
        stream.reset();
        listener.reset();
      });
      CPPUNIT_ASSERT_EQUAL(0, connected);
      CPPUNIT_ASSERT_EQUAL(1, resets);
      CPPUNIT_ASSERT_EQUAL(std::string("part"), received);
      CPPUNIT_ASSERT(reason == row.expected);
    }));

const test_table kRefused("tcp stream", "a port without a listener fails to connect", [] {
  io_loop loop("test");
  std::promise<stream_end> ended;
  std::unique_ptr<tcp_stream> stream;
  std::uint16_t port = 0;
  loop.RunAndWait([&] {
    tcp_listener listener([](int) {});
    port = Expect([&] { return listener.Listen({"127.0.0.1", 0}); });
  });
  loop.RunAndWait([&] {
    stream = tcp_stream::Connect({"127.0.0.1", port},
                                 {.on_connected = {},
                                  .on_bytes = {},
                                  .on_end = [&](stream_end reason) { ended.set_value(reason); },
                                  .on_drained = {}});
  });
  CPPUNIT_ASSERT(ended.get_future().get() == stream_end::kConnectFailed);
  loop.RunAndWait([&] { stream.reset(); });
});

const test_table kLarge("tcp stream", "20 MB in one write arrive completely and in order", [] {
  std::string sent(20'000'000, 'x');
  for (std::size_t i = 0; i < sent.size(); i += 997) {
    sent[i] = static_cast<char>('a' + i % 26);
  }
  io_loop loop("test");
  std::unique_ptr<tcp_stream> receiver;
  std::unique_ptr<tcp_stream> sender;
  std::unique_ptr<tcp_listener> listener;
  std::string received;
  std::promise<void> ended;
  loop.RunAndWait([&] {
    listener = std::make_unique<tcp_listener>([&](int descriptor) {
      receiver = tcp_stream::Adopt(
          descriptor, {.on_connected = {},
                       .on_bytes = [&](std::string_view bytes) { received.append(bytes); },
                       .on_end = [&](stream_end) { ended.set_value(); },
                       .on_drained = {}});
    });
    const std::uint16_t port = Expect([&] { return listener->Listen({"127.0.0.1", 0}); });
    sender = tcp_stream::Connect({"127.0.0.1", port}, {});
    sender->Write(sent);
    sender->FinishWriting();
  });
  ended.get_future().get();
  CPPUNIT_ASSERT(received == sent);
  loop.RunAndWait([&] {
    sender.reset();
    receiver.reset();
    listener.reset();
  });
});

}  // namespace
}  // namespace corianderhoist
