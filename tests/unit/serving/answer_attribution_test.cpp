// Faulty upstreams that write answers to other requests, or parts of answers. What callers are told
// is compared with what upstreams ran.
#include "support/serving_fixture.h"
#include "support/test_table.h"

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <thread>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

enum class caller_id {
  kOwn,     ///< Each request has its own id.
  kShared,  ///< Both requests have the same id.
  kEmpty,   ///< The requests have an empty id.
  kNone,    ///< The requests have no id.
};

/// Makes the bytes that are written again from the ids of the refused request and of this one.
using former_answer = std::function<std::string(const std::string& former, const std::string& own)>;

std::string Refusal(int status, const std::string& id_fields, const std::string& more = {}) {
  return "HTTP/1.1 " + std::to_string(status) + " No\r\n" + id_fields +
         "X-Not-Executed: 1\r\nContent-Length: 2\r\n" + more + "\r\nno";
}

std::string IdField(const std::string& id) {
  return "X-Attempt-Id: " + id + "\r\n";
}

std::string Send(test_caller& caller, caller_request request, caller_id kind) {
  std::string bytes = request.Bytes();
  const std::string field = IdField(request.id);
  if (kind == caller_id::kNone) {
    bytes.erase(bytes.find(field), field.size());
  }
  caller.Send(bytes);
  return bytes;
}

/// An order is refused; its refusal is written again before the answer to the next order, which the
/// upstream runs.
struct former_case {
  std::string name;
  former_answer former;
  caller_id ids;
  int status;  ///< Of the order that runs.
};

former_answer Without(int status) {
  return [status](const std::string&, const std::string&) { return Refusal(status, {}); };
}

const former_answer kFormerId = [](const std::string& former, const std::string&) {
  return Refusal(503, IdField(former));
};

const test_table kFormerRefusals(
    "former refusal",
    std::vector<former_case>{
        {"503 without an id", Without(503), caller_id::kOwn, 502},
        {"429 without an id", Without(429), caller_id::kOwn, 502},
        {"400 without an id", Without(400), caller_id::kOwn, 502},
        {"421 without an id", Without(421), caller_id::kOwn, 502},
        {"421 without an id and without a statement",
         [](const std::string&, const std::string&) {
           return std::string("HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n");
         },
         caller_id::kOwn, 502},
        {"without an id behind one with an id",
         [](const std::string& former, const std::string&) {
           return Refusal(503, IdField(former)) + Refusal(503, {});
         },
         caller_id::kOwn, 502},
        {"without an id behind an interim answer",
         [](const std::string&, const std::string&) {
           return "HTTP/1.1 100 Continue\r\n\r\n" + Refusal(503, {});
         },
         caller_id::kOwn, 502},
        {"with the id of the refused request", kFormerId, caller_id::kOwn, 200},
        {"with an empty id",
         [](const std::string&, const std::string&) { return Refusal(503, IdField("")); },
         caller_id::kOwn, 200},
        {"with both ids",
         [](const std::string& former, const std::string& own) {
           return Refusal(503, IdField(own) + IdField(former));
         },
         caller_id::kOwn, 502},
        {"with both ids in the other order",
         [](const std::string& former, const std::string& own) {
           return Refusal(503, IdField(former) + IdField(own));
         },
         caller_id::kOwn, 502},
        {"of a caller that uses an id twice", kFormerId, caller_id::kShared, 200},
        {"of a caller with empty ids", kFormerId, caller_id::kEmpty, 200},
        {"without an id, of a caller with empty ids", Without(503), caller_id::kEmpty, 200},
        {"without an id, of a caller without ids", Without(503), caller_id::kNone, 200},
    },
    std::function([](const former_case& row) {
      serving_fixture fixture;
      std::mutex lock;
      std::map<std::size_t, std::string> refused;  // Id of the refused request, by connection.
      scripted_upstream& upstream =
          fixture.Add("u1", "orders", [&](const scripted_request& request) {
            const std::lock_guard guard(lock);
            const std::string id = request.Header("X-Attempt-Id");
            if (request.head.starts_with("POST /once/refused")) {
              refused[request.connection] = id;
              return scripted_answer{Refusal(503, IdField(id))};
            }
            const auto found = refused.find(request.connection);
            return scripted_answer{
                (found != refused.end() ? row.former(found->second, id) : std::string()) +
                SignedAnswer(request, 200, "ran")};
          });
      fixture.Start();
      const bool is_empty = row.ids == caller_id::kEmpty;
      caller_request order{
          .method = "POST", .path = "/once/refused", .id = is_empty ? "" : "id0", .body = "b"};
      test_caller caller(fixture.Port());
      Send(caller, order, row.ids);
      CPPUNIT_ASSERT_EQUAL(503, caller.Receive().status);
      order.path = "/once/run";
      order.id = row.ids == caller_id::kOwn ? "id1" : order.id;
      Send(caller, order, row.ids);
      const caller_answer answer = caller.Receive();
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), upstream.Requests().size());
      CPPUNIT_ASSERT_EQUAL(row.status, answer.status);
      if (row.status == 502) {
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), answer.Header("Corianderhoist-Outcome"));
      } else {
        CPPUNIT_ASSERT_EQUAL(std::string("ran"), answer.body);
      }
    }));

