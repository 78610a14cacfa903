// An entry VM and upstreams that write answers to other requests, or parts of answers. What callers
// are told is compared with what upstreams ran.
#include "support/entry_fixture.h"
#include "support/scripted_upstream.h"
#include "support/test_table.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <random>

namespace corianderhoist {
namespace {

using script = std::function<scripted_answer(const scripted_request&)>;

std::string IdField(const std::string& id) {
  return "Corianderhoist-Request-Id: " + id + "\r\n";
}

std::string Shed(const std::string& id_fields) {
  return "HTTP/1.1 503 Full\r\n" + id_fields +
         "Corianderhoist-Shed: 1\r\nContent-Length: 2\r\n\r\nno";
}

std::string Answer(const std::string& id_fields, const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" + id_fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string IdOf(const scripted_request& request) {
  return request.Header("Corianderhoist-Request-Id");
}

std::string TargetOf(const scripted_request& request) {
  const std::size_t begin = request.head.find(' ') + 1;
  return request.head.substr(begin, request.head.find(' ', begin) - begin);
}

void AddUpstream(entry_fixture& fixture, const std::string& name, std::uint16_t port) {
  announcement upstream;
  upstream.upstream = name;
  upstream.incarnation = name;
  upstream.service = "orders";
  upstream.region = "centre";
  upstream.data_centre = "centre-1";
  upstream.address = FormatEndpoint({"127.0.0.1", port});
  upstream.state = upstream_state::kReady;
  fixture.Region().SetUpstream(upstream);
}

bool IsNotRun(const http_reply& reply) {
  return reply.Header("corianderhoist-outcome") == "not_run";
}

/// An order on a new connection, which the upstream runs.
struct order_case {
  std::string name;
  std::function<std::string(const std::string& id)> before;  ///< Written before the answer.
  int status;
};

const test_table kOrders(
    "order answered behind",
    std::vector<order_case>{
        {"a refusal of another request", [](const std::string&) { return Shed(IdField("other")); },
         502},
        {"a refusal with two ids, the first its own",
         [](const std::string& id) { return Shed(IdField(id) + IdField("other")); }, 502},
        {"a refusal with two ids, the last its own",
         [](const std::string& id) { return Shed(IdField("other") + IdField(id)); }, 502},
        {"an answer with two ids, the first its own",
         [](const std::string& id) { return Answer(IdField(id) + IdField("other"), "other"); },
         502},
        {"a head with status 000",
         [](const std::string&) {
           return std::string("HTTP/1.1 000 None\r\nContent-Length: 9\r\n\r\n");
         },
         502},
        {"an interim answer that announces a body",
         [](const std::string&) {
           return std::string("HTTP/1.1 100 Continue\r\nContent-Length: 9\r\n\r\n");
         },
         502},
        {"an answer with a blank in the name of a field",
         [](const std::string& id) {
           return "HTTP/1.1 200 OK\r\nX Y: 1\r\n" + IdField(id) + "Content-Length: 2\r\n\r\nno";
         },
         502},
        {"an interim answer",
         [](const std::string&) { return std::string("HTTP/1.1 100 Continue\r\n\r\n"); }, 200},
    },
    std::function([](const order_case& row) {
      entry_fixture fixture({.upstreams = 0});
      std::atomic<int> runs = 0;
      const script run = [&](const scripted_request& request) {
        ++runs;
        const std::string id = IdOf(request);
        return scripted_answer{row.before(id) + Answer(IdField(id), "ran")};
      };
      scripted_upstream first(run);
      scripted_upstream second(run);
      AddUpstream(fixture, "u1", first.Port());
      AddUpstream(fixture, "u2", second.Port());
      const http_reply reply = fixture.Post("/orders", "one apron");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, row.status, reply.status);
      CPPUNIT_ASSERT(!IsNotRun(reply));
      CPPUNIT_ASSERT_EQUAL(1, runs.load());
    }));

struct schedule_case {
  std::string name;
  std::uint32_t seed;
};

/// Sheds or runs at random, and writes earlier answers of the connection again at random.
class repeating_upstream {
 public:
  explicit repeating_upstream(std::uint32_t seed) : random_(seed) {}

