// Graceful shutdown of an entry VM under a load that goes on until its process is gone.
#include "http/answer_time.h"
#include "http/drain_schedule.h"
#include "platform/header_names.h"
#include "serving/upstream_call.h"
#include "support/serving_fixture.h"
#include "support/test_table.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <random>
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

struct schedule_case {
  std::string name;
  milliseconds elapsed;  ///< Since the start of the drain.
  milliseconds limit;    ///< Time limit of the request.
  milliseconds likely;
  milliseconds nearly_all;
  bool may_start;
};

// Guards against requests that outlast the process, and against refusals while it can serve them.
const test_table kMayStart(
    "request during a drain of 6 s",
    std::vector<schedule_case>{
        {"that fits is started", milliseconds(0), milliseconds(4000), milliseconds(2000),
         milliseconds(4000), true},
        {"that fits is started while others close", milliseconds(3000), milliseconds(2000),
         milliseconds(1500), milliseconds(2000), true},
        {"that is likely to fit is started", milliseconds(1900), milliseconds(8000),
         milliseconds(2500), milliseconds(8000), true},
        {"that is not likely to fit is refused", milliseconds(1900), milliseconds(8000),
         milliseconds(4000), milliseconds(8000), false},
        {"that is nearly certain to fit is started while others close", milliseconds(4000),
         milliseconds(8000), milliseconds(500), milliseconds(1500), true},
        {"that is only likely to fit is refused while others close", milliseconds(4000),
         milliseconds(8000), milliseconds(500), milliseconds(2000), false},
        {"at the end is refused", milliseconds(5900), milliseconds(200), milliseconds(10),
         milliseconds(10), false},
    },
    std::function([](const schedule_case& row) {
      const steady_time start(std::chrono::hours(1));
      drain_schedule drain({milliseconds(2000), milliseconds(6000)});
      const steady_time now = start + row.elapsed;
      CPPUNIT_ASSERT(drain.MayStart(now, now + row.limit, {row.likely, row.nearly_all}));
      drain.Begin(start);
      CPPUNIT_ASSERT_EQUAL(row.may_start,
                           drain.MayStart(now, now + row.limit, {row.likely, row.nearly_all}));
    }));

struct answer_time_case {
  std::string name;
  std::vector<int> taken_ms;
  int least_ms;
  int most_ms;
};

const test_table kAnswerTime(
    "time of likely answers",
    std::vector<answer_time_case>{
        {"is the bound without answers", {}, 1700, 1700},
        {"has a margin after the first answer", {100}, 150, 250},
        {"of steady answers is near to them", std::vector<int>(40, 100), 100, 110},
        {"follows slower answers", {100, 100, 100, 100, 100, 600, 600, 600}, 600, 1200},
        {"covers varying answers", {200, 400, 300, 900, 250, 350, 800, 300, 200, 500}, 700, 1200},
        {"is bounded after a late answer", {1500}, 1700, 1700},
    },
    std::function([](const answer_time_case& row) {
      answer_time time;
      for (const int taken : row.taken_ms) {
        time.Add(milliseconds(taken));
      }
      const answer_estimate estimate = time.Estimate(milliseconds(1700), milliseconds(5000));
      const milliseconds likely = estimate.likely;
      CPPUNIT_ASSERT(likely <= estimate.nearly_all);
      CPPUNIT_ASSERT(estimate.nearly_all <= milliseconds(5000));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(likely.count()), likely >= milliseconds(row.least_ms));
      CPPUNIT_ASSERT(likely <= milliseconds(row.most_ms));
    }));