/// The only upstream answers the first request on a new connection.
struct fresh_case {
  std::string name;
  std::function<scripted_answer(const std::string& id)> script;
  caller_id ids;
  int status;
};

const test_table kFreshConnections(
    "answer on a new connection",
    std::vector<fresh_case>{
        {"a refusal without an id",
         [](const std::string&) { return scripted_answer{Refusal(503, {})}; }, caller_id::kOwn,
         503},
        {"a refusal without an id to a request without one",
         [](const std::string&) { return scripted_answer{Refusal(400, {})}; }, caller_id::kNone,
         503},
        {"a refusal behind an interim answer",
         [](const std::string& id) {
           return scripted_answer{"HTTP/1.1 100 Continue\r\n\r\n" + Refusal(503, IdField(id))};
         },
         caller_id::kOwn, 503},
        {"a refusal whose body breaks off",
         [](const std::string& id) {
           const std::string whole = Refusal(503, IdField(id));
           return scripted_answer{whole.substr(0, whole.size() - 1), after_answer::kClose};
         },
         caller_id::kOwn, 503},
        {"a refusal whose body is reset",
         [](const std::string& id) {
           const std::string whole = Refusal(503, IdField(id));
           return scripted_answer{whole.substr(0, whole.size() - 1), after_answer::kReset};
         },
         caller_id::kOwn, 503},
        {"a refusal whose head breaks off",
         [](const std::string& id) {
           const std::string whole = Refusal(503, IdField(id));
           return scripted_answer{whole.substr(0, whole.size() - 4), after_answer::kClose};
         },
         caller_id::kOwn, 502},
        {"a refusal of another request and a close",
         [](const std::string&) {
           return scripted_answer{Refusal(503, IdField("other")), after_answer::kClose};
         },
         caller_id::kOwn, 502},
        {"a refusal without an id behind one of another request",
         [](const std::string&) {
           return scripted_answer{Refusal(503, IdField("other")) + Refusal(503, {})};
         },
         caller_id::kOwn, 502},
        {"a refusal with an id to a request without one",
         [](const std::string&) {
           return scripted_answer{Refusal(503, IdField("other")), after_answer::kClose};
         },
         caller_id::kNone, 502},
        {"an answer with an id to a request without one",
         [](const std::string&) {
           return scripted_answer{
               "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Signature: s\r\n"
               "Content-Length: 2\r\n\r\nok",
               after_answer::kClose};
         },
         caller_id::kNone, 502},
        {"the same id twice",
         [](const std::string& id) {
           return scripted_answer{Refusal(503, IdField(id) + IdField(id))};
         },
         caller_id::kOwn, 503},
        {"503 without a statement",
         [](const std::string& id) {
           return scripted_answer{"HTTP/1.1 503 No\r\n" + IdField(id) +
                                  "X-Signature: s\r\nContent-Length: 0\r\n\r\n"};
         },
         caller_id::kOwn, 502},
        {"429 without a statement",
         [](const std::string& id) {
           return scripted_answer{"HTTP/1.1 429 No\r\n" + IdField(id) +
                                  "X-Signature: s\r\nContent-Length: 0\r\n\r\n"};
         },
         caller_id::kOwn, 502},
        {"408 without a statement",
         [](const std::string&) {
           return scripted_answer{"HTTP/1.1 408 No\r\nContent-Length: 0\r\n\r\n"};
         },
         caller_id::kOwn, 502},
    },
    std::function([](const fresh_case& row) {
      serving_fixture fixture;
      fixture.Add("u1", "orders", [&](const scripted_request& request) {
        return row.script(request.Header("X-Attempt-Id"));
      });
      fixture.Start();
      test_caller caller(fixture.Port());
      Send(caller, {.method = "POST", .path = "/once/1", .body = "b"}, row.ids);
      const caller_answer answer = caller.Receive();
      CPPUNIT_ASSERT_EQUAL(row.status, answer.status);
      CPPUNIT_ASSERT_EQUAL(std::string(row.status == 502 ? "unknown" : "not_run"),
                           answer.Header("Corianderhoist-Outcome"));
    }));

