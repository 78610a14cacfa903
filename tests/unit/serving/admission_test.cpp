// Admission: a withdrawn key is not admitted after the withdrawal bound, whatever replies the VM
// gets, and a valid request is not refused as invalid because the state of the VM is outdated.
#include "serving/admission.h"

#include "base/hash.h"
#include "serving/fleet_view.h"
#include "support/test_table.h"

#include <algorithm>
#include <cmath>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// Decodes test documents "VERSION KEY" into a policy with two routes and one workspace.
result<serving_policy> DecodeTestPolicy(std::string_view text) {
  const std::size_t space = text.find(' ');
  if (space == std::string_view::npos) {
    return Fail(error_kind::kInvalidRules, "no version");
  }
  serving_policy policy;
  policy.version = std::stoul(std::string(text.substr(0, space)));
  policy.services = {{"orders", "/health", 10}};
  policy_route keyed;
  keyed.name = "keyed";
  keyed.host = "shop.example";
  keyed.path_prefix = "/orders/";
  keyed.timeout = milliseconds(1000);
  keyed.parts = {{"orders", 1}};
  policy_route open = keyed;
  open.name = "open";
  open.path_prefix = "/open/";
  open.is_public = true;
  policy.routes = {keyed, open};
  policy.workspaces = {{"a", {std::string(text.substr(space + 1))}, 0, 10, 10}};
  policy.has_workspaces = true;
  return policy;
}

watch_reply Reply(std::uint64_t version,
                  const std::string& key,
                  std::uint64_t index,
                  milliseconds age) {
  watch_reply reply;
  reply.core_incarnation = 1;
  reply.changes.index = index;
  reply.changes.policy = {version, PackText(std::to_string(version) + " " + key)};
  reply.age = age;
  return reply;
}

struct decision_case {
  std::string name;
  milliseconds state_age;
  std::string path;
  std::string key;
  std::optional<error_kind> refusal;
};

constexpr auto kUnconfirmed = error_kind::kStateUnconfirmed;