// Guards against an upstream that is still at work when the process ends.
const test_table kDeadlines(
    "drain schedule",
    "an upstream ends before the answer is due and the answer before the process, for any times",
    [] {
      std::mt19937_64 random(20261205);
      const auto draw = [&](int most) {
        return milliseconds(std::uniform_int_distribution<int>(0, most)(random));
      };
      for (int i = 0; i < 20'000; ++i) {
        const drain_settings settings{draw(5000), draw(20'000)};
        const steady_time start(std::chrono::hours(1));
        drain_schedule drain(settings);
        drain.Begin(start);
        const steady_time now = start + draw(20'000);
        const steady_time deadline = now + draw(15'000);
        const steady_time end = start + settings.deadline;
        CPPUNIT_ASSERT(drain.UpstreamDeadline(deadline) <= drain.AnswerDeadline(deadline));
        CPPUNIT_ASSERT(drain.AnswerDeadline(deadline) <= deadline);
        CPPUNIT_ASSERT(drain.AnswerDeadline(deadline) < end);
        CPPUNIT_ASSERT(!drain.IsOver(end - milliseconds(1)) && drain.IsOver(end));
        const answer_estimate expected{draw(3000), draw(6000)};
        if (drain.MayStart(now, deadline, expected)) {
          CPPUNIT_ASSERT(drain.UpstreamDeadline(deadline) >= now);
          CPPUNIT_ASSERT(
              drain.UpstreamDeadline(deadline) >=
              std::min(deadline, now + (drain.IsClosingIdleConnections(now) ? expected.nearly_all
                                                                            : expected.likely)));
        }
      }
    });

scripted_answer AnswerAfter(const scripted_request& request, milliseconds work) {
  return {SignedAnswer(request, 200, "ok"), after_answer::kKeep, work};
}

// Guards against a time limit that ends after the process.
const test_table kHandedTime("stop", "an upstream is handed the time until the end at most", [] {
  serving_fixture fixture;
  fixture.SetDrain(milliseconds(300), milliseconds(1200));
  scripted_upstream& upstream =
      fixture.Add("u1", "orders", [](const auto& request) { return AnswerAfter(request, {}); });
  fixture.Start();
  std::thread stop([&] { fixture.Stop(); });
  std::this_thread::sleep_for(milliseconds(100));
  test_caller caller(fixture.Port());
  caller.Send(caller_request{.method = "POST", .path = "/once/1"}.Bytes());
  const caller_answer answer = caller.Receive();
  stop.join();
  CPPUNIT_ASSERT_EQUAL(200, answer.status);
  const int handed = std::stoi(upstream.Requests().at(0).Header("X-Deadline-Ms"));
  CPPUNIT_ASSERT_MESSAGE(std::to_string(handed), handed > 0 && handed < 1100);
});

struct end_case {
  std::string name;
  std::string path;
  int status;
};

// Guards against a caller that learns nothing about a request that outlasts the shutdown.
const test_table kHung("stop answers a request before its end, though the upstream hangs,",
                       std::vector<end_case>{{"an order", "/once/1", 504},
                                             {"a request that may be repeated", "/safe/1", 504}},
                       std::function([](const end_case& row) {
                         serving_fixture fixture;
                         fixture.SetDrain(milliseconds(200), milliseconds(700));
                         for (const std::string service : {"orders", "reads"}) {
                           fixture.Add(service, service, [](const scripted_request&) {
                             return scripted_answer{"", after_answer::kHang, {}, {}};
                           });
                         }
                         fixture.Start();
                         test_caller caller(fixture.Port());
                         caller.Send(caller_request{.method = "POST", .path = row.path}.Bytes());
                         std::this_thread::sleep_for(milliseconds(100));
                         std::thread stop([&] { fixture.Stop(); });
                         const caller_answer answer = caller.Receive();
                         stop.join();
                         CPPUNIT_ASSERT_EQUAL(row.status, answer.status);
                         CPPUNIT_ASSERT(answer.duration < milliseconds(800));
                       }));

// Guards against a late caller that waits, or that is not told to come back to another VM.
const test_table kLate("stop", "a late request is refused at once as not run", [] {
  serving_fixture fixture;
  fixture.SetDrain(milliseconds(200), milliseconds(1500));
  scripted_upstream& upstream = fixture.Add("u1", "orders", [](const scripted_request& request) {
    return AnswerAfter(request, milliseconds(900));
  });
  shared_limits limits;
  limits.active_vms = 2;
  fixture.Core().SetLimits(limits);
  fixture.Start();
  test_caller running(fixture.Port());
  running.Send(caller_request{.method = "POST", .path = "/once/1"}.Bytes());
  std::this_thread::sleep_for(milliseconds(50));
  std::thread stop([&] { fixture.Stop(); });
  std::this_thread::sleep_for(milliseconds(700));
  test_caller late(fixture.Port());
  late.Send(caller_request{.method = "POST", .path = "/once/1", .id = "late"}.Bytes());
  const caller_answer refused = late.Receive();
  const caller_answer served = running.Receive();
  stop.join();
  CPPUNIT_ASSERT_EQUAL(503, refused.status);
  CPPUNIT_ASSERT(refused.duration < milliseconds(200));
  CPPUNIT_ASSERT_EQUAL(std::string("close"), refused.Header("Connection"));
  CPPUNIT_ASSERT(std::stod(refused.Header("Retry-After")) <= 0.1);
  CPPUNIT_ASSERT_EQUAL(200, served.status);
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), upstream.Requests().size());
});

// Guards against an upload that is started when its upstream no longer has time for it.
const test_table kSlowUpload("stop", "a slow upload that cannot be finished is refused", [] {
  serving_fixture fixture;
  fixture.SetDrain(milliseconds(200), milliseconds(1000));
  scripted_upstream& upstream =
      fixture.Add("u1", "orders", [](const auto& request) { return AnswerAfter(request, {}); });
  fixture.Start();
  test_caller caller(fixture.Port());
  const std::string whole =
      caller_request{.method = "POST", .path = "/once/1", .body = "0123456789"}.Bytes();
  caller.Send(whole.substr(0, whole.size() - 5));
  std::this_thread::sleep_for(milliseconds(100));
  std::thread stop([&] { fixture.Stop(); });
  const caller_answer answer = caller.Receive();
  stop.join();
  CPPUNIT_ASSERT_EQUAL(503, answer.status);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(answer.duration.count()),
                         answer.duration < milliseconds(600));
  CPPUNIT_ASSERT(upstream.Requests().empty());
});

const test_table kCoreGone("stop", "without core VMs cuts no request and ends in time", [] {
  serving_fixture fixture;
  fixture.SetDrain(milliseconds(300), milliseconds(1500));
  scripted_upstream& upstream = fixture.Add("u1", "orders", [](const scripted_request& request) {
    return AnswerAfter(request, milliseconds(300));
  });
  fixture.Start();
  fixture.Core().SetSilent(true);
  stop_load callers(fixture.Port(), "/once/1", true);
  std::this_thread::sleep_for(milliseconds(400));
  CPPUNIT_ASSERT(fixture.Stop() < milliseconds(2000));
  const load_outcome seen = callers.Join();
  for (const scripted_request& request : upstream.Requests()) {
    CPPUNIT_ASSERT(!seen.without_answer.contains(request.Header("X-Attempt-Id")));
  }
});

const test_table kIdleStop("stop", "of a VM without requests does not wait for its deadline", [] {
  serving_fixture fixture;
  fixture.SetDrain(milliseconds(200), milliseconds(5000));
  fixture.Start();
  test_caller idle(fixture.Port());
  std::thread reader([&] { idle.IsClosed(milliseconds(3000)); });
  const milliseconds taken = fixture.Stop();
  reader.join();
  CPPUNIT_ASSERT_MESSAGE(std::to_string(taken.count()), taken < milliseconds(2500));
});

// Guards against a second signal that starts the shutdown anew, and readiness after its end.
const test_table kSecondStop("stop", "a second one changes nothing", [] {
  serving_fixture fixture;
  fixture.SetDrain(milliseconds(100), milliseconds(800));
  fixture.Add("u1", "orders", [](const scripted_request&) {
    return scripted_answer{"", after_answer::kHang, {}, {}};
  });
  fixture.Start();
  test_caller caller(fixture.Port());
  caller.Send(caller_request{.method = "POST", .path = "/once/1"}.Bytes());
  std::this_thread::sleep_for(milliseconds(50));
  std::atomic<int> ends = 0;
  const auto start = std::chrono::steady_clock::now();
  fixture.Vm().Drain([&] { ++ends; });
  for (int i = 0; i < 30; ++i) {
    std::this_thread::sleep_for(milliseconds(50));
    fixture.Vm().Drain([&] { ends += 100; });
    CPPUNIT_ASSERT(!fixture.Vm().IsReady());
    const bool is_late = std::chrono::steady_clock::now() - start > milliseconds(1200);
    const int seen = ends;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(seen), seen == 1 || (seen == 0 && !is_late));
  }
  CPPUNIT_ASSERT_EQUAL(1, ends.load());
});

