// Seeded schedules of the lease for keyed requests: withdrawals of keys, combined with replies of
// core VMs that are late, held, reordered or outdated, and with entry VMs that are suspended.
#include "serving/admission.h"
#include "serving/fleet_view.h"
#include "support/test_table.h"

#include <random>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWithdrawalBound(5000);
constexpr milliseconds kDuration(40'000);

// Decodes a document that is the version of the policy and also its only key.
result<serving_policy> DecodeKeyOnly(std::string_view text) {
  serving_policy policy;
  policy.version = std::stoul(std::string(text));
  policy.services = {{"orders", "/health", 10}};
  policy_route route;
  route.host = "shop.example";
  route.path_prefix = "/";
  route.parts = {{"orders", 1}};
  policy.routes = {route};
  policy.workspaces = {{"a", {std::string(text)}, 0, 10, 10}};
  policy.has_workspaces = true;
  return policy;
}

class lease_schedule {
 public:
  explicit lease_schedule(std::uint64_t seed)
      : random_(seed), clock_rate_(0.99 + 0.0001 * static_cast<double>(random_() % 200)) {}

  /// Returns the number of requests that were admitted.
  int Run() {
    acknowledged_.push_back(milliseconds(0));  // By version, from 1.
    while (now_ < kDuration) {
      AdvanceTime(milliseconds(random_() % 40));
      if (random_() % 100 == 0) {
        acknowledged_.push_back(now_);  // A new key; the former one is withdrawn.
      }
      if (random_() % 300 == 0) {
        disconnected_until_ = now_ + milliseconds(random_() % 12'000);
      }
      if (random_() % 300 == 0) {
        AdvanceTime(milliseconds(random_() % 9000));  // The VM is suspended.
      }
      if (random_() % 4 == 0 && now_ > disconnected_until_) {
        SendWatch();
      }
      DeliverReplies();
      TryAllKeys();
    }
    return admitted_;
  }

 private:
  struct pending_reply {
    milliseconds arrives{};
    steady_time sent_at;
    watch_reply reply;
  };

  void AdvanceTime(milliseconds step) {
    now_ += step;
    clock_.Advance(std::chrono::duration_cast<std::chrono::nanoseconds>(step * clock_rate_));
  }

  // Newest version that was acknowledged at this time.
  std::uint64_t VersionAt(milliseconds time) const {
    return static_cast<std::uint64_t>(
        std::upper_bound(acknowledged_.begin(), acknowledged_.end(), time) - acknowledged_.begin());
  }

  // One core VM in four has outdated state, and reports its age.
  void SendWatch() {
    const milliseconds at_core = now_ + milliseconds(random_() % 60);
    const milliseconds held(random_() % 400);
    const milliseconds age(random_() % 4 == 0 ? random_() % 6000 : 0);
    const milliseconds made = at_core + held;
    const milliseconds as_of = std::max(made - age, milliseconds(0));
    pending_reply next;
    next.sent_at = clock_.Now();
    next.arrives = made + milliseconds(random_() % 8 == 0 ? random_() % 7000 : random_() % 60);
    const std::uint64_t version = std::max<std::uint64_t>(VersionAt(as_of), 1);
    next.reply.core_incarnation = 1;
    next.reply.changes.index = version;
    next.reply.changes.policy = {version, PackText(std::to_string(version))};
    next.reply.held = held;
    next.reply.age = age;
    // The reply need not include what is acknowledged while the call is in flight.
    in_flight_.push_back(next);
  }

  void DeliverReplies() {
    std::erase_if(in_flight_, [&](const pending_reply& each) {
      if (each.arrives > now_) {
        return false;
      }
      view_.Apply(each.reply, each.sent_at, clock_.Now());
      return true;
    });
  }

  // Tries every key that has ever been valid.
  void TryAllKeys() {
    for (std::size_t i = 0; i < acknowledged_.size(); ++i) {
      const std::string key = std::to_string(i + 1);
      if (admission_control_.Decide({"shop.example", "/", &key}).refusal) {
        continue;
      }
      ++admitted_;
      const bool is_withdrawn = i + 1 < acknowledged_.size();
      CPPUNIT_ASSERT_MESSAGE("key " + key + " is admitted " +
                                 std::to_string((now_ - acknowledged_.back()).count()) +
                                 " ms after its withdrawal",
                             !is_withdrawn || now_ - acknowledged_[i + 1] <= kWithdrawalBound);
    }
  }

  std::mt19937_64 random_;
  const double clock_rate_;  // Of the VM's clock, relative to real time.
  milliseconds now_{};
  manual_clock clock_;  // The VM's clock.
  fleet_view view_{DecodeKeyOnly};
  admission admission_control_{
      {kWithdrawalBound, milliseconds(2500), {.window = milliseconds(5000)}},
      view_,
      clock_};
  std::vector<milliseconds> acknowledged_;
  std::vector<pending_reply> in_flight_;
  milliseconds disconnected_until_{};
  int admitted_ = 0;
};

const test_table kSchedules("lease", "200 schedules (seeds 1 to 200)", [] {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    try {
      const int admitted = lease_schedule(seed).Run();
      CPPUNIT_ASSERT_MESSAGE("too few requests are admitted", admitted > 100);
    } catch (const CppUnit::Exception& failure) {
      CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " + failure.what());
    }
  }
});

}  // namespace
}  // namespace corianderhoist
