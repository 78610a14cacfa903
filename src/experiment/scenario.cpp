#include "experiment/scenario.h"

#include "settings/settings_reader.h"

#include <array>
#include <string_view>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::hours;
using std::chrono::milliseconds;

constexpr std::array<std::string_view, 10> kFaultKindNames = {
    "gray",     "slow",     "flapping",   "lying_load", "cold_wave",
    "shedding", "bad_link", "region_cut", "noisy",      "crash_request"};

milliseconds ReadTime(settings_reader& reader, std::string_view key, milliseconds fallback) {
  return duration_cast<milliseconds>(reader.Duration(key, milliseconds(0), hours(1), fallback));
}

int ReadInteger(settings_reader& reader,
                std::string_view key,
                int lowest,
                int highest,
                int fallback) {
  return static_cast<int>(reader.Integer(key, lowest, highest, fallback));
}

scenario_fault ReadFault(settings_reader& reader) {
  scenario_fault fault;
  const std::string kind = reader.OneOf(
      "kind", {kFaultKindNames[0], kFaultKindNames[1], kFaultKindNames[2], kFaultKindNames[3],
               kFaultKindNames[4], kFaultKindNames[5], kFaultKindNames[6], kFaultKindNames[7],
               kFaultKindNames[8], kFaultKindNames[9]});
  for (std::size_t i = 0; i < kFaultKindNames.size(); ++i) {
    if (kFaultKindNames[i] == kind) {
      fault.kind = static_cast<fault_kind>(i);
    }
  }
  fault.start = ReadTime(reader, "start", milliseconds(20'000));
  fault.end = ReadTime(reader, "end", milliseconds(50'000));
  fault.percent = ReadInteger(reader, "percent", 0, 100, 50);
  fault.factor = ReadInteger(reader, "factor", 1, 100, 1);
  fault.target = ReadInteger(reader, "target", 0, 1000, 0);
  if (fault.end <= fault.start) {
    reader.AddFault("end", "must be later than start");
  }
  reader.CheckUnknownKeys();
  return fault;
}

}  // namespace

bool MakesUpstreamFaulty(fault_kind kind) {
  return kind == fault_kind::kGray || kind == fault_kind::kSlow || kind == fault_kind::kFlapping;
}

result<scenario> ParseScenario(const std::string& json) {
  BOOST_LEAF_AUTO(reader, settings_reader::FromText(json));
  scenario read;
  read.name = reader.String("name");
  read.seed = static_cast<std::uint32_t>(reader.Integer("seed", 0, 1'000'000'000, 1));
  read.duration = ReadTime(reader, "duration", read.duration);
  read.entry_vms = ReadInteger(reader, "entry_vms", 3, 1000, read.entry_vms);
  read.upstreams = ReadInteger(reader, "upstreams", 6, 1000, read.upstreams);
  read.slots = ReadInteger(reader, "slots", 1, 1000, read.slots);
  read.service_time = ReadTime(reader, "service_time", read.service_time);
  read.load_percent = ReadInteger(reader, "load_percent", 1, 100, read.load_percent);
  read.floor_percent = ReadInteger(reader, "floor_percent", 0, 100, read.floor_percent);
  for (settings_reader& each : reader.Objects("faults", true)) {
    read.faults.push_back(ReadFault(each));
  }
  reader.CheckUnknownKeys();
  BOOST_LEAF_CHECK(reader.Report());
  return read;
}

const std::vector<std::string>& BuiltInScenarios() {
  static const std::vector<std::string> kScenarios = {
      R"({"name":"none"})",
      R"({"name":"gray","faults":[{"kind":"gray","percent":50,"target":3}]})",
      R"({"name":"slow","faults":[{"kind":"slow","factor":8,"target":4}]})",
      R"({"name":"flapping","faults":[{"kind":"flapping","target":5}]})",
      R"({"name":"lying load","faults":[{"kind":"lying_load","percent":50}]})",
      R"({"name":"cold start wave","faults":[{"kind":"cold_wave","percent":50,"factor":4}]})",
      R"({"name":"shedding","faults":[{"kind":"shedding","percent":33}]})",
      R"({"name":"bad link","faults":[{"kind":"bad_link","percent":60,"target":2}]})",
      R"({"name":"region cut","faults":[{"kind":"region_cut","target":2}]})",
      R"({"name":"noisy workspace","faults":[{"kind":"noisy","factor":5,"target":1}]})",
      R"({"name":"crashing request","faults":[{"kind":"crash_request","target":1}]})",
      R"({"name":"gray and noisy","faults":[{"kind":"gray","percent":50,"target":3},
          {"kind":"noisy","factor":5,"target":1}]})",
      R"({"name":"gray and bad link","faults":[{"kind":"gray","percent":50,"target":3},
          {"kind":"bad_link","percent":60,"target":2}]})",
  };
  return kScenarios;
}

}  // namespace corianderhoist