const test_table kDecisions(
    "admission",
    std::vector<decision_case>{
        {"a known key", milliseconds(100), "/orders/1", "k", std::nullopt},
        {"an unknown key", milliseconds(100), "/orders/1", "x", error_kind::kKeyUnknown},
        {"no key", milliseconds(100), "/orders/1", "", error_kind::kKeyMissing},
        {"no route", milliseconds(100), "/other/", "k", error_kind::kNoRoute},
        {"an open route needs no key", milliseconds(100), "/open/1", "", std::nullopt},
        {"the lease is valid for three fifths of the bound", milliseconds(3000), "/orders/1", "k",
         std::nullopt},
        {"the lease expires before the bound", milliseconds(4900), "/orders/1", "k", kUnconfirmed},
        {"an open route is served without a lease", milliseconds(60'000), "/open/1", "",
         std::nullopt},
        {"an unknown key may be new", milliseconds(2300), "/orders/1", "x", kUnconfirmed},
        {"an unknown route may be new", milliseconds(2300), "/other/", "k", kUnconfirmed},
    },
    std::function([](const decision_case& row) {
      manual_clock clock;
      fleet_view view(DecodeTestPolicy);
      view.Apply(Reply(1, "k", 1, milliseconds(0)), clock.Now(), clock.Now());
      const admission admission_control({}, view, clock);
      clock.Advance(row.state_age);
      const std::string key = row.key;
      const auto decision =
          admission_control.Decide({"shop.example", row.path, key.empty() ? nullptr : &key});
      CPPUNIT_ASSERT(decision.refusal == row.refusal);
      if (decision.refusal) {
        CPPUNIT_ASSERT_MESSAGE("refused requests have the outcome not run",
                               AnswerFor(*decision.refusal).outcome == request_outcome::kNotRun);
      }
    }));

const test_table
    kNoPolicy("admission", "without a policy every request is refused as unconfirmed", [] {
      manual_clock clock;
      fleet_view view(DecodeTestPolicy);
      const admission admission_control({}, view, clock);
      CPPUNIT_ASSERT(admission_control.Decide({"shop.example", "/other/", nullptr}).refusal ==
                     kUnconfirmed);
      CPPUNIT_ASSERT(!admission_control.HasValidLease());
    });

// The lease starts when the state was complete, not when the reply arrived: a call that was held or
// delayed, or a reply from an outdated state, must not prolong it.
struct lease_case {
  std::string name;
  milliseconds round_trip;  ///< From the call to its reply.
  milliseconds held;        ///< By the core VM.
  milliseconds age;         ///< Of the core VM's state.
  milliseconds expected;    ///< Age of the state when the reply arrives.
};

const test_table kLeaseStart("lease",
                             std::vector<lease_case>{
                                 {"an immediate reply", milliseconds(2), milliseconds(0),
                                  milliseconds(0), milliseconds(2)},
                                 {"a call held until a change", milliseconds(402),
                                  milliseconds(400), milliseconds(0), milliseconds(2)},
                                 {"a delayed reply", milliseconds(3000), milliseconds(0),
                                  milliseconds(0), milliseconds(3000)},
                                 {"a core VM with outdated state", milliseconds(2), milliseconds(0),
                                  milliseconds(700), milliseconds(702)},
                             },
                             std::function([](const lease_case& row) {
                               manual_clock clock;
                               fleet_view view(DecodeTestPolicy);
                               const steady_time sent = clock.Now();
                               clock.Advance(row.round_trip);
                               watch_reply reply = Reply(1, "k", 1, row.age);
                               reply.held = row.held;
                               view.Apply(reply, sent, clock.Now());
                               CPPUNIT_ASSERT(clock.Now() - view.FreshAt() == row.expected);
                             }));

const test_table kOlderCore("view",
                            "a reply with older state reverts nothing and renews no lease",
                            [] {
                              manual_clock clock;
                              fleet_view view(DecodeTestPolicy);
                              view.Apply(Reply(2, "new", 9, milliseconds(0)), clock.Now(),
                                         clock.Now());
                              const steady_time fresh_at = view.FreshAt();
                              clock.Advance(milliseconds(1000));
                              watch_reply older = Reply(1, "old", 7, milliseconds(0));
                              older.core_incarnation = 2;
                              view.Apply(older, clock.Now(), clock.Now());
                              CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), view.Policy()->Version());
                              CPPUNIT_ASSERT(view.FreshAt() == fresh_at);
                              CPPUNIT_ASSERT(view.Policy()->FindWorkspace("old") == nullptr);
                            });

const test_table kInvalidPolicy("view", "an unreadable policy does not replace the former one", [] {
  manual_clock clock;
  fleet_view view(DecodeTestPolicy);
  view.Apply(Reply(1, "k", 1, milliseconds(0)), clock.Now(), clock.Now());
  watch_reply bad = Reply(2, "k", 2, milliseconds(0));
  bad.changes.policy.packed_text = "not packed";
  view.Apply(bad, clock.Now(), clock.Now());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), view.Policy()->Version());
});

upstream_entry Entry(upstream_handle handle, const std::string& id, upstream_state state) {
  upstream_entry entry;
  entry.handle = handle;
  entry.id = id;
  entry.address = "10.0.0." + std::to_string(handle) + ":80";
  entry.service = "orders";
  entry.state = state;
  entry.changed_index = handle;
  return entry;
}

std::string ReadyIds(const fleet_view& view) {
  std::string ids;
  for (const known_upstream* upstream : view.UpstreamsOf("orders")) {
    ids += upstream->entry.id;
  }
  return ids;
}