/// A schedule in which an upstream writes earlier answers of a connection again at random.
struct schedule_case {
  std::string name;
  std::uint32_t seed;
  bool is_idempotent = false;
};

std::string TargetOf(const scripted_request& request) {
  const std::size_t begin = request.head.find(' ') + 1;
  return request.head.substr(begin, request.head.find(' ', begin) - begin);
}

/// What an upstream with a random schedule has done.
class repeating_upstream {
 public:
  repeating_upstream(std::uint32_t seed, bool is_sometimes_slow)
      : random_(seed), is_sometimes_slow_(is_sometimes_slow) {}

  scripted_answer Answer(const scripted_request& request) {
    const std::lock_guard guard(lock_);
    std::vector<std::string>& former = former_[request.connection];
    const std::string id = request.Header("X-Attempt-Id");
    std::string own;
    if (Draw(3) == 0) {
      constexpr std::array kStatuses = {503, 429, 400};
      own = Refusal(kStatuses[Draw(kStatuses.size())], IdField(id));
    } else {
      ++runs_[TargetOf(request)];
      own = SignedAnswer(request, 200, TargetOf(request));
    }
    const auto repeated = [&] {
      std::string text;
      while (!former.empty() && Draw(3) == 0) {
        std::string one = former[Draw(former.size())];
        if (Draw(2) == 0) {
          const std::size_t at = one.find("X-Attempt-Id: ");
          one.erase(at, one.find("\r\n", at) + 2 - at);
        }
        text += one;
      }
      repeats_ += text.empty() ? 0 : 1;
      return text;
    };
    scripted_answer answer;
    answer.bytes = repeated() + own;
    // Later than a second attempt starts.
    answer.delay = milliseconds(is_sometimes_slow_ && Draw(30) == 0 ? 400 : 0);
    switch (Draw(4)) {
      case 0:  // Behind the answer, or while the connection is idle.
        answer.late_bytes = repeated();
        answer.late_by = milliseconds(Draw(3));
        break;
      case 1: {  // In two parts.
        const std::size_t at = Draw(answer.bytes.size());
        answer.late_bytes = answer.bytes.substr(at);
        answer.bytes.resize(at);
        answer.late_by = milliseconds(1);
        break;
      }
      default:
        break;
    }
    former.push_back(own);
    return answer;
  }

  int Runs(const std::string& target) const {
    const std::lock_guard guard(lock_);
    const auto found = runs_.find(target);
    return found != runs_.end() ? found->second : 0;
  }
  int Repeats() const {
    const std::lock_guard guard(lock_);
    return repeats_;
  }

 private:
  std::size_t Draw(std::size_t below) { return random_() % below; }

  mutable std::mutex lock_;
  std::mt19937 random_;
  const bool is_sometimes_slow_;
  std::map<std::size_t, std::vector<std::string>> former_;  ///< Answers, by connection.
  std::map<std::string, int> runs_;                         ///< By target.
  int repeats_ = 0;
};

