// Guards against an entry VM that names a core VM which it only probed as its former one: that core
// VM is then taken to have lost more of its VMs than it has, so that what they admit is not
// reckoned with.
#include "serving/probe_reply.h"

#include "serving/fleet_view.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

watch_reply ReplyOf(std::uint64_t core_incarnation, std::uint64_t index, std::uint32_t per_mille) {
  watch_reply reply;
  reply.core_incarnation = core_incarnation;
  reply.changes.index = index;
  reply.changes.policy = {1, PackText("1")};
  reply.limits_revision = index;
  shared_limits limits;
  limits.workspaces = {{"a", per_mille, 0}};
  reply.limits = {limits};
  return reply;
}

const test_table kProbeReply("view", "a probe's reply changes the state and not the contact", [] {
  manual_clock clock;
  fleet_view view([](std::string_view) -> result<serving_policy> {
    serving_policy policy;
    policy.version = 1;
    return policy;
  });
  view.Apply(ReplyOf(1, 5, 500), clock.Now(), clock.Now());
  const steady_time level_at = view.LevelAt();
  clock.Advance(milliseconds(100));
  view.Apply(WithoutContact(ReplyOf(2, 6, 900), view.Known()), clock.Now(), clock.Now());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), view.Known().core_incarnation);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), view.Known().limits_revision);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), view.Known().roster_index);
  CPPUNIT_ASSERT_EQUAL(0.5, view.AdmittedShare("a"));
  CPPUNIT_ASSERT(view.LevelAt() == level_at);
  CPPUNIT_ASSERT(view.FreshAt() == clock.Now());
});

}  // namespace
}  // namespace corianderhoist
