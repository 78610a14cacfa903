// Tests that the outlier detector ejects faulty upstreams, keeps healthy ones in service and never
// reduces the healthy capacity of a place below the floor.
#include "coordinator/outlier_detector.h"
#include "support/test_table.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <random>
#include <set>

namespace corianderhoist {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const steady_time kStart{std::chrono::hours(1)};
constexpr int kUpstreams = 12;
constexpr int kReporters = 20;

upstream_id Id(int index) {
  return {"u" + std::to_string(index), "i1"};
}

// Model of a service whose requests go through random entry VMs to random upstreams.
struct service_model {
  explicit service_model(std::uint64_t seed) : random(seed) {
    for (int i = 0; i < kUpstreams; ++i) {
      capacities.push_back({Id(i), "north/a", 4, true});
    }
  }

  double Chance() { return std::uniform_real_distribution<double>(0, 1)(random); }

  // Sends one request every 5 ms, which is about 17 requests/s per upstream.
  using outcome_source = std::function<outcome_report(service_model&, int upstream, int reporter)>;
  void Run(milliseconds span, const outcome_source& outcome) {
    for (milliseconds passed(0); passed < span; passed += milliseconds(5)) {
      now += milliseconds(5);
      const int upstream = static_cast<int>(random() % kUpstreams);
      if (now.time_since_epoch() % milliseconds(250) == milliseconds(0)) {
        detector.Advance(now);
      }
      const ejection_state state = detector.StateOf(Id(upstream));
      const bool is_trial =
          state == ejection_state::kTrial && detector.MaySendTrial(Id(upstream), true, now);
      if (state == ejection_state::kEjected || (state == ejection_state::kTrial && !is_trial)) {
        continue;
      }
      if (is_trial) {
        detector.StartTrial(Id(upstream), now);
      }
      outcome_report report = outcome(*this, upstream, static_cast<int>(random() % kReporters));
      report.is_trial = is_trial;
      detector.Observe(report, now);
      if (const auto ejected = detector.EjectOutlier(capacities, floor, now)) {
        ejections.push_back({ejected->upstream, now});
      }
    }
  }

  static outcome_report Report(int upstream,
                               int reporter,
                               attempt_result result,
                               microseconds latency = milliseconds(10)) {
    return {Id(upstream), "entry-" + std::to_string(reporter), result, latency, false, false,
            false};
  }

