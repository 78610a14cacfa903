#include "base/duration.h"
#include "rules/rule_line.h"

#include <algorithm>

namespace corianderhoist {
namespace {

constexpr std::size_t kReservedLineBytes = 120;

// Concatenates with one allocation in the usual case, because a snapshot formats a million lines.
template <class... Parts>
std::string Concatenate(const Parts&... parts) {
  std::string text;
  text.reserve(kReservedLineBytes);
  (text.append(parts), ...);
  return text;
}

template <class Texts>
std::string JoinTexts(const Texts& texts) {
  std::string joined;
  for (const auto& text : texts) {
    if (!joined.empty()) {
      joined += ',';
    }
    joined += text;
  }
  return joined;
}

std::string JoinPlaces(const std::vector<place>& places) {
  std::string joined;
  for (const place& each : places) {
    if (!joined.empty()) {
      joined += ',';
    }
    joined += each.region;
    if (!each.data_centre.empty()) {
      joined += '/' + each.data_centre;
    }
  }
  return joined;
}

}  // namespace

const std::vector<std::string_view>& RouteMethods() {
  static const std::vector<std::string_view> kMethods = {"DELETE", "GET",  "HEAD", "OPTIONS",
                                                         "PATCH",  "POST", "PUT"};
  return kMethods;
}

method_mask MaskOf(const std::set<std::string>& methods) {
  method_mask mask = 0;
  const std::vector<std::string_view>& known = RouteMethods();
  for (const std::string& method : methods) {
    const auto found = std::find(known.begin(), known.end(), method);
    mask |= found == known.end() ? 0U : 1U << (found - known.begin());
  }
  return mask;
}

std::vector<std::string> MethodsOf(method_mask mask) {
  std::vector<std::string> methods;
  for (const std::string_view method : RouteMethods()) {
    if ((mask & 1U) != 0) {
      methods.emplace_back(method);
    }
    mask >>= 1U;
  }
  return methods;
}

std::string route_rule::Id() const {
  return JoinTexts(methods) + ' ' + path_prefix;
}

route_run DefaultRun(const std::set<std::string>& methods) {
  const bool is_safe = std::all_of(methods.begin(), methods.end(), [](const std::string& method) {
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
  });
  return is_safe ? route_run::kIdempotent : route_run::kOnce;
}

std::string FormatRule(const service_rule& value) {
  return Concatenate("service ", value.name, " floor=", std::to_string(value.floor_percent), " # ",
                     value.requested_by);
}

std::string FormatRule(const workspace_rule& value) {
  std::string line = Concatenate("workspace ", value.name, " places=", JoinPlaces(value.places),
                                 " rate=", std::to_string(value.rate_per_second),
                                 "/s burst=", std::to_string(value.burst));
  if (!value.services.empty()) {
    line.append(" services=").append(JoinTexts(value.services));
  }
  return line.append(" # ").append(value.requested_by.Value());
}

std::string FormatRule(const route_rule& value) {
  std::string line = Concatenate("route ", value.Id(), " service=", value.service.Value());
  if (value.access == route_access::kOpen) {
    line.append(" access=open places=").append(JoinPlaces(value.places));
  }
  if (value.run != DefaultRun(value.methods)) {
    line += value.run == route_run::kOnce ? " run=once" : " run=idempotent";
  }
  if (value.timeout != kDefaultRouteTimeout) {
    line.append(" timeout=").append(FormatDuration(value.timeout));
  }
  return line.append(" # ").append(value.requested_by.Value());
}

}  // namespace corianderhoist
