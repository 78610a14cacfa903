#include "observe/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>

namespace corianderhoist {
namespace {

namespace accumulators = boost::accumulators;
using distribution = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count,
                        accumulators::tag::mean,
                        accumulators::tag::max,
                        accumulators::tag::extended_p_square_quantile>>;

constexpr std::array kQuantiles = {0.5, 0.9, 0.99, 0.999};
// The P-square estimator has no meaningful quantiles before its first samples have initialised it.
constexpr std::size_t kMinSamplesForQuantiles = 10;

template <class Map>
auto& FindOrAdd(Map& map, std::string_view name) {
  auto found = map.find(name);
  if (found == map.end()) {
    using value = typename Map::mapped_type::element_type;
    found = map.emplace(std::string(name), std::make_unique<value>()).first;
  }
  return *found->second;
}

}  // namespace

struct latency_metric::state {
  mutable std::mutex lock;
  distribution values{accumulators::extended_p_square_probabilities = kQuantiles};
};

latency_metric::latency_metric() : state_(std::make_unique<state>()) {}
latency_metric::~latency_metric() = default;

void latency_metric::Add(std::chrono::microseconds value) {
  const std::lock_guard guard(state_->lock);
  state_->values(static_cast<double>(value.count()));
}

QJsonObject latency_metric::Dump() const {
  const std::lock_guard guard(state_->lock);
  const distribution& values = state_->values;
  const auto count = accumulators::count(values);
  QJsonObject dump{{"count", static_cast<qint64>(count)}};
  if (count == 0) {
    return dump;
  }
  dump["mean_us"] = accumulators::mean(values);
  dump["max_us"] = (accumulators::max)(values);
  if (count >= kMinSamplesForQuantiles) {
    dump["p50_us"] = accumulators::quantile(values, accumulators::quantile_probability = 0.5);
    dump["p99_us"] = accumulators::quantile(values, accumulators::quantile_probability = 0.99);
  }
  return dump;
}

metrics& metrics::Instance() {
  static metrics instance;
  return instance;
}

counter& metrics::Counter(std::string_view name) {
  const std::lock_guard guard(lock_);
  return FindOrAdd(counters_, name);
}

latency_metric& metrics::Latency(std::string_view name) {
  const std::lock_guard guard(lock_);
  return FindOrAdd(latencies_, name);
}

QJsonObject metrics::Dump() const {
  const std::lock_guard guard(lock_);
  QJsonObject dump;
  for (const auto& [name, value] : counters_) {
    dump[QString::fromStdString(name)] = static_cast<qint64>(value->Value());
  }
  for (const auto& [name, value] : latencies_) {
    dump[QString::fromStdString(name)] = value->Dump();
  }
  return dump;
}

}  // namespace corianderhoist
