// Choice of an upstream, and distribution of a split route over its parts.
#include "serving/placement.h"
#include "serving/request_flow.h"
#include "support/test_table.h"

#include <map>

namespace corianderhoist {
namespace {

placement_candidate Candidate(double failure,
                              network_distance distance = network_distance::kSameDataCentre) {
  placement_candidate candidate;
  candidate.failure = failure;
  candidate.relative_latency = 0.25;
  candidate.distance = distance;
  candidate.slots = 4;
  return candidate;
}

template <class Change>
placement_candidate With(placement_candidate candidate, Change change) {
  change(candidate);
  return candidate;
}

struct choice_case {
  std::string name;
  std::vector<placement_candidate> candidates;
  std::size_t chosen;
  placement_costs costs{1, 0.03, 0.25};
};

const test_table kChoices(
    "placement",
    std::vector<choice_case>{
        {"a nearby upstream",
         {Candidate(0.02, network_distance::kOtherRegion), Candidate(0.02)},
         1},
        {"a distant upstream instead of a failing one",
         {Candidate(0.7), Candidate(0.02, network_distance::kOtherRegion)},
         1},
        {"a nearby unknown upstream instead of a distant one",
         {Candidate(0.15), Candidate(0.02, network_distance::kOtherRegion)},
         0},
        {"another data centre instead of an unknown upstream",
         {Candidate(0.15), Candidate(0.02, network_distance::kSameRegion)},
         1},
        {"a failing nearby upstream when the request can be repeated",
         {Candidate(0.2), Candidate(0.02, network_distance::kOtherRegion)},
         0,
         {0.35, 0.03, 0.25}},
        {"an upstream with a free slot",
         {With(Candidate(0.02), [](auto& c) { c.running = 7; }),
          With(Candidate(0.02), [](auto& c) { c.running = 2; })},
         1},
        {"an idle upstream in another region instead of a long queue",
         {With(Candidate(0.02), [](auto& c) { c.running = 16; }),
          Candidate(0.02, network_distance::kOtherRegion)},
         1},
        {"a fast upstream",
         {With(Candidate(0.02), [](auto& c) { c.relative_latency = 1.5; }), Candidate(0.02)},
         1},
        {"a warm upstream instead of a cold one",
         {With(Candidate(0.02), [](auto& c) { c.is_cold = true; }), Candidate(0.02)},
         1},
        {"an upstream that still sends announcements",
         {With(Candidate(0.02), [](auto& c) { c.is_silent = true; }), Candidate(0.02)},
         1},
        {"a silent upstream instead of a failing one",
         {With(Candidate(0.02), [](auto& c) { c.is_silent = true; }), Candidate(0.3)},
         0},
        {"an upstream with an open connection",
         {Candidate(0.02), With(Candidate(0.02), [](auto& c) { c.has_connection = true; })},
         1,
         {1, 0.03, 0.25, 0.05}},
        {"a healthy upstream instead of an open connection",
         {Candidate(0.02), With(Candidate(0.15), [](auto& c) { c.has_connection = true; })},
         0,
         {1, 0.03, 0.25, 0.05}},
        {"an upstream that is due for a trial comes first",
         {Candidate(0.02), With(Candidate(0.6), [](auto& c) { c.is_trial_due = true; })},
         1},
        {"the best of several failing upstreams", {Candidate(0.7), Candidate(0.6)}, 1},
    },
    std::function([](const choice_case& row) {
      std::mt19937_64 random(1);
      for (int i = 0; i < 50; ++i) {
        const auto chosen = ChooseUpstream(row.candidates, row.costs, random);
        CPPUNIT_ASSERT(chosen.has_value());
        CPPUNIT_ASSERT_EQUAL(row.chosen, *chosen);
      }
    }));

const test_table kNone("placement", "nothing is chosen without candidates", [] {
  std::mt19937_64 random(1);
  CPPUNIT_ASSERT(!ChooseUpstream({}, {}, random));
});

const test_table kSpread("placement", "equal upstreams share requests by their slots", [] {
  std::mt19937_64 random(1);
  std::vector<placement_candidate> candidates(3, Candidate(0.02));
  candidates[2].slots = 8;
  std::map<std::size_t, int> counts;
  for (int i = 0; i < 4000; ++i) {
    ++counts[*ChooseUpstream(candidates, {}, random)];
  }
  CPPUNIT_ASSERT(counts[0] > 850 && counts[0] < 1150);
  CPPUNIT_ASSERT(counts[2] > 1850 && counts[2] < 2150);
});

/// A request of which the upstream nearby fails with a probability and a distant one does not.
struct transfer_case {
  std::string name;
  double failure;
  double kilobytes;
  network_distance chosen;
};

// Orders of 4 KB with answers of 0.4 KB went to other data centres as if they cost nothing, because
// only the bytes of answers were counted; the traffic took up to half of the value of a day.
const test_table kTransfers(
    "transfer cost",
    std::vector<transfer_case>{
        {"a small read avoids a doubtful upstream", 0.15, 1, network_distance::kSameRegion},
        {"a large order accepts a doubtful upstream", 0.15, 4.6, network_distance::kSameDataCentre},
        {"a large order avoids a failing upstream", 0.8, 4.6, network_distance::kSameRegion},
    },
    std::function([](const transfer_case& row) {
      constexpr cost_range kRange{0.007, 0.09};
      placement_costs costs;
      costs.other_data_centre = AssumedCostPerKilobyte(kRange) * row.kilobytes;
      std::mt19937_64 random(1);
      const std::vector<placement_candidate> candidates = {
          Candidate(row.failure), Candidate(0, network_distance::kSameRegion)};
      const auto chosen = ChooseUpstream(candidates, costs, random);
      CPPUNIT_ASSERT(candidates.at(*chosen).distance == row.chosen);
    }));

// The largest loss of assuming `assumed` over all true costs in the range and excess losses nearby.
double LargestRegret(double assumed, cost_range range) {
  double largest = 0;
  constexpr int kSteps = 40;
  for (int i = 0; i <= kSteps; ++i) {
    const double cost = range.least + (range.most - range.least) * i / kSteps;
    for (int j = 0; j <= 2 * kSteps; ++j) {
      const double excess = range.most * j / kSteps;
      const double taken = excess < assumed ? excess : cost;
      largest = std::max(largest, taken - std::min(excess, cost));
    }
  }
  return largest;
}

const test_table kRegret("transfer cost", "no other cost has a smaller largest regret", [] {
  for (const cost_range range : {cost_range{0.007, 0.09}, {0.055, 0.09}, {0.01, 0.01}}) {
    const double own = LargestRegret(AssumedCostPerKilobyte(range), range);
    for (int i = 0; i <= 20; ++i) {
      const double other = range.least + (range.most - range.least) * i / 20;
      CPPUNIT_ASSERT(own <= LargestRegret(other, range) + 0.002);
    }
  }
});

struct split_case {
  std::string name;
  std::vector<std::uint32_t> weights;
};

// A VM gets few requests, so the share of each part must follow its weight over short runs.
const test_table kSplit("split",
                        std::vector<split_case>{
                            {"one part", {1}},
                            {"90 to 10", {90, 10}},
                            {"two equal parts", {1, 1}},
                            {"three parts", {50, 30, 20}},
                        },
                        std::function([](const split_case& row) {
                          policy_route route;
                          double total = 0;
                          for (std::size_t i = 0; i < row.weights.size(); ++i) {
                            route.parts.push_back({std::to_string(i), row.weights[i]});
                            total += row.weights[i];
                          }
                          for (const double start : {0.0, 0.31, 0.77}) {
                            std::map<std::string, int> counts;
                            double position = start;
                            constexpr int kRequests = 100;
                            for (int i = 0; i < kRequests; ++i) {
                              ++counts[ChoosePart(route, position).service];
                            }
                            for (const route_part& part : route.parts) {
                              const double share = counts[part.service] / double(kRequests);
                              CPPUNIT_ASSERT_DOUBLES_EQUAL(part.weight / total, share, 0.03);
                            }
                          }
                        }));

const test_table kDistance("place", "distance follows data centres and regions", [] {
  const vm_place place{"a1", "a", {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}}};
  CPPUNIT_ASSERT(place.DistanceTo("a1") == network_distance::kSameDataCentre);
  CPPUNIT_ASSERT(place.DistanceTo("a2") == network_distance::kSameRegion);
  CPPUNIT_ASSERT(place.DistanceTo("b1") == network_distance::kOtherRegion);
  CPPUNIT_ASSERT_MESSAGE("unknown", place.DistanceTo("x") == network_distance::kOtherRegion);
});

}  // namespace
}  // namespace corianderhoist
