// Tests that admitted(t0, t1) <= rate x (t1 - t0) + burst for every window of true time, across
// leader changes, suspended leaders, clock drift and limit changes, and that requests within the
// rate are not refused.
#include "coordinator/token_bucket_table.h"
#include "support/test_table.h"

#include <algorithm>
#include <iostream>
#include <random>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

const steady_time kStart{std::chrono::hours(1)};
constexpr milliseconds kMaxWait(50);

// Checks the bound for every window that begins and ends with an admission. `limits[i]` applies
// from its time on; the burst of a window is the largest one that applies within it.
struct trace {
  struct limit_step {
    nanoseconds at;
    rate_limit limit;
  };
  std::vector<nanoseconds> admitted;
  std::vector<limit_step> limits;

  double Accrued(nanoseconds from, nanoseconds to) const {
    double tokens = 0;
    for (std::size_t i = 0; i < limits.size(); ++i) {
      const nanoseconds begin = std::max(from, limits[i].at);
      const nanoseconds end = i + 1 < limits.size() ? std::min(to, limits[i + 1].at) : to;
      if (end > begin) {
        tokens += static_cast<double>(limits[i].limit.rate_per_second) *
                  std::chrono::duration<double>(end - begin).count();
      }
    }
    return tokens;
  }
  double Burst(nanoseconds from, nanoseconds to) const {
    double burst = 0;
    for (std::size_t i = 0; i < limits.size(); ++i) {
      const bool has_ended = i + 1 < limits.size() && limits[i + 1].at <= from;
      if (!has_ended && limits[i].at <= to) {
        burst = std::max(burst, static_cast<double>(limits[i].limit.burst));
      }
    }
    return burst;
  }
  void Check(const std::string& where) {
    std::sort(admitted.begin(), admitted.end());
    for (std::size_t i = 0; i < admitted.size(); ++i) {
      for (std::size_t j = i; j < admitted.size(); ++j) {
        const double bound = Accrued(admitted[i], admitted[j]) + Burst(admitted[i], admitted[j]);
        // The tolerance covers floating-point rounding only.
        if (static_cast<double>(j - i + 1) > bound + 1e-6) {
          CPPUNIT_FAIL(where + ": " + std::to_string(j - i + 1) + " admitted in a window for " +
                       std::to_string(bound));
        }
      }
    }
  }
};

const test_table kBurst("token bucket", "admits the burst at once and then the rate", [] {
  token_bucket bucket({100, 20}, 20, 0, kStart);
  int taken = 0;
  while (bucket.TryTake(kStart, nanoseconds(0)).status == take_status::kTaken) {
    ++taken;
  }
  CPPUNIT_ASSERT_EQUAL(20, taken);
  int later = 0;
  for (int i = 1; i <= 10'000; ++i) {
    later += bucket.TryTake(kStart + milliseconds(i), nanoseconds(0)).status == take_status::kTaken;
  }
  // 10 s at 100/s, less 500 ppm.
  CPPUNIT_ASSERT(later >= 999 && later <= 1000);
});

const test_table kReservationOrder("token bucket",
                                   "tokens that accrue within 50 ms are reserved in order",
                                   [] {
                                     token_bucket bucket({100, 1}, 1, 0, kStart);
                                     CPPUNIT_ASSERT(bucket.TryTake(kStart, kMaxWait).status ==
                                                    take_status::kTaken);
                                     nanoseconds last(0);
                                     for (int i = 0; i < 4; ++i) {
                                       const take_result result = bucket.TryTake(kStart, kMaxWait);
                                       CPPUNIT_ASSERT(result.status == take_status::kReserved);
                                       CPPUNIT_ASSERT(result.wait - last >= milliseconds(10));
                                       last = result.wait;
                                     }
                                     CPPUNIT_ASSERT(bucket.TryTake(kStart, kMaxWait).status ==
                                                    take_status::kRefused);
                                   });

const test_table kGrants("token bucket", "bucket and grants together never exceed the burst", [] {
  token_bucket bucket({10, 50}, 50, 0, kStart);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(30), bucket.Grant(30, kStart, kStart + seconds(60)));
  CPPUNIT_ASSERT_EQUAL(std::int64_t(20), bucket.Tokens(kStart + seconds(30)));
  bucket.Settle(30, 10, kStart + seconds(30));
  CPPUNIT_ASSERT_EQUAL(std::int64_t(30), bucket.Tokens(kStart + seconds(30)));
});

