// The entry VM's choice of a core VM. Guards against VMs that stay with a distant core VM because
// they never hear of one that joined the group later.
#include "support/serving_fixture.h"
#include "support/test_table.h"

#include <thread>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

const test_table kLaterCore("fleet link", "a core VM that joins later is probed", [] {
  serving_fixture fixture;
  fake_core later(serving_fixture::PolicyDocument(), 1);
  fixture.Add("u1", "reads", [](const scripted_request& request) {
    return scripted_answer{SignedAnswer(request, 200, "ok")};
  });
  fixture.Core().SetCores({FormatEndpoint(fixture.Core().Address())});
  fixture.Start();
  std::this_thread::sleep_for(milliseconds(300));
  CPPUNIT_ASSERT_EQUAL(std::size_t(0), later.WatchCalls());
  fixture.Core().SetCores(
      {FormatEndpoint(fixture.Core().Address()), FormatEndpoint(later.Address())});
  for (int i = 0; i < 700 && later.WatchCalls() == 0; ++i) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  CPPUNIT_ASSERT(later.WatchCalls() > 0);
});

}  // namespace
}  // namespace corianderhoist
