// RPC: answers are matched to their calls, failures carry their kind, and peers without a valid
// certificate are rejected.
#include "wire/rpc.h"
#include "support/test_certificate_authority.h"
#include "support/test_table.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
constexpr milliseconds kTimeout(10'000);

struct number {
  std::uint64_t value = 0;
  std::string text;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.value);
    visit(2, self.text);
  }
};

struct echo_fixture {
  echo_fixture() : server(keys.Identity("coordinator", "server-1"), 2), loop("client") {
    server.Handle<number, number>(
        "echo", {"entry"},
        [](const rpc_context&, number request, const rpc_callback<number>& reply) {
          if (request.value % 7 == 3) {
            std::thread([request, reply] { reply(request); }).detach();
          } else {
            reply(request);
          }
        });
    server.Handle<number, number>(
        "refuse", {"entry"}, [](const rpc_context&, number, const rpc_callback<number>& reply) {
          reply(rpc_failure{error_kind::kNotLeader, "ask another", "b"});
        });
    port = Expect([&] { return server.Listen({"127.0.0.1", 0}); });
  }

  rpc_channel Channel(std::shared_ptr<tls_identity> identity) {
    return {loop, std::move(identity), {"127.0.0.1", port}, "server-1"};
  }

  static rpc_result<number> Call(rpc_channel& channel,
                                 const std::string& method,
                                 const number& request,
                                 milliseconds timeout = kTimeout) {
    std::promise<rpc_result<number>> promise;
    channel.Call<number>(method, request, timeout,
                         [&](rpc_result<number> reply) { promise.set_value(std::move(reply)); });
    return promise.get_future().get();
  }

  test_certificate_authority keys;
  rpc_server server;
  io_loop loop;
  std::uint16_t port = 0;
};

error_kind KindOf(const rpc_result<number>& reply) {
  const auto* failure = std::get_if<rpc_failure>(&reply);
  CPPUNIT_ASSERT_MESSAGE("the call succeeded", failure != nullptr);
  return failure->kind;
}

const test_table kEcho("rpc", "every one of 2000 parallel calls gets its own answer", [] {
  echo_fixture fixture;
  rpc_channel channel = fixture.Channel(fixture.keys.Identity("entry", "client-1"));
  std::vector<std::promise<rpc_result<number>>> replies(2000);
  for (std::size_t i = 0; i < replies.size(); ++i) {
    channel.Call<number>(
        "echo", number{i, std::string(i, 'x')}, kTimeout,
        [&replies, i](rpc_result<number> reply) { replies[i].set_value(std::move(reply)); });
  }
  for (std::size_t i = 0; i < replies.size(); ++i) {
    const auto reply = replies[i].get_future().get();
    CPPUNIT_ASSERT(std::holds_alternative<number>(reply));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(i), std::get<number>(reply).value);
    CPPUNIT_ASSERT_EQUAL(i, std::get<number>(reply).text.size());
  }
});

const test_table kLarge("rpc", "a message of 20 MB arrives intact in both directions", [] {
  echo_fixture fixture;
  rpc_channel channel = fixture.Channel(fixture.keys.Identity("entry", "client-1"));
  const auto reply = echo_fixture::Call(channel, "echo", {1, std::string(20'000'000, 'y')});
  CPPUNIT_ASSERT_EQUAL(std::size_t(20'000'000), std::get<number>(reply).text.size());
});