const test_table kRoster("view", "draining, gone and replaced upstreams get no requests", [] {
  manual_clock clock;
  fleet_view view(DecodeTestPolicy);
  watch_reply reply = Reply(1, "k", 5, milliseconds(0));
  reply.changes.is_whole_roster = true;
  reply.changes.upstreams = {Entry(1, "a", upstream_state::kReady),
                             Entry(2, "b", upstream_state::kReady),
                             Entry(3, "c", upstream_state::kDraining)};
  view.Apply(reply, clock.Now(), clock.Now());
  CPPUNIT_ASSERT_EQUAL(std::string("ab"), ReadyIds(view));
  CPPUNIT_ASSERT(!view.Find(1)->is_added_after_start);
  view.MarkReplaced(1);
  CPPUNIT_ASSERT_EQUAL(std::string("b"), ReadyIds(view));
  watch_reply news = Reply(1, "k", 6, milliseconds(0));
  news.changes.upstreams = {Entry(2, "b", upstream_state::kGone),
                            Entry(4, "d", upstream_state::kReady)};
  view.Apply(news, clock.Now(), clock.Now());
  CPPUNIT_ASSERT_EQUAL(std::string("d"), ReadyIds(view));
  CPPUNIT_ASSERT(view.Find(4)->is_added_after_start);
});

watch_reply ReplyWithShareOf(std::uint32_t per_mille) {
  watch_reply reply = Reply(1, "k", 1, milliseconds(0));
  shared_limits limits;
  limits.workspaces = {{"a", per_mille, 0}};
  reply.limits = {limits};
  return reply;
}

// Guards against admitted requests that come in groups, and against drift from the share.
const test_table kAdmittedShare("rate", "the admitted share of requests is evenly spread", [] {
  for (std::uint64_t seed = 0; seed < 8; ++seed) {
    manual_clock clock;
    fleet_view view(DecodeTestPolicy);
    view.Apply(ReplyWithShareOf(250), clock.Now(), clock.Now());
    admission admission_control({.seed = seed}, view, clock);
    const policy_workspace& workspace = view.Policy()->Policy().workspaces[0];
    std::string pattern;
    for (int i = 0; i < 12; ++i) {
      pattern += admission_control.TakeRate(workspace) ? 'x' : '.';
    }
    const std::size_t first = pattern.find('x');
    CPPUNIT_ASSERT_MESSAGE(pattern, first < 4);
    std::string expected(12, '.');
    expected[first] = expected[first + 4] = expected[first + 8] = 'x';
    CPPUNIT_ASSERT_EQUAL(expected, pattern);
  }
});

struct one_request_case {
  std::string name;
  std::vector<std::uint32_t> per_mille;  ///< Shares in turn; each VM gets one request under each.
};

// With a remainder that starts at zero the first request is refused at every VM: a workspace with
// one request at each of 110 VMs gets nothing at a share of 0.9.
const test_table kOneRequestAtEachVm(
    "rate of one request at each VM",
    std::vector<one_request_case>{
        {"a share of 0.9", {900}},
        {"a share of 0.5", {500}},
        {"a share of 0.1", {100}},
        {"a share that falls and rises while the remainder is held", {900, 300, 980, 1000, 620}}},
    std::function([](const one_request_case& row) {
      constexpr int kManyVms = 400;
      manual_clock clock;
      fleet_view view(DecodeTestPolicy);
      view.Apply(ReplyWithShareOf(1000), clock.Now(), clock.Now());
      std::vector<admission> admission_controls;
      admission_controls.reserve(kManyVms);
      for (int i = 0; i < kManyVms; ++i) {
        admission_controls.emplace_back(
            admission_settings{.seed = FastHash("vm" + std::to_string(i))}, view, clock);
      }
      const policy_workspace& workspace = view.Policy()->Policy().workspaces[0];
      for (const std::uint32_t per_mille : row.per_mille) {
        view.Apply(ReplyWithShareOf(per_mille), clock.Now(), clock.Now());
        const auto admitted = std::count_if(
            admission_controls.begin(), admission_controls.end(),
            [&](admission& admission_control) { return admission_control.TakeRate(workspace); });
        const double share = per_mille / 1000.0;
        const double four_deviations = 4 * std::sqrt(kManyVms * share * (1 - share));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(kManyVms * share, static_cast<double>(admitted),
                                     four_deviations);
      }
    }));

