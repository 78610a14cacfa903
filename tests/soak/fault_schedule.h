/// The faults of a soak run, drawn from a seed.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace corianderhoist::soak {

/// Time since the start of a run.
using run_time = std::chrono::milliseconds;

enum class fault_kind {
  kStopEntry,
  kReloadEntry,
  kStopCore,
  kLeave,
  kChange,
  kKillEntry,
  kPauseEntry,
  kKillCore,
  kPauseCore,
  kKillAllCores,
  kWipeCore,
  kDelayLink,
  kCutLink,
  kSilenceLink,
  kResetLink,
  kRefuse,
  kRepeatRefusal,
  kCutHead,
  kCutBody,
  kEndlessBytes,
  kExtraAnswer,
};

enum class fault_target { kEntry, kCore, kUpstream, kOperator };

struct fault_traits {
  fault_kind kind;
  std::string_view name;
  fault_target target;
  bool is_planned;  ///< Planned work, around which no request may be lost.
  run_time shortest;
  run_time longest;
};

/// Traits of all kinds, in the order of the enumeration.
const std::vector<fault_traits>& AllFaults();
const fault_traits& TraitsOf(fault_kind kind);

/// Parses a list of names separated by commas; "all" and "planned" name groups. Throws
/// `std::invalid_argument` for an unknown name.
std::vector<fault_kind> ParseFaultKinds(const std::string& names);

struct scheduled_fault {
  run_time begin{};
  fault_kind kind{};
  std::size_t target = 0;  ///< Taken modulo the number of targets.
  run_time duration{};     ///< Time until the restart, the resumption or the end of the fault.

  bool operator==(const scheduled_fault&) const = default;
};

/// Numbers that are equal on all platforms for equal seeds.
class seeded_numbers {
 public:
  explicit seeded_numbers(std::uint64_t seed) : engine_(seed) {}
  /// A number from 0 to `bound` - 1.
  std::uint64_t Below(std::uint64_t bound) { return engine_() % bound; }
  bool Chance(unsigned percent) { return Below(100) < percent; }

 private:
  std::mt19937_64 engine_;
};

/// Faults between `begin` and `end` in the order of their times. Some come in series of the same
/// target with less than a second between them.
std::vector<scheduled_fault> DrawSchedule(std::uint64_t seed,
                                          const std::vector<fault_kind>& kinds,
                                          run_time begin,
                                          run_time end);

}  // namespace corianderhoist::soak