// A configuration of the maximum intended size exceeds the message limit unless it is compressed.
const test_table kCompressed("rpc", "an answer of 150 MB of repetitive text arrives intact", [] {
  echo_fixture fixture;
  fixture.server.Close();
  rpc_server server(fixture.keys.Identity("coordinator", "server-1"), 1);
  std::string text;
  while (text.size() < 150'000'000) {
    text += "workspace ws-" + std::to_string(text.size()) + " places=tbilisi rate=20/s burst=40\n";
  }
  server.Handle<number, number>("text", {"entry"},
                                [&](const rpc_context&, number, const rpc_callback<number>& reply) {
                                  reply(number{1, text});
                                });
  Expect([&] { return server.Listen({"127.0.0.1", fixture.port}); });
  rpc_channel channel = fixture.Channel(fixture.keys.Identity("entry", "client-1"));
  const auto reply = echo_fixture::Call(channel, "text", {}, milliseconds(60'000));
  CPPUNIT_ASSERT(std::holds_alternative<number>(reply));
  CPPUNIT_ASSERT(std::get<number>(reply).text == text);
});

struct compressed_body_case {
  std::string name;
  std::string packed;
};

const test_table kMalformedBody(
    "rpc compressed body",
    std::vector<compressed_body_case>{
        {"too short", std::string("\0\0\0", 3)},
        {"larger than the limit", std::string("\0\x7f\xff\xff\xff\x78\x01", 7)},
        {"not compressed data", std::string("\0\0\0\0\x08garbage!", 13)},
    },
    std::function([](const compressed_body_case& row) {
      const error_kind kind = Recover(
          [&]() -> result<error_kind> {
            BOOST_LEAF_CHECK(DecompressBody(row.packed));
            return error_kind::kInternal;
          },
          [](const error& failure) { return failure.kind; });
      CPPUNIT_ASSERT(kind == error_kind::kMalformedMessage);
    }));

const test_table kFailure("rpc", "a failure carries kind and leader", [] {
  echo_fixture fixture;
  rpc_channel channel = fixture.Channel(fixture.keys.Identity("entry", "client-1"));
  const auto reply = echo_fixture::Call(channel, "refuse", {});
  CPPUNIT_ASSERT(KindOf(reply) == error_kind::kNotLeader);
  CPPUNIT_ASSERT_EQUAL(std::string("b"), std::get<rpc_failure>(reply).leader);
});

const test_table kRole("rpc", "a role that is not listed is rejected", [] {
  echo_fixture fixture;
  rpc_channel channel = fixture.Channel(fixture.keys.Identity("operator", "client-1"));
  CPPUNIT_ASSERT(KindOf(echo_fixture::Call(channel, "echo", {})) == error_kind::kForbidden);
});

struct bad_certificate {
  std::string name;
  bool is_foreign;
  certificate_validity validity;
};

const test_table kCertificates(
    "rpc certificate",
    std::vector<bad_certificate>{
        {"of another authority is rejected", true, {}},
        {"that has expired is rejected",
         false,
         {std::chrono::seconds(-600), std::chrono::seconds(-60)}},
        {"that is not yet valid is rejected",
         false,
         {std::chrono::hours(1), std::chrono::hours(2)}},
    },
    std::function([](const bad_certificate& row) {
      echo_fixture fixture;
      const test_certificate_authority foreign;
      auto identity = [&] {
        test_certificate_authority other;
        tls_files files = row.is_foreign ? other.Issue("entry", "client-1", row.validity)
                                         : fixture.keys.Issue("entry", "client-1", row.validity);
        files.authority = fixture.keys.Folder() / "authority.pem";
        return Expect([&] { return tls_identity::Load(files); });
      }();
      rpc_channel channel = fixture.Channel(identity);
      const auto kind = KindOf(echo_fixture::Call(channel, "echo", {}, milliseconds(1500)));
      CPPUNIT_ASSERT(kind == error_kind::kTimeout || kind == error_kind::kUnreachable);
    }));

const test_table kReload("rpc", "a replaced certificate is used by the next connection", [] {
  echo_fixture fixture;
  auto identity = fixture.keys.Identity("entry", "client-1",
                                        {std::chrono::seconds(-600), std::chrono::seconds(-60)});
  rpc_channel channel = fixture.Channel(identity);
  KindOf(echo_fixture::Call(channel, "echo", {}, milliseconds(500)));
  fixture.keys.Issue("entry", "client-1");
  // Calls on a connection opened with the previous certificate may still fail.
  bool is_answered = false;
  for (int attempt = 0; attempt < 5 && !is_answered; ++attempt) {
    is_answered = std::holds_alternative<number>(echo_fixture::Call(channel, "echo", {5, ""}));
  }
  CPPUNIT_ASSERT(is_answered);
});

struct close_case {
  std::string name;
  std::size_t answer_bytes;
};

// Guards against an outcome that the caller of a stopping VM never learns.
const test_table kClose("rpc answer given shortly before the server closes arrives",
                        std::vector<close_case>{{"small", 10}, {"of 8 MB", 8'000'000}},
                        std::function([](const close_case& row) {
                          constexpr std::size_t kCalls = 20;
                          test_certificate_authority keys;
                          io_loop loop("client");
                          rpc_server server(keys.Identity("coordinator", "server-1"), 2);
                          std::mutex lock;
                          std::vector<rpc_callback<number>> waiting;
                          server.Handle<number, number>(
                              "wait", {"entry"},
                              [&](const rpc_context&, number, const rpc_callback<number>& reply) {
                                const std::lock_guard guard(lock);
                                waiting.push_back(reply);
                              });
                          const auto port = Expect([&] { return server.Listen({"127.0.0.1", 0}); });
                          rpc_channel channel(loop, keys.Identity("entry", "client-1"),
                                              {"127.0.0.1", port}, "server-1");
                          std::atomic<std::size_t> answered = 0;
                          std::atomic<std::size_t> ended = 0;
                          for (std::size_t i = 0; i < kCalls; ++i) {
                            channel.Call<number>(
                                "wait", number{}, kTimeout, [&](const rpc_result<number>& reply) {
                                  answered += std::holds_alternative<number>(reply);
                                  ++ended;
                                });
                          }
                          const auto is_waiting = [&] {
                            const std::lock_guard guard(lock);
                            return waiting.size() == kCalls;
                          };
                          while (!is_waiting()) {
                            std::this_thread::sleep_for(milliseconds(1));
                          }
                          std::mt19937 random(1);
                          std::string text(row.answer_bytes, ' ');
                          std::generate(text.begin(), text.end(), [&] { return char(random()); });
                          const std::size_t answers = row.answer_bytes > 1000 ? 1 : kCalls;
                          for (std::size_t i = 0; i < answers; ++i) {
                            waiting[i](number{1, text});
                          }
                          server.Close();
                          while (ended < kCalls) {
                            std::this_thread::sleep_for(milliseconds(1));
                          }
                          CPPUNIT_ASSERT_EQUAL(answers, answered.load());
                        }));

const test_table kReconnect("rpc", "a call after a server restart reaches the new process", [] {
  echo_fixture fixture;
  rpc_channel channel = fixture.Channel(fixture.keys.Identity("entry", "client-1"));
  CPPUNIT_ASSERT(std::holds_alternative<number>(echo_fixture::Call(channel, "echo", {1, ""})));
  fixture.server.Close();
  rpc_server second(fixture.keys.Identity("coordinator", "server-1"), 1);
  second.Handle<number, number>("echo", {"entry"},
                                [](const rpc_context&, number, const rpc_callback<number>& reply) {
                                  reply(number{99, ""});
                                });
  Expect([&] { return second.Listen({"127.0.0.1", fixture.port}); });
  rpc_result<number> reply;
  do {  // Calls on the lost connection fail until the channel has reconnected.
    reply = echo_fixture::Call(channel, "echo", {1, ""});
  } while (std::holds_alternative<rpc_failure>(reply));
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(99), std::get<number>(reply).value);
});

}  // namespace
}  // namespace corianderhoist