// A disconnected VM does not know how many repeats the others send. If it does not treat the budget
// as low, the VMs together exceed it (bench day hunt-b387-7: 270 repeats, 215 allowed).
const test_table kUnreachableCore("view", "the repeat budget is low while no core VM replies", [] {
  manual_clock clock;
  fleet_view view(DecodeTestPolicy);
  view.Apply(Reply(1, "k", 1, milliseconds(0)), clock.Now(), clock.Now());
  CPPUNIT_ASSERT(!view.IsRepeatBudgetLow("orders", clock.Now()));
  clock.Advance(milliseconds(1000));
  CPPUNIT_ASSERT(view.IsRepeatBudgetLow("orders", clock.Now()));
  CPPUNIT_ASSERT(!view.AreLimitsCurrent(clock.Now()));
});

// Ten VMs with one view, of a workspace with a rate of 10 a second and a burst of 10.
constexpr std::size_t kVms = 10;

std::vector<admission> MakeAdmissions(const fleet_view& view, const clock_source& clock) {
  std::vector<admission> made;
  for (std::size_t i = 0; i < kVms; ++i) {
    made.emplace_back(admission_settings{.seed = FastHash(std::to_string(i))}, view, clock);
  }
  return made;
}

watch_reply ReplyWithShare(std::uint32_t per_mille) {
  watch_reply reply = Reply(1, "k", 1, milliseconds(0));
  shared_limits limits;
  limits.active_vms = kVms;
  if (per_mille < 1000) {
    limits.workspaces = {{"a", per_mille, 0}};
  }
  reply.limits = {limits};
  return reply;
}

struct lost_cores_case {
  std::string name;
  std::uint32_t per_mille;  ///< Admitted share in the last reply of a core VM.
  int level;                ///< Admitted by each VM in the last window before the loss.
  int max_first_admitted;   ///< Admitted in the first 100 ms by all ten VMs.
  int min_admitted;         ///< In 10 s.
  int max_admitted;         ///< In 10 s.
};

// The core VMs are lost when the window is nearly used up. If each VM then starts with a token, the
// sum exceeds the rate (deploy/days/rates-without-core.toml, 32 VMs: 156 requests, 145 allowed).
const test_table kAfterLoss(
    "rate without core VMs",
    std::vector<lost_cores_case>{{"not limited before", 1000, 0, 10, 80, 110},
                                 {"limited before, with callers elsewhere", 500, 0, 1, 0, 110},
                                 {"limited before, at its level", 500, 6, 30, 80, 132}},
    std::function([](const lost_cores_case& row) {
      manual_clock clock;
      fleet_view view(DecodeTestPolicy);
      watch_reply reply = ReplyWithShare(1000);
      view.Apply(reply, clock.Now(), clock.Now());
      std::vector<admission> admission_controls = MakeAdmissions(view, clock);
      const policy_workspace& workspace = view.Policy()->Policy().workspaces[0];
      for (int i = 0; i < row.level; ++i) {
        for (admission& admission_control : admission_controls) {
          CPPUNIT_ASSERT(admission_control.TakeRate(workspace));
        }
        clock.Advance(milliseconds(800));
        view.Apply(reply, clock.Now(), clock.Now());
      }
      view.Apply(ReplyWithShare(row.per_mille), clock.Now(), clock.Now());
      clock.Advance(milliseconds(2000));
      int first_admitted = 0;
      int admitted = 0;
      sliding_count in_window;
      for (int i = 0; i < 1000; ++i) {  // Each VM gets 100 requests a second for 10 s.
        clock.Advance(milliseconds(10));
        for (admission& admission_control : admission_controls) {
          const bool is_admitted = admission_control.TakeRate(workspace);
          admitted += is_admitted ? 1 : 0;
          in_window.Add(is_admitted ? 1 : 0, clock.Now());
        }
        first_admitted = i == 9 ? admitted : first_admitted;
        // Rate 10 a second, burst 10, 10 % excess.
        CPPUNIT_ASSERT(in_window.Sum(milliseconds(5000), clock.Now()) <= 66);
      }
      CPPUNIT_ASSERT_MESSAGE(std::to_string(first_admitted),
                             first_admitted <= row.max_first_admitted);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted),
                             admitted >= row.min_admitted && admitted <= row.max_admitted);
    }));

