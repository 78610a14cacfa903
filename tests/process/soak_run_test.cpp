// Short seeded soaks of the programs of the users' platform. Longer ones are started by hand with
// corianderhoist-soak. Seeds that broke a promise stay as rows.
#include "soak/soak_run.h"
#include "support/test_table.h"

#include <mutex>

namespace corianderhoist::soak {
namespace {

struct soak_case {
  std::string name;
  std::string faults;
  std::uint64_t seed = 0;
  run_time length{};
  std::size_t callers = 8;
};

const test_table kSeeds("soak",
                        std::vector<soak_case>{
                            {"planned work breaks no promise", "planned", 6, run_time(20'000)},
                            {"stops lose no request", "stop-entry", 2, run_time(18'000), 16},
                            {"faults of all kinds break no promise", "all", 3, run_time(20'000)},
                        },
                        std::function([](const soak_case& row) {
                          std::mutex lock;
                          std::string lines;
                          const soak_result result = RunSoak({.seed = row.seed,
                                                              .length = row.length,
                                                              .kinds = ParseFaultKinds(row.faults),
                                                              .callers = row.callers},
                                                             [&](const std::string& line) {
                                                               const std::lock_guard guard(lock);
                                                               lines += line + "\n";
                                                             });
                          CPPUNIT_ASSERT_MESSAGE(lines + result.summary + result.folder.string(),
                                                 result.findings.empty());
                        }));

}  // namespace
}  // namespace corianderhoist::soak
