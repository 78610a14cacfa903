#include "soak/fault_schedule.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace corianderhoist::soak {
namespace {

constexpr std::uint64_t kMaxGapMs = 2500;
constexpr std::uint64_t kMaxSeriesGapMs = 900;
constexpr unsigned kSeriesPercent = 35;

}  // namespace

const std::vector<fault_traits>& AllFaults() {
  using enum fault_kind;
  using enum fault_target;
  static const std::vector<fault_traits> kTraits = {
      {kStopEntry, "stop-entry", kEntry, true, run_time(100), run_time(1500)},
      {kReloadEntry, "reload-entry", kEntry, true, run_time(0), run_time(0)},
      {kStopCore, "stop-core", kCore, true, run_time(100), run_time(1500)},
      {kLeave, "leave", kUpstream, true, run_time(0), run_time(0)},
      {kChange, "change", kOperator, true, run_time(0), run_time(0)},
      {kKillEntry, "kill-entry", kEntry, false, run_time(50), run_time(1500)},
      {kPauseEntry, "pause-entry", kEntry, false, run_time(300), run_time(6000)},
      {kKillCore, "kill-core", kCore, false, run_time(50), run_time(2000)},
      {kPauseCore, "pause-core", kCore, false, run_time(300), run_time(6000)},
      {kKillAllCores, "kill-all-cores", kCore, false, run_time(50), run_time(1000)},
      {kWipeCore, "wipe-core", kCore, false, run_time(100), run_time(1500)},
      {kDelayLink, "delay-link", kUpstream, false, run_time(500), run_time(5000)},
      {kCutLink, "cut-link", kUpstream, false, run_time(500), run_time(5000)},
      {kSilenceLink, "silence-link", kUpstream, false, run_time(500), run_time(5000)},
      {kResetLink, "reset-link", kUpstream, false, run_time(0), run_time(0)},
      {kRefuse, "refuse", kUpstream, false, run_time(500), run_time(4000)},
      {kRepeatRefusal, "repeat-refusal", kUpstream, false, run_time(500), run_time(4000)},
      {kCutHead, "cut-head", kUpstream, false, run_time(500), run_time(4000)},
      {kCutBody, "cut-body", kUpstream, false, run_time(500), run_time(4000)},
      {kEndlessBytes, "endless-bytes", kUpstream, false, run_time(300), run_time(1500)},
      {kExtraAnswer, "extra-answer", kUpstream, false, run_time(500), run_time(4000)},
  };
  return kTraits;
}

const fault_traits& TraitsOf(fault_kind kind) {
  return AllFaults()[static_cast<std::size_t>(kind)];
}

std::vector<fault_kind> ParseFaultKinds(const std::string& names) {
  std::vector<fault_kind> kinds;
  std::istringstream list(names);
  for (std::string name; std::getline(list, name, ',');) {
    const std::size_t before = kinds.size();
    for (const fault_traits& each : AllFaults()) {
      if (name == "all" || name == each.name || (name == "planned" && each.is_planned)) {
        kinds.push_back(each.kind);
      }
    }
    if (kinds.size() == before) {
      throw std::invalid_argument("unknown fault \"" + name + "\"");
    }
  }
  return kinds;
}

std::vector<scheduled_fault> DrawSchedule(std::uint64_t seed,
                                          const std::vector<fault_kind>& kinds,
                                          run_time begin,
                                          run_time end) {
  std::vector<scheduled_fault> schedule;
  if (kinds.empty()) {
    return schedule;
  }
  seeded_numbers numbers(seed);
  constexpr std::uint64_t kTargets = 1U << 20U;
  std::size_t target = 0;
  for (run_time at = begin; at < end;) {
    const fault_traits& traits = TraitsOf(kinds[numbers.Below(kinds.size())]);
    const bool continues_series = numbers.Chance(kSeriesPercent) && !schedule.empty();
    target = continues_series ? target : numbers.Below(kTargets);
    const auto spread = static_cast<std::uint64_t>((traits.longest - traits.shortest).count());
    schedule.push_back(
        {at, traits.kind, target, traits.shortest + run_time(numbers.Below(spread + 1))});
    at += run_time(numbers.Below(numbers.Chance(kSeriesPercent) ? kMaxSeriesGapMs : kMaxGapMs));
  }
  return schedule;
}

}  // namespace corianderhoist::soak