struct slow_reader_case {
  std::string name;
  bool is_stopping;
  std::string more_headers;
};

// Guards against a connection that is closed before its caller has taken the whole answer.
const test_table kSlowReader(
    "an answer that its caller reads after 2 s is whole",
    std::vector<slow_reader_case>{
        {"on a kept connection", false, {}},
        {"on a connection that its caller closes", false, "Connection: close\r\n"},
        {"during a shutdown", true, {}},
    },
    std::function([](const slow_reader_case& row) {
      serving_fixture fixture;
      fixture.SetDrain(milliseconds(300), milliseconds(5000));
      const std::string body(200'000, 'x');
      fixture.Add("u1", "reads", [&](const scripted_request& request) {
        return scripted_answer{SignedAnswer(request, 200, body), after_answer::kKeep, {}, {}};
      });
      fixture.Start();
      std::thread stop;
      if (row.is_stopping) {
        stop = std::thread([&] { fixture.Stop(); });
        std::this_thread::sleep_for(milliseconds(100));
      }
      caller_answer answer;
      {
        test_caller caller(fixture.Port(), true);
        caller.Send(caller_request{.more_headers = row.more_headers}.Bytes());
        std::this_thread::sleep_for(milliseconds(2000));
        answer = caller.Receive(milliseconds(2500));
      }
      if (stop.joinable()) {
        stop.join();
      }
      CPPUNIT_ASSERT_EQUAL(200, answer.status);
      CPPUNIT_ASSERT_EQUAL(body.size(), answer.body.size());
    }));

struct stall_case {
  std::string name;
  milliseconds work;
  int status;
};

// Guards against a request that is cut because the event loop was late at the end of the shutdown.
const test_table kStall("stop answers although the event loop is held up until after its end,",
                        std::vector<stall_case>{
                            {"an upstream that has answered", milliseconds(800), 200},
                            {"an upstream that hangs", milliseconds(20'000), 504}},
                        std::function([](const stall_case& row) {
                          serving_fixture fixture;
                          fixture.SetDrain(milliseconds(200), milliseconds(1200));
                          const bool is_hanging = row.status != 200;
                          fixture.Add("u1", "orders", [&](const scripted_request& request) {
                            return is_hanging ? scripted_answer{"", after_answer::kHang, {}, {}}
                                              : AnswerAfter(request, row.work);
                          });
                          fixture.Start();
                          test_caller caller(fixture.Port());
                          caller.Send(caller_request{.method = "POST", .path = "/once/1"}.Bytes());
                          std::this_thread::sleep_for(milliseconds(100));
                          std::thread stop([&] { fixture.Stop(); });
                          std::this_thread::sleep_for(milliseconds(600));
                          fixture.Vm().Loop().Post(
                              [] { std::this_thread::sleep_for(milliseconds(800)); });
                          const caller_answer answer = caller.Receive();
                          stop.join();
                          CPPUNIT_ASSERT_EQUAL(row.status, answer.status);
                        }));

// Guards against an upstream that works on after the end, because connecting to it took long.
const test_table kConnectTime("upstream call", "hands the time that is left after connecting", [] {
  scripted_upstream upstream([](const auto& request) { return AnswerAfter(request, {}); });
  const upstream_header_names names = platform::UpstreamHeaderNames();
  manual_clock clock;
  io_loop loop("test");
  connection_cache cache(clock);
  std::shared_ptr<upstream_call> call;
  std::promise<void> ended;
  loop.RunAndWait([&] {
    call_plan plan;
    plan.address = {"127.0.0.1", upstream.Port()};
    plan.request_line = "GET /safe/1";
    plan.body_length = 0;
    plan.deadline = clock.Now() + milliseconds(1000);
    plan.connect_timeout = milliseconds(1000);
    upstream_call::events events;
    events.on_end = [&ended](call_result, const std::string&) { ended.set_value(); };
    call = std::make_shared<upstream_call>(cache, names, clock, plan, events);
    call->Start();
    clock.Advance(milliseconds(300));
  });
  ended.get_future().wait_for(std::chrono::seconds(5));
  loop.RunAndWait([&] {
    call.reset();
    cache.Sweep([](upstream_handle) { return false; });
  });
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), upstream.Requests().size());
  CPPUNIT_ASSERT_EQUAL(std::string("700"), upstream.Requests().at(0).Header("X-Deadline-Ms"));
});

// Keeps an event loop busy, so that events from elsewhere fall between those of a destructor.
void KeepBusy(io_loop& loop, int times) {
  loop.Post([&loop, times] {
    std::this_thread::sleep_for(milliseconds(40));
    if (times > 1) {
      KeepBusy(loop, times - 1);
    }
  });
}

// Guards against the use of freed memory by an answer to the undelivered attempt of a request that
// has ended, while the VM is destroyed.
const test_table kUndelivered("stop", "while attempts that are not delivered are under way", [] {
  constexpr int kCallers = 24;
  serving_fixture fixture;
  fixture.SetDrain(milliseconds(10), milliseconds(200));
  std::atomic<int> requests = 0;
  for (const std::string id : {"u1", "u2", "u3", "u4"}) {
    fixture.Add(id, "reads", [&](const scripted_request& request) {
      // The first attempts are slow, their hedges are answered at once.
      const int number = ++requests;
      return AnswerAfter(request,
                         number <= kCallers ? milliseconds(550 + 20 * number) : milliseconds(0));
    });
  }
  fixture.Start();
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  std::atomic<int> served = 0;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back(
        [&, i] { served += fixture.Call({.id = "id" + std::to_string(i)}).status == 200 ? 1 : 0; });
  }
  for (std::thread& each : callers) {
    each.join();
  }
  CPPUNIT_ASSERT_EQUAL(kCallers, served.load());
  KeepBusy(fixture.Vm().Loop(), 40);
  fixture.Stop();
});

}  // namespace
}  // namespace corianderhoist