const test_table kSchedules(
    "former answers at random",
    std::vector<schedule_case>{{"seed 1", 1},
                               {"seed 2", 2},
                               {"seed 3", 3},
                               {"seed 4", 4},
                               {"reads with second attempts, seed 5", 5, true},
                               {"reads with second attempts, seed 6", 6, true}},
    std::function([](const schedule_case& row) {
      constexpr int kRequests = 300;
      std::array<repeating_upstream, 2> states = {
          repeating_upstream(row.seed, row.is_idempotent),
          repeating_upstream(row.seed + 100, row.is_idempotent)};
      serving_fixture fixture;
      for (std::size_t i = 0; i < states.size(); ++i) {
        fixture.Add("u" + std::to_string(i), row.is_idempotent ? "reads" : "orders",
                    [&state = states[i]](const scripted_request& request) {
                      return state.Answer(request);
                    });
      }
      fixture.Start();
      std::mt19937 random(row.seed);
      int served = 0;
      std::string id;
      for (int i = 0; i < kRequests; ++i) {
        // Some callers use the id of their last request again, some have none.
        const auto kind = random() % 8;
        id = kind == 0 && !id.empty() ? id : "id" + std::to_string(i);
        const std::string target = (row.is_idempotent ? "/safe/" : "/once/") + std::to_string(i);
        const caller_request request{
            .method = row.is_idempotent ? "GET" : "POST", .path = target, .id = id};
        test_caller caller(fixture.Port());
        Send(caller, request, kind == 1 ? caller_id::kNone : caller_id::kOwn);
        const caller_answer answer = caller.Receive();
        const int runs = states[0].Runs(target) + states[1].Runs(target);
        const std::string what = target + ": status " + std::to_string(answer.status) + ", ran " +
                                 std::to_string(runs) + " times";
        CPPUNIT_ASSERT_MESSAGE(what, answer.status != 0);
        CPPUNIT_ASSERT_MESSAGE(what, row.is_idempotent || runs <= 1);
        if (answer.status == 200) {
          ++served;
          CPPUNIT_ASSERT_MESSAGE(what, runs >= 1 && answer.body == target);
        } else if (answer.status != 502 && answer.status != 504) {
          CPPUNIT_ASSERT_MESSAGE(what, row.is_idempotent || runs == 0);
        }
      }
      CPPUNIT_ASSERT(states[0].Repeats() + states[1].Repeats() > kRequests / 20);
      CPPUNIT_ASSERT_MESSAGE("served " + std::to_string(served), served > kRequests / 3);
    }));

/// Bytes that arrive while the body of a long upload is being sent.
struct upload_case {
  std::string name;
  former_answer early;
  int status;
};

