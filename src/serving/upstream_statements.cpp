#include "serving/upstream_statements.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::ceil;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr int kServiceUnavailableStatus = 503;
constexpr std::string_view kWhitespace = " \t";
// More than a fleet sends to one upstream.
constexpr std::int64_t kMaxPerKilosecond = 1'000'000'000;
constexpr std::size_t kMaxKeptValueBytes = 64;  // Of an invalid value, for the log.
// The clocks of VM and upstream may run at different rates.
constexpr int kClockRateTolerance = 1000;  // One part in this many.
// VMs that were turned away together return within this part of the time, one after another.
constexpr int kReturnSpreadDivisor = 4;
constexpr milliseconds kMaxReturnSpread(2000);

std::string_view Trimmed(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(kWhitespace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kWhitespace) - begin + 1);
}

// The elements of all fields with the name; each field is a list (RFC 9110, 5.3).
std::vector<std::string_view> Elements(const header_fields& headers, std::string_view name) {
  std::vector<std::string_view> elements;
  for (const header_field& field : headers) {
    if (!IsSameName(field.name, name)) {
      continue;
    }
    std::string_view rest = field.value;
    for (std::size_t comma = 0; comma != std::string_view::npos;) {
      comma = rest.find(',');
      elements.push_back(Trimmed(rest.substr(0, comma)));
      rest.remove_prefix(comma == std::string_view::npos ? rest.size() : comma + 1);
    }
  }
  return elements;
}

bool IsDigits(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

// Reads a decimal number, rounded up to thousandths and cut to `max`.
std::optional<std::int64_t> ReadThousandths(std::string_view text, std::int64_t max) {
  const std::size_t point = text.find('.');
  const std::string_view whole = text.substr(0, point);
  const std::string_view fraction =
      point == std::string_view::npos ? std::string_view("0") : text.substr(point + 1);
  if (!IsDigits(whole) || !IsDigits(fraction)) {
    return std::nullopt;
  }
  constexpr std::int64_t kThousand = 1000;
  std::int64_t units = 0;
  const auto parsed = std::from_chars(whole.data(), whole.data() + whole.size(), units);
  if (parsed.ec != std::errc() || units >= max / kThousand) {
    return max;
  }
  constexpr std::size_t kThousandthDigits = 3;
  std::int64_t thousandths = 0;
  for (std::size_t i = 0; i < kThousandthDigits; ++i) {
    thousandths = thousandths * 10 + (i < fraction.size() ? fraction[i] - '0' : 0);
  }
  const bool has_remainder =
      fraction.find_first_not_of('0', kThousandthDigits) != std::string_view::npos;
  return units * kThousand + thousandths + (has_remainder ? 1 : 0);
}

// Reads seconds with an optional fraction, rounded up to milliseconds.
std::optional<milliseconds> ReadSeconds(std::string_view text) {
  const auto thousandths = ReadThousandths(text, milliseconds(kMaxClosedTime).count());
  return thousandths ? std::optional(milliseconds(*thousandths)) : std::nullopt;
}

}  // namespace

upstream_statement ReadStatement(const answer_head& head, const statement_header_names& names) {
  upstream_statement statement;
  const auto note_invalid = [&statement](std::string_view value) {
    statement.invalid_values.emplace_back(value.substr(0, kMaxKeptValueBytes));
  };
  for (const std::string_view value : Elements(head.headers, names.leaving)) {
    if (value == "1") {
      statement.is_leaving = true;
    } else if (value != "0") {
      note_invalid(value);
    }
  }
  for (const std::string_view value : Elements(head.headers, names.limit)) {
    if (const auto limit = ReadThousandths(value, kMaxPerKilosecond)) {
      const auto lowest = statement.limit_per_kilosecond.value_or(kMaxPerKilosecond);
      statement.limit_per_kilosecond = std::min<std::uint64_t>(lowest, *limit);
    } else {
      note_invalid(value);
    }
  }
  if (head.status != kServiceUnavailableStatus) {
    return statement;
  }
  for (const std::string_view value : Elements(head.headers, names.retry_after)) {
    if (const auto time = ReadSeconds(value)) {
      statement.closed_for = std::max(statement.closed_for, *time);
    } else {
      note_invalid(value);
    }
  }
  return statement;
}

upstream_incarnation IncarnationOf(const upstream_entry& entry) {
  return {.id = entry.id,
          .started = std::chrono::sys_time<milliseconds>(milliseconds(entry.incarnation_start_ms)),
          .handle = entry.incarnation_start_ms == 0 ? entry.handle : 0};
}

upstream_statements::upstream_statements(const clock_source& clock, std::uint64_t seed)
    : clock_(clock), random_(seed) {}

bool upstream_statements::Note(const upstream_incarnation& incarnation,
                               const upstream_statement& statement) {
  if (statement.IsEmpty()) {
    return false;
  }
  const steady_time now = clock_.Now();
  const auto [found, is_new] = records_.try_emplace(incarnation);
  record& entry = found->second;
  if (is_new) {
    entry.first_heard = now;
  }
  entry.last_heard = now;
  entry.invalid_values += statement.invalid_values.size();
  bool has_changed = statement.is_leaving && !std::exchange(entry.is_leaving, true);
  if (statement.closed_for.count() > 0) {
    const nanoseconds spread =
        std::min<nanoseconds>(statement.closed_for / kReturnSpreadDivisor, kMaxReturnSpread);
    const nanoseconds delay(
        std::uniform_int_distribution<std::int64_t>(0, spread.count())(random_));
    const steady_time opens_at = now + statement.closed_for +
                                 nanoseconds(statement.closed_for) / kClockRateTolerance + delay;
    has_changed = has_changed || opens_at > entry.opens_at;
    entry.opens_at = std::max(entry.opens_at, opens_at);
  }
  if (records_.size() > kMaxRecords) {
    DropOldest();
  }
  return has_changed;
}

bool upstream_statements::MaySend(const upstream_incarnation& incarnation) const {
  const auto found = records_.find(incarnation);
  return found == records_.end() || !found->second.IsClosed(clock_.Now());
}

void upstream_statements::NoteKeptAway(const upstream_incarnation& incarnation) {
  const auto found = records_.find(incarnation);
  if (found != records_.end()) {
    ++found->second.kept_away;
  }
}

bool upstream_statements::IsLeaving(const upstream_incarnation& incarnation) const {
  const auto found = records_.find(incarnation);
  return found != records_.end() && found->second.is_leaving;
}

std::optional<milliseconds> upstream_statements::TimeUntilOpen(
    const upstream_incarnation& incarnation) const {
  const auto found = records_.find(incarnation);
  if (found == records_.end()) {
    return milliseconds(0);
  }
  if (found->second.is_leaving) {
    return std::nullopt;
  }
  return std::max(milliseconds(0), ceil<milliseconds>(found->second.opens_at - clock_.Now()));
}

void upstream_statements::Sweep() {
  const steady_time now = clock_.Now();
  std::erase_if(records_, [now](const auto& item) { return !item.second.IsClosed(now); });
}

void upstream_statements::DropOldest() {
  records_.erase(
      std::min_element(records_.begin(), records_.end(), [](const auto& left, const auto& right) {
        return left.second.last_heard < right.second.last_heard;
      }));
}

}  // namespace corianderhoist