// The rate limit must also hold in a window that began before the core VMs were lost (same day,
// seeds 829619800017 and 861807851847: 417 requests, 390 allowed, and 149 requests, 145 allowed).
// Callers are hashed to VMs, so a VM may need far more than an equal part of the rate (incident
// inc-f484).
struct window_case {
  std::string name;
  std::uint32_t per_mille;   ///< Admitted share in the last reply of a core VM.
  int vms_with_load;         ///< Out of ten.
  int requests_before;       ///< Sent to these VMs before the loss; all are admitted.
  milliseconds time_before;  ///< Duration of the requests before the loss.
  int load_per_second;       ///< Requests a second to these VMs after the loss.
  int min_admitted;          ///< Admitted in 4 s after the loss.
  int max_in_window;         ///< Admitted in the window of 5 s before and after the loss.
};

const test_table kWindowAfterLoss(
    "rate without core VMs",
    std::vector<window_case>{
        // Rate 10 a second, burst 10, 10 % excess: 66 in 5 s.
        {"the window is used up", 0, 10, 60, milliseconds(600), 1000, 0, 66},
        {"half of the window is used", 20, 10, 30, milliseconds(600), 1000, 0, 66},
        {"one VM has all callers, and their demand is unchanged", 1000, 1, 40, milliseconds(5000),
         8, 20, 66},
        {"three VMs have all callers, and their demand is unchanged", 1000, 3, 30,
         milliseconds(5000), 6, 18, 66},
    },
    std::function([](const window_case& row) {
      manual_clock clock;
      fleet_view view(DecodeTestPolicy);
      watch_reply reply = ReplyWithShare(1000);
      view.Apply(reply, clock.Now(), clock.Now());
      std::vector<admission> admission_controls = MakeAdmissions(view, clock);
      const policy_workspace& workspace = view.Policy()->Policy().workspaces[0];
      const auto send = [&](int requests, milliseconds interval, bool is_disconnected) {
        int admitted = 0;
        for (int i = 0; i < requests; ++i) {
          clock.Advance(interval);
          if (!is_disconnected) {
            view.Apply(reply, clock.Now(), clock.Now());
          }
          admission& admission_control =
              admission_controls[static_cast<std::size_t>(i % row.vms_with_load)];
          admitted += admission_control.TakeRate(workspace) ? 1 : 0;
        }
        return admitted;
      };
      const int admitted_before =
          send(row.requests_before, row.time_before / row.requests_before, false);
      view.Apply(ReplyWithShare(row.per_mille), clock.Now(), clock.Now());
      constexpr int kDisconnectedSeconds = 4;
      const int admitted_after = send(row.load_per_second * kDisconnectedSeconds,
                                      milliseconds(1000) / row.load_per_second, true);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted_after), admitted_after >= row.min_admitted);
      const bool is_one_window = row.time_before < milliseconds(1000);
      CPPUNIT_ASSERT_MESSAGE(
          std::to_string(admitted_before + admitted_after),
          !is_one_window || admitted_before + admitted_after <= row.max_in_window);
    }));

}  // namespace
}  // namespace corianderhoist
