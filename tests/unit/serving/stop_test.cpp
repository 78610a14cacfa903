// Graceful shutdown of an entry VM under a load that goes on until its process is gone.
#include "support/serving_fixture.h"
#include "support/test_table.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

/// What callers received for their requests.
struct load_outcome {
  int served = 0;
  int refused = 0;
  std::set<std::string> without_answer;
  std::set<std::string> refused_ids;
};

/// Callers that send one request after the other until no connection is accepted any more.
class stop_load {
 public:
  stop_load(std::uint16_t port, std::string path, bool is_connection_kept)
      : port_(port), path_(std::move(path)), is_connection_kept_(is_connection_kept) {
    constexpr int kCallers = 12;
    for (int i = 0; i < kCallers; ++i) {
      threads_.emplace_back([this, i] { Run(i); });
    }
  }
  ~stop_load() { Join(); }

  load_outcome Join() {
    for (std::thread& each : threads_) {
      each.join();
    }
    threads_.clear();
    return outcome_;
  }

 private:
  void Run(int number) {
    std::unique_ptr<test_caller> caller;
    for (int i = 0;; ++i) {
      if (!caller) {
        try {
          caller = std::make_unique<test_caller>(port_);
        } catch (const std::runtime_error&) {
          return;  // The VM is gone.
        }
      }
      const std::string id = std::to_string(number) + "-" + std::to_string(i);
      caller->Send(caller_request{.method = "POST", .path = path_, .id = id}.Bytes());
      const caller_answer answer = caller->Receive();
      {
        const std::lock_guard guard(lock_);
        outcome_.served += answer.status == 200 ? 1 : 0;
        if (answer.status == 503) {
          ++outcome_.refused;
          outcome_.refused_ids.insert(id);
        } else if (answer.status == 0) {
          outcome_.without_answer.insert(id);
        }
      }
      if (!is_connection_kept_ || answer.status == 0 || answer.Header("Connection") == "close") {
        caller.reset();
      }
      constexpr milliseconds kPause(20);
      std::this_thread::sleep_for(kPause);
    }
  }

  const std::uint16_t port_;
  const std::string path_;
  const bool is_connection_kept_;
  std::mutex lock_;
  load_outcome outcome_;
  std::vector<std::thread> threads_;
};

struct stop_case {
  std::string name;
  milliseconds work;
  bool is_connection_kept = false;
  std::string path = "/once/1";
};

// Guards against requests that are passed on late in a shutdown and cut at its end.
const test_table kLoad(
    "stop under load cuts no request",
    std::vector<stop_case>{
        {"on new connections, short work", milliseconds(50)},
        {"on new connections, work of a third of the time limit", milliseconds(500)},
        {"on new connections, work of most of the time limit", milliseconds(1300)},
        {"on kept connections, short work", milliseconds(50), true},
        {"on kept connections, long work", milliseconds(1300), true},
        {"that may be repeated", milliseconds(1300), false, "/safe/1"},
    },
    std::function([](const stop_case& row) {
      serving_fixture fixture;
      fixture.SetDrain(milliseconds(300), milliseconds(2000));
      const auto answer = [&](const scripted_request& request) {
        return scripted_answer{SignedAnswer(request, 200, "ok"), after_answer::kKeep, row.work};
      };
      std::vector<scripted_upstream*> upstreams;
      for (const std::string service : {"orders", "reads"}) {
        for (int i = 0; i < 4; ++i) {
          upstreams.push_back(&fixture.Add(service + std::to_string(i), service, answer));
        }
      }
      fixture.Start();
      stop_load callers(fixture.Port(), row.path, row.is_connection_kept);
      std::this_thread::sleep_for(row.work + milliseconds(100));
      fixture.Stop();
      const load_outcome seen = callers.Join();
      std::string cut;
      std::string untrue;
      for (const scripted_upstream* upstream : upstreams) {
        for (const scripted_request& request : upstream->Requests()) {
          const std::string id = request.Header("X-Attempt-Id");
          cut += seen.without_answer.contains(id) ? id + " " : "";
          untrue += seen.refused_ids.contains(id) ? id + " " : "";
        }
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE("passed on and cut", std::string(), cut);
      CPPUNIT_ASSERT_EQUAL_MESSAGE("refused, but passed on", std::string(), untrue);
      CPPUNIT_ASSERT(seen.served > 0);
    }));

}  // namespace
}  // namespace corianderhoist