  std::mt19937_64 random;
  outlier_detector detector;
  std::vector<upstream_capacity> capacities;
  std::uint32_t floor = 50;
  steady_time now = kStart;
  std::vector<std::pair<std::string, steady_time>> ejections;
};

struct scenario {
  std::string name;
  service_model::outcome_source outcome;
  std::set<std::string> faulty;  ///< Upstreams that must be ejected; no other may be.
};

attempt_result RandomResult(service_model& model, double failure_share, attempt_result bad) {
  return model.Chance() < failure_share ? bad : attempt_result::kSuccess;
}

const std::vector<scenario> kScenarios = {
    {"no failure",
     [](auto& model, int u, int r) {
       return model.Report(u, r, attempt_result::kSuccess,
                           microseconds(2000 + model.random() % 30'000));
     },
     {}},
    {"two per cent errors everywhere",
     [](auto& model, int u, int r) {
       return model.Report(u, r, RandomResult(model, 0.02, attempt_result::kServerError));
     },
     {}},
    {"one upstream fails all requests",
     [](auto& model, int u, int r) {
       return model.Report(u, r,
                           RandomResult(model, u == 3 ? 1 : 0.002, attempt_result::kServerError));
     },
     {"u3"}},
    {"one upstream fails half of its requests",
     [](auto& model, int u, int r) {
       return model.Report(u, r,
                           RandomResult(model, u == 3 ? 0.5 : 0.002, attempt_result::kServerError));
     },
     {"u3"}},
    {"three upstreams fail most requests",
     [](auto& model, int u, int r) {
       return model.Report(u, r,
                           RandomResult(model, u < 3 ? 0.8 : 0.002, attempt_result::kBrokenAnswer));
     },
     {"u0", "u1", "u2"}},
    {"one upstream is slow",
     [](auto& model, int u, int r) {
       return model.Report(u, r, attempt_result::kSuccess, milliseconds(u == 3 ? 400 : 10));
     },
     {"u3"}},
    {"all upstreams are overloaded and time out",
     [](auto& model, int u, int r) {
       return model.Report(u, r, RandomResult(model, 0.6, attempt_result::kTimeout),
                           milliseconds(800));
     },
     {}},
    {"all upstreams shed load",
     [](auto& model, int u, int r) {
       return model.Report(u, r, RandomResult(model, 0.9, attempt_result::kShed));
     },
     {}},
    {"one upstream sheds load",
     [](auto& model, int u, int r) {
       return model.Report(u, r, u == 3 ? attempt_result::kShed : attempt_result::kSuccess);
     },
     {}},
    {"callers cancel requests to one upstream",
     [](auto& model, int u, int r) {
       return model.Report(u, r, u == 3 ? attempt_result::kCancelled : attempt_result::kSuccess);
     },
     {}},
    {"one entry VM has a bad link",
     [](auto& model, int u, int r) {
       return model.Report(u, r,
                           RandomResult(model, r == 7 ? 1 : 0, attempt_result::kConnectFailed));
     },
     {}},
    {"one entry VM cannot reach one upstream",
     [](auto& model, int u, int r) {
       return model.Report(
           u, r, RandomResult(model, r == 7 && u == 3 ? 1 : 0, attempt_result::kConnectFailed));
     },
     {}},
    {"one upstream starts cold",
     [](auto& model, int u, int r) {
       auto report = model.Report(u, r, attempt_result::kSuccess, milliseconds(u == 3 ? 900 : 10));
       report.is_warming_up = u == 3;
       return report;
     },
     {}},
    {"suspected requests crash one upstream",
     [](auto& model, int u, int r) {
       auto report = model.Report(
           u, r, RandomResult(model, u == 3 ? 0.5 : 0, attempt_result::kConnectionLost));
       report.is_suspect = true;
       return report;
     },
     {}},
};

const test_table kScenarioTests("outlier detector",
                                kScenarios,
                                std::function([](const scenario& row) {
                                  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
                                    service_model model(seed);
                                    model.Run(seconds(10), [](auto& each, int u, int r) {
                                      return each.Report(u, r, attempt_result::kSuccess);
                                    });
                                    model.Run(seconds(30), row.outcome);
                                    std::set<std::string> ejected;
                                    for (const auto& [upstream, at] : model.ejections) {
                                      ejected.insert(upstream);
                                    }
                                    std::string names;
                                    for (const std::string& each : ejected) {
                                      names += each + ' ';
                                    }
                                    CPPUNIT_ASSERT_MESSAGE(
                                        "seed " + std::to_string(seed) + " ejected " + names,
                                        ejected == row.faulty);
                                  }
                                }));

const test_table kTimeToDetect("outlier detector", "time to detect is reported", [] {
  for (const double share : {1.0, 0.5}) {
    std::vector<double> times;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
      service_model model(seed);
      model.Run(seconds(10), [](auto& each, int u, int r) {
        return each.Report(u, r, attempt_result::kSuccess);
      });
      const steady_time begin = model.now;
      model.Run(seconds(20), [share](auto& each, int u, int r) {
        return each.Report(u, r,
                           RandomResult(each, u == 3 ? share : 0, attempt_result::kServerError));
      });
      CPPUNIT_ASSERT(!model.ejections.empty());
      times.push_back(std::chrono::duration<double>(model.ejections[0].second - begin).count());
    }
    std::sort(times.begin(), times.end());
    std::cout << "\ndetection at 17 requests/s per upstream, failing share " << share << ": median "
              << times[100] << " s, worst of 200 " << times.back() << " s" << std::endl;
  }
});

const test_table kReturnByTrials(
    "outlier detector",
    "an ejected upstream returns after successful trials only",
    [] {
      for (const bool has_recovered : {true, false}) {
        service_model model(5);
        bool is_faulty = true;
        const auto outcome = [&](service_model& each, int u, int r) {
          return each.Report(
              u, r, RandomResult(each, u == 3 && is_faulty ? 1 : 0, attempt_result::kServerError));
        };
        model.Run(seconds(5), outcome);
        CPPUNIT_ASSERT(model.detector.StateOf(Id(3)) == ejection_state::kEjected);
        is_faulty = !has_recovered;
        model.Run(seconds(8), outcome);
        CPPUNIT_ASSERT_EQUAL(has_recovered,
                             model.detector.StateOf(Id(3)) == ejection_state::kHealthy);
      }
    });

const test_table kEjectionTimes("outlier detector", "ejection times double up to 300 s", [] {
  CPPUNIT_ASSERT(EjectionTime(0) == seconds(5));
  CPPUNIT_ASSERT(EjectionTime(3) == seconds(40));
  CPPUNIT_ASSERT(EjectionTime(6) == seconds(300));
  CPPUNIT_ASSERT(EjectionTime(1000) == seconds(300));
});

const test_table kRestoredEjection("outlier detector",
                                   "a restored ejection lasts for its full duration",
                                   [] {
                                     outlier_detector detector;
                                     detector.Restore({"s", "u1", "i1", 1, "bad"}, kStart);
                                     detector.Advance(kStart + milliseconds(9'900));
                                     CPPUNIT_ASSERT(detector.StateOf(Id(1)) ==
                                                    ejection_state::kEjected);
                                     detector.Advance(kStart + seconds(10));
                                     CPPUNIT_ASSERT(detector.StateOf(Id(1)) ==
                                                    ejection_state::kTrial);
                                   });

// Whether the healthy capacity of a place is at or above the floor, a percentage of the announced
// capacity.
bool IsFloorRespected(const service_model& model, const std::string& place) {
  std::uint64_t announced = 0;
  std::uint64_t healthy = 0;
  std::uint64_t ready = 0;
  for (const upstream_capacity& each : model.capacities) {
    if (each.place != place) {
      continue;
    }
    announced += each.slots;
    ready += each.is_ready ? each.slots : 0;
    healthy += each.is_ready && model.detector.StateOf(each.id) == ejection_state::kHealthy
                   ? each.slots
                   : 0;
  }
  // Drains and losses alone may reduce the capacity below the floor; then nothing may be ejected.
  return healthy * 100 >= announced * model.floor || healthy == ready;
}

const test_table
    kFloor("outlier detector", "the floor is respected at every step of 300 random schedules", [] {
      std::size_t ejections = 0;
      for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        service_model model(seed);
        model.floor = static_cast<std::uint32_t>(model.random() % 101);
        for (upstream_capacity& each : model.capacities) {
          each.place = model.random() % 2 == 0 ? "north/a" : "north/b";
          each.slots = static_cast<std::uint32_t>(1 + model.random() % 6);
        }
        std::set<int> faulty;
        for (int step = 0; step < 200; ++step) {
          const int chosen = static_cast<int>(model.random() % kUpstreams);
          switch (model.random() % 4) {
            case 0:
              model.capacities[static_cast<std::size_t>(chosen)].is_ready = model.random() % 3 != 0;
              break;
            case 1:
              faulty.insert(chosen);
              break;
            case 2:
              faulty.erase(chosen);
              break;
            default:
              break;
          }
          model.detector.EnforceFloor(model.capacities, model.floor, model.now);
          for (int i = 0; i < 20; ++i) {
            model.Run(milliseconds(5), [&](auto& each, int u, int r) {
              return each.Report(
                  u, r,
                  RandomResult(each, faulty.contains(u) ? 0.8 : 0, attempt_result::kServerError));
            });
            for (const char* place : {"north/a", "north/b"}) {
              CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                     IsFloorRespected(model, place));
            }
          }
        }
        ejections += model.ejections.size();
      }
      CPPUNIT_ASSERT_MESSAGE("too few ejections to test the floor", ejections > 300);
    });

const test_table
    kNoFalseEjection("outlier detector", "ten hours of two per cent errors eject no upstream", [] {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        service_model model(seed);
        model.Run(std::chrono::minutes(30), [](auto& each, int u, int r) {
          return each.Report(u, r, RandomResult(each, 0.02, attempt_result::kServerError));
        });
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::size_t(0),
                                     model.ejections.size());
      }
    });

}  // namespace
}  // namespace corianderhoist