const test_table kUploads(
    "upload",
    std::vector<upload_case>{
        {"meets a former refusal without an id", Without(503), 502},
        {"meets a former 421 without an id", Without(421), 502},
        {"meets a former refusal with its id", kFormerId, 200},
        {"is refused before its body is sent",
         [](const std::string&, const std::string& own) { return Refusal(503, IdField(own)); },
         503},
    },
    std::function([](const upload_case& row) {
      serving_fixture fixture;
      std::atomic<int> runs = 0;
      scripted_upstream& upstream =
          fixture.Add("u1", "orders", [&](const scripted_request& request) {
            const std::string id = request.Header("X-Attempt-Id");
            if (TargetOf(request) == "/once/refused") {
              return scripted_answer{Refusal(503, IdField(id))};
            }
            runs += row.status == 503 ? 0 : 1;
            return scripted_answer{row.status == 503 ? "" : SignedAnswer(request, 200, "ran")};
          });
      upstream.SetEarlyBytes([&](const scripted_request& request) {
        return TargetOf(request) == "/once/upload"
                   ? row.early("id0", request.Header("X-Attempt-Id"))
                   : std::string();
      });
      fixture.Start();
      caller_request order{.method = "POST", .path = "/once/refused", .id = "id0", .body = "b"};
      CPPUNIT_ASSERT_EQUAL(503, fixture.Call(order).status);
      order = {.method = "POST",
               .path = "/once/upload",
               .id = "id1",
               .body = std::string(2'000'000, 'b')};
      test_caller caller(fixture.Port());
      const std::string bytes = order.Bytes();
      // The head is sent to the upstream once a part of the body has arrived.
      caller.Send(bytes.substr(0, 100'000));
      std::this_thread::sleep_for(milliseconds(50));
      std::thread sender([&] { caller.Send(bytes.substr(100'000)); });
      const caller_answer answer = caller.Receive();
      sender.join();
      CPPUNIT_ASSERT_EQUAL(row.status, answer.status);
      if (row.status != 200) {
        CPPUNIT_ASSERT_EQUAL(std::string(row.status == 502 ? "unknown" : "not_run"),
                             answer.Header("Corianderhoist-Outcome"));
      }
      CPPUNIT_ASSERT(row.status != 200 || runs == 1);
    }));

/// Bytes behind a complete answer, which look like a refusal of the next order.
struct trailing_case {
  std::string name;
  std::string method;
  int status;
  milliseconds late_by;  ///< 0: in the same segment as the answer.
  milliseconds pause;    ///< Before the next order.
};

const test_table kTrailingRefusals(
    "refusal behind an answer",
    std::vector<trailing_case>{
        {"to a POST", "POST", 200, milliseconds(0), milliseconds(0)},
        {"to a POST, late", "POST", 200, milliseconds(2), milliseconds(0)},
        {"to a POST, while idle", "POST", 200, milliseconds(2), milliseconds(50)},
        {"to a HEAD", "HEAD", 200, milliseconds(0), milliseconds(0)},
        {"to a HEAD, late", "HEAD", 200, milliseconds(2), milliseconds(0)},
        {"to a HEAD, while idle", "HEAD", 200, milliseconds(2), milliseconds(50)},
        {"with status 304", "GET", 304, milliseconds(0), milliseconds(0)},
        {"with status 304, late", "GET", 304, milliseconds(2), milliseconds(0)},
        {"with status 204, late", "GET", 204, milliseconds(2), milliseconds(0)},
    },
    std::function([](const trailing_case& row) {
      serving_fixture fixture;
      std::mutex lock;
      std::map<std::string, int> runs;
      fixture.Add("u1", "orders", [&](const scripted_request& request) {
        const std::lock_guard guard(lock);
        ++runs[TargetOf(request)];
        scripted_answer answer;
        if (!TargetOf(request).ends_with("first")) {
          answer.bytes = SignedAnswer(request, 200, "ran");
          return answer;
        }
        const std::string trailing = Refusal(503, {});
        // To a HEAD, and with 304, the length of a body that is not sent.
        answer.bytes =
            "HTTP/1.1 " + std::to_string(row.status) + " S\r\n" +
            IdField(request.Header("X-Attempt-Id")) + "X-Signature: s\r\n" +
            (row.status == 204
                 ? ""
                 : "Content-Length: " + std::to_string(row.method == "POST" ? 0 : trailing.size()) +
                       "\r\n") +
            "\r\n";
        (row.late_by.count() > 0 ? answer.late_bytes : answer.bytes) += trailing;
        answer.late_by = row.late_by;
        return answer;
      });
      fixture.Start();
      for (int i = 0; i < 20; ++i) {
        const std::string path = "/once/" + std::to_string(i);
        test_caller caller(fixture.Port());
        caller.Send(caller_request{
            .method = row.method, .path = path + "first", .id = "a" + std::to_string(i)}
                        .Bytes());
        if (row.method == "HEAD") {
          std::this_thread::sleep_for(milliseconds(5));
        } else {
          CPPUNIT_ASSERT_EQUAL(row.status, caller.Receive().status);
        }
        std::this_thread::sleep_for(row.pause);
        const caller_answer answer =
            fixture.Call({.method = "POST", .path = path, .id = "b" + std::to_string(i)});
        const std::lock_guard guard(lock);
        CPPUNIT_ASSERT_MESSAGE("status " + std::to_string(answer.status),
                               answer.status == 200 || answer.status == 502);
        CPPUNIT_ASSERT(answer.status == 502 || answer.body == "ran");
        CPPUNIT_ASSERT(runs[path] <= 1);
      }
    }));

}  // namespace
}  // namespace corianderhoist
