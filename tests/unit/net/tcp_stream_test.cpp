// Guards against reporting a reset as a regular close, and against losing or reordering bytes of
// large writes.
#include "net/tcp_stream.h"
#include "support/scripted_upstream.h"
#include "support/test_certificate_authority.h"
#include "support/test_table.h"
#include "wire/io_loop.h"

#include <future>

namespace corianderhoist {
namespace {

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