const test_table
    kExpiredGrant("token bucket", "an expired grant counts as used up to its expiry", [] {
      token_bucket bucket({10, 50}, 50, 0, kStart);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(50), bucket.Grant(80, kStart, kStart + seconds(10)));
      // The holder may have used the whole grant just before its expiry, so nothing accrues until
      // then.
      CPPUNIT_ASSERT_EQUAL(std::int64_t(9), bucket.Tokens(kStart + milliseconds(10'999)));
      bucket.Settle(50, 50, kStart + milliseconds(10'999));
      CPPUNIT_ASSERT_EQUAL(std::int64_t(9), bucket.Tokens(kStart + milliseconds(10'999)));
    });

const test_table kGuarantee("token bucket", "the level stays above the committed guarantee", [] {
  token_bucket bucket({1, 100}, 100, 75, kStart);
  int taken = 0;
  while (bucket.TryTake(kStart, kMaxWait).status == take_status::kTaken) {
    ++taken;
  }
  CPPUNIT_ASSERT_EQUAL(25, taken);
  CPPUNIT_ASSERT(bucket.TryTake(kStart, kMaxWait).status == take_status::kCheckpoint);
  const auto lower = bucket.ProposeGuarantee(kStart, false);
  CPPUNIT_ASSERT(lower.has_value() && *lower < 75);
  CPPUNIT_ASSERT_MESSAGE("a proposal took effect before its commit",
                         bucket.TryTake(kStart, kMaxWait).status == take_status::kCheckpoint);
  bucket.OnCommitted(*lower);
  CPPUNIT_ASSERT(bucket.TryTake(kStart, kMaxWait).status == take_status::kTaken);
});

// A leader whose clock runs at `speed` relative to true time; `now` is true time.
struct leader {
  double speed = 1;
  token_bucket bucket;
  nanoseconds froze_at{0};

  steady_time Local(nanoseconds now) const {
    return kStart +
           nanoseconds(static_cast<std::int64_t>(static_cast<double>(now.count()) * speed));
  }
};

// A random schedule of admissions, proposals, leader changes and limit changes. A new leader starts
// with the guarantee that former leaders committed.
struct schedule {
  explicit schedule(std::uint64_t seed) : random(seed) {}

  double Speed() { return 1 + std::uniform_real_distribution<double>(-0.0005, 0.00049)(random); }
  std::int64_t Pick(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random);
  }

  void Run() {
    rate_limit limit{static_cast<std::uint64_t>(Pick(1, 400)),
                     static_cast<std::uint64_t>(Pick(1, 60))};
    merged.limits.push_back({nanoseconds(0), limit});
    std::uint64_t committed = DefaultGuarantee(limit);
    leader current{Speed(), token_bucket(limit, limit.burst, committed, kStart)};
    nanoseconds now(0);
    for (int step = 0; step < 600; ++step) {
      now += nanoseconds(Pick(0, 12'000'000));
      const steady_time local = current.Local(now);
      const take_result taken = current.bucket.TryTake(local, kMaxWait);
      if (taken.status == take_status::kTaken) {
        merged.admitted.push_back(now);
      } else if (taken.status == take_status::kReserved) {
        // True time at which the clock of the leader has advanced by the wait.
        merged.admitted.push_back(
            now + nanoseconds(static_cast<std::int64_t>(static_cast<double>(taken.wait.count()) /
                                                        current.speed) +
                              1));
      }
      if (Pick(0, 9) < 6) {
        if (const auto tokens = current.bucket.ProposeGuarantee(local, Pick(0, 3) == 0)) {
          const bool is_committed = Pick(0, 9) > 0;
          if (is_committed) {
            committed = *tokens;
            current.bucket.OnCommitted(*tokens);
          } else {
            current.bucket.OnProposalFailed(*tokens);
            committed = Pick(0, 1) == 0 ? *tokens : committed;  // Either may be committed.
          }
        }
      }
      if (Pick(0, 99) < 2) {
        const auto last = merged.admitted.empty() ? now : std::max(now, merged.admitted.back());
        now = std::max(now, last);  // Reservations of the former leader end within its lease.
        leader next{Speed(), current.bucket};
        next.bucket = token_bucket(limit, committed, committed, next.Local(now));
        current = next;
      } else if (Pick(0, 99) < 2) {
        const rate_limit changed{static_cast<std::uint64_t>(Pick(1, 400)),
                                 static_cast<std::uint64_t>(Pick(1, 60))};
        // After the last admission, which falls under the former limit.
        now =
            std::max(now, merged.admitted.empty() ? now : merged.admitted.back()) + nanoseconds(1);
        committed = std::min(committed, DefaultGuarantee(changed));
        current.bucket.ChangeLimit(changed, committed, current.Local(now));
        limit = changed;
        merged.limits.push_back({now, changed});
      }
    }
  }

  std::mt19937_64 random;
  trace merged;
};

const test_table kSchedules("token bucket",
                            "the bound holds in 1000 random schedules of leader and limit changes",
                            [] {
                              for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
                                schedule run(seed);
                                run.Run();
                                run.merged.Check("seed " + std::to_string(seed));
                              }
                            });

// Number of requests within the limit, as admitted by a reference bucket without leader changes,
// and how many of them were refused.
struct refusal_count {
  int within = 0;
  int refused = 0;
};

refusal_count RefusedAfterChange(bool has_guarantee, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap(4.0);  // 4/s of 10/s, burst 10
  const rate_limit limit{10, 10};
  token_bucket reference(limit, 10, 0, kStart);
  token_bucket bucket(limit, 10, DefaultGuarantee(limit), kStart);
  std::uint64_t committed = DefaultGuarantee(limit);
  refusal_count count;
  double at = 0;
  double next_change = 30;
  while (at < 600) {
    at += gap(random);
    // One arrival in five is a burst of four requests, like a page with several parts.
    const int requests = random() % 5 == 0 ? 4 : 1;
    const steady_time now = kStart + nanoseconds(static_cast<std::int64_t>(at * 1e9));
    if (at >= next_change) {
      next_change += 30;
      const std::uint64_t tokens = has_guarantee ? committed : 0;
      committed = tokens;
      bucket = token_bucket(limit, tokens, tokens, now - milliseconds(100));
    }
    for (int i = 0; i < requests; ++i) {
      if (reference.TryTake(now, kMaxWait).status == take_status::kRefused) {
        continue;
      }
      ++count.within;
      take_result taken = bucket.TryTake(now, kMaxWait);
      if (const auto tokens = bucket.ProposeGuarantee(now, true)) {
        committed = *tokens;
        bucket.OnCommitted(*tokens);
        if (taken.status == take_status::kCheckpoint) {
          taken = bucket.TryTake(now, kMaxWait);
        }
      }
      count.refused +=
          taken.status == take_status::kRefused || taken.status == take_status::kCheckpoint;
    }
  }
  return count;
}

const test_table kRefusalsAfterLeaderChange(
    "token bucket",
    "guaranteed tokens avoid most refusals that empty buckets cause after a change of leader",
    [] {
      refusal_count empty;
      refusal_count guaranteed;
      for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const refusal_count a = RefusedAfterChange(false, seed);
        const refusal_count b = RefusedAfterChange(true, seed);
        empty.within += a.within;
        empty.refused += a.refused;
        guaranteed.within += b.within;
        guaranteed.refused += b.refused;
      }
      std::cout << "\nrefused within the rate with a leader change every 30 s: empty buckets "
                << empty.refused << " of " << empty.within << ", guaranteed tokens "
                << guaranteed.refused << " of " << guaranteed.within << std::endl;
      CPPUNIT_ASSERT(guaranteed.refused * 2 < empty.refused);
    });

const test_table kNoRefusalWithinRate(
    "token bucket",
    "no request within the rate is refused while the leader stays the same",
    [] {
      std::mt19937_64 random(7);
      token_bucket bucket({100, 40}, 40, DefaultGuarantee({100, 40}), kStart);
      token_bucket reference({100, 40}, 40, 0, kStart);
      int within = 0;
      int refused = 0;
      double at = 0;
      std::exponential_distribution<double> gap(110);  // Offered load slightly above the rate.
      while (at < 600) {
        at += gap(random);
        const steady_time now = kStart + nanoseconds(static_cast<std::int64_t>(at * 1e9));
        if (reference.TryTake(now, kMaxWait).status == take_status::kRefused) {
          continue;
        }
        ++within;
        // The log commits a proposal before the next request.
        take_result taken = bucket.TryTake(now, kMaxWait);
        if (const auto tokens = bucket.ProposeGuarantee(now, false)) {
          bucket.OnCommitted(*tokens);
          if (taken.status == take_status::kCheckpoint) {
            taken = bucket.TryTake(now, kMaxWait);
          }
        }
        refused +=
            taken.status == take_status::kRefused || taken.status == take_status::kCheckpoint;
      }
      CPPUNIT_ASSERT(within > 50'000);
      CPPUNIT_ASSERT_EQUAL(0, refused);
    });

}  // namespace
}  // namespace corianderhoist