  scripted_answer Serve(const scripted_request& request) {
    const std::lock_guard guard(lock_);
    std::vector<std::string>& former = former_[request.connection];
    const bool is_shed = Draw(4) == 0;
    const std::string target = TargetOf(request);
    runs_[target] += is_shed ? 0 : 1;
    const std::string id = IdField(IdOf(request));
    const std::string own = is_shed ? Shed(id) : Answer(id, target);
    const auto repeated = [&] {
      std::string text;
      if (!former.empty() && Draw(3) == 0) {
        text = former[Draw(former.size())];
        if (Draw(2) == 0) {
          const std::size_t at = text.find("Corianderhoist-Request-Id");
          text.erase(at, text.find("\r\n", at) + 2 - at);
        }
        ++repeats_;
      }
      return text;
    };
    scripted_answer answer{repeated() + own};
    if (Draw(4) == 0) {
      answer.late_bytes = repeated();
      answer.late_by = std::chrono::milliseconds(Draw(3));
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
  std::map<std::size_t, std::vector<std::string>> former_;  ///< Answers, by connection.
  std::map<std::string, int> runs_;                         ///< By target.
  int repeats_ = 0;
};

const test_table kSchedules(
    "former answers at random",
    std::vector<schedule_case>{{"seed 1", 1}, {"seed 2", 2}, {"seed 3", 3}},
    std::function([](const schedule_case& row) {
      constexpr int kRequests = 400;
      entry_fixture fixture({.upstreams = 0});
      repeating_upstream state(row.seed);
      scripted_upstream upstream(
          [&](const scripted_request& request) { return state.Serve(request); });
      AddUpstream(fixture, "u1", upstream.Port());
      int served = 0;
      for (int i = 0; i < kRequests; ++i) {
        const std::string target = "/orders/" + std::to_string(i);
        const bool is_order = i % 4 == 0;
        const http_reply reply = is_order ? fixture.Post(target, "b") : fixture.Get(target);
        const int runs = state.Runs(target);
        const std::string what =
            target + ": status " + std::to_string(reply.status) + ", ran " + std::to_string(runs);
        CPPUNIT_ASSERT_MESSAGE(what, !is_order || runs <= 1);
        CPPUNIT_ASSERT_MESSAGE(what, !IsNotRun(reply) || runs == 0);
        CPPUNIT_ASSERT_MESSAGE(what, reply.status != 200 || (reply.body == target && runs > 0));
        served += reply.status == 200 ? 1 : 0;
      }
      CPPUNIT_ASSERT(state.Repeats() > kRequests / 40);
      CPPUNIT_ASSERT_MESSAGE("served " + std::to_string(served), served > kRequests / 2);
    }));

enum class framing { kLength, kChunked, kClose };

/// An answer that is cut after a number of bytes.
struct cut_case {
  std::string name;
  framing body;
  after_answer end;
  bool is_reused;  ///< An earlier request has used the connection.
};

const test_table kCuts(
    "answer cut after any byte",
    std::vector<cut_case>{
        {"with a length, closed", framing::kLength, after_answer::kClose, false},
        {"with a length, reset", framing::kLength, after_answer::kReset, false},
        {"in chunks, closed", framing::kChunked, after_answer::kClose, false},
        {"in chunks, reset", framing::kChunked, after_answer::kReset, false},
        {"without a length, closed", framing::kClose, after_answer::kClose, false},
        {"without a length, reset", framing::kClose, after_answer::kReset, false},
        {"with a length, closed, reused", framing::kLength, after_answer::kClose, true},
        {"in chunks, closed, reused", framing::kChunked, after_answer::kClose, true},
        {"in chunks, reset, reused", framing::kChunked, after_answer::kReset, true},
    },
    std::function([](const cut_case& row) {
      entry_fixture fixture({.upstreams = 0});
      std::atomic<std::size_t> missing = 0;  // Bytes that are not sent.
      const auto whole = [&](const std::string& id) {
        const std::string head = "HTTP/1.1 200 OK\r\n" + IdField(id);
        return row.body == framing::kLength  ? head + "Content-Length: 6\r\n\r\nabcdef"
               : row.body == framing::kClose ? head + "\r\nabcdef"
                                             : head +
                                                   "Transfer-Encoding: chunked\r\n\r\n"
                                                   "3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n";
      };
      scripted_upstream upstream([&](const scripted_request& request) {
        const std::string id = IdOf(request);
        if (TargetOf(request) == "/orders/whole") {
          return scripted_answer{Answer(IdField(id), "ok")};
        }
        const std::string text = whole(id);
        return scripted_answer{text.substr(0, text.size() - std::min(text.size(), missing.load())),
                               row.end};
      });
      AddUpstream(fixture, "u1", upstream.Port());
      CPPUNIT_ASSERT_EQUAL(200, fixture.Get("/orders/whole").status);
      // Ids become longer.
      const std::size_t size = whole(IdOf(upstream.Requests().front())).size() + 3;
      for (missing = 1; missing <= size; ++missing) {
        if (row.is_reused) {
          fixture.Get("/orders/whole");
        }
        const http_reply reply =
            row.is_reused ? fixture.Get("/orders/cut") : fixture.Post("/orders/cut", "b");
        const std::string place = "without the last " + std::to_string(missing.load()) +
                                  " bytes: " + std::to_string(reply.status);
        CPPUNIT_ASSERT_MESSAGE(place, reply.status == 502 || reply.status == 0);
        CPPUNIT_ASSERT_MESSAGE(place, !IsNotRun(reply));
      }
      missing = 0;
      const http_reply last = fixture.Post("/orders/cut", "b");
      const bool is_whole = row.body != framing::kClose && row.end == after_answer::kClose;
      CPPUNIT_ASSERT_MESSAGE(last.body, !is_whole || (last.status == 200 && last.body == "abcdef"));
    }));

}  // namespace
}  // namespace corianderhoist
