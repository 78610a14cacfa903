#include "rules/rule_line.h"

#include "base/duration.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxPathBytes = 512;
constexpr std::size_t kMaxCommentBytes = 200;
constexpr std::uint64_t kMaxRateOrBurst = 1'000'000'000;  // Requests per second, or requests.
constexpr std::uint64_t kMaxFloorPercent = 100;
constexpr milliseconds kMaxTimeout = std::chrono::minutes(10);
constexpr std::string_view kNameHint =
    "use 1 to 64 letters, digits, '.', '_' or '-', beginning with a letter or digit";

// A word of a rule line and its column, counted from 1.
struct word {
  std::string_view text;
  std::size_t column = 0;
};

bool IsAlphanumeric(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes && IsAlphanumeric(text.front()) &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return IsAlphanumeric(c) || c == '.' || c == '_' || c == '-'; });
}

std::string Quoted(std::string_view text) {
  return "'" + std::string(text) + "'";
}

std::vector<word> Split(std::string_view text, std::size_t column, std::string_view separators) {
  std::vector<word> words;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t end = std::min(text.find_first_of(separators, begin), text.size());
    words.push_back({text.substr(begin, end - begin), column + begin});
    begin = end + 1;
  }
  return words;
}

// Parses one line. Parsing continues after a fault, so that all faults of a line are reported.
class line_parser {
 public:
  line_parser(std::size_t number, std::vector<rules_fault>& faults)
      : number_(number), faults_(faults) {}

  std::optional<parsed_rule> Parse(std::string_view line) {
    const std::size_t before = faults_.size();
    const std::size_t hash = std::min(line.find('#'), line.size());
    if (!SplitWords(line.substr(0, hash)) || words_.empty()) {
      return std::nullopt;
    }
    ReadComment(line, hash);
    if (words_[0].text == "service") {
      ParseService();
    } else if (words_[0].text == "workspace") {
      ParseWorkspace();
    } else if (words_[0].text == "route") {
      ParseRoute();
    } else {
      Fault(words_[0].column, "unknown kind of rule " + Quoted(words_[0].text),
            "begin the line with service, workspace or route");
    }
    return faults_.size() == before ? std::optional(std::move(parsed_)) : std::nullopt;
  }

 private:
  void Fault(std::size_t column, std::string text, std::string remedy) {
    faults_.push_back({number_, column, std::move(text), std::move(remedy)});
  }

  bool SplitWords(std::string_view text) {
    for (std::size_t i = 0; i < text.size(); ++i) {
      const auto byte = static_cast<unsigned char>(text[i]);
      if (byte != '\t' && (byte < 0x20 || byte >= 0x7f)) {
        Fault(i + 1, "byte outside printable ASCII",
              "use printable ASCII before the comment and end lines with a line feed");
        return false;
      }
    }
    for (const word& each : Split(text, 1, " \t")) {
      if (!each.text.empty()) {
        words_.push_back(each);
      }
    }
    return true;
  }

  void ReadComment(std::string_view line, std::size_t hash) {
    std::string_view text = line.substr(std::min(hash + 1, line.size()));
    const std::size_t begin = std::min(text.find_first_not_of(' '), text.size());
    text.remove_prefix(begin);
    text = text.substr(0, text.find_last_not_of(' ') + 1);
    if (text.empty()) {
      Fault(hash + 1, "comment is missing", "end the line with '# NAME OF WHO ASKED FOR THE RULE'");
      return;
    }
    const bool has_control = std::any_of(text.begin(), text.end(), [](char c) {
      return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
    });
    if (has_control || text.size() > kMaxCommentBytes) {
      Fault(hash + 2 + begin, "comment has control characters or more than 200 bytes",
            "use at most 200 bytes of plain text and end lines with a line feed");
    }
    requested_by_ = text;
  }

  // Reads the word at `index` as a name.
  std::string ReadName(std::size_t index, std::string_view what) {
    if (index >= words_.size()) {
      Fault(words_.back().column + words_.back().text.size(), std::string(what) + " is missing",
            std::string(kNameHint));
      return {};
    }
    parsed_.name_column = words_[index].column;
    if (!IsName(words_[index].text)) {
      Fault(words_[index].column, Quoted(words_[index].text) + " is not a name",
            std::string(kNameHint));
    }
    return std::string(words_[index].text);
  }

  // Collects the "key=value" words from index `first` on. Keys that are not in `known`, a list with
  // a space around each key, and repeated keys are faults.
  void ReadAttributes(std::size_t first, std::string_view known) {
    for (std::size_t i = first; i < words_.size(); ++i) {
      const word& each = words_[i];
      const std::size_t equals = each.text.find('=');
      const std::string_view key = each.text.substr(0, std::min(equals, each.text.size()));
      const std::string padded = " " + std::string(key) + " ";
      if (equals == std::string_view::npos || known.find(padded) == std::string_view::npos) {
        Fault(
            each.column, "unknown word " + Quoted(each.text),
            "use KEY=VALUE with one of the keys" + std::string(known.substr(0, known.size() - 1)));
        continue;
      }
      if (FindAttribute(key) != nullptr) {
        Fault(each.column, Quoted(key) + " is given twice", "give it once");
        continue;
      }
      attributes_.push_back(
          {key, {each.text.substr(equals + 1), each.column + equals + 1}, each.column});
    }
  }

  struct attribute {
    std::string_view key;
    word value;
    std::size_t column;
  };

  const attribute* FindAttribute(std::string_view key) const {
    const auto found = std::find_if(attributes_.begin(), attributes_.end(),
                                    [&](const attribute& each) { return each.key == key; });
    return found == attributes_.end() ? nullptr : &*found;
  }

  const attribute* Require(std::string_view key, const std::string& example) {
    const attribute* found = FindAttribute(key);
    if (found == nullptr) {
      Fault(words_.back().column + words_.back().text.size(),
            "'" + std::string(key) + "' is missing", "add " + example);
    }
    return found;
  }

  std::uint64_t ReadNumber(std::string_view key,
                           std::string_view suffix,
                           std::uint64_t lowest,
                           std::uint64_t highest) {
    const std::string range = std::string(key) + "=N" + std::string(suffix) + " with N from " +
                              std::to_string(lowest) + " to " + std::to_string(highest);
    const attribute* found = Require(key, range);
    if (found == nullptr) {
      return lowest;
    }
    const std::string_view text = found->value.text;
    std::uint64_t number = 0;
    const auto [rest, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    const std::string_view tail = text.substr(static_cast<std::size_t>(rest - text.data()));
    if (status != std::errc() || tail != suffix || number < lowest || number > highest) {
      Fault(found->value.column, Quoted(text) + " is not a valid " + std::string(key),
            "write " + range);
    }
    return number;
  }

  std::vector<place> ReadPlaces(const attribute* found) {
    std::vector<place> places;
    if (found == nullptr) {
      return places;
    }
    for (const word& each : Split(found->value.text, found->value.column, ",")) {
      const std::size_t slash = each.text.find('/');
      const bool has_data_centre = slash != std::string_view::npos;
      const std::string_view region = each.text.substr(0, slash);
      const std::string_view data_centre = has_data_centre ? each.text.substr(slash + 1) : "";
      if (!IsName(region) || (has_data_centre && !IsName(data_centre))) {
        Fault(each.column, Quoted(each.text) + " is not a place",
              "write REGION or REGION/DATA_CENTRE, separated by commas");
        continue;
      }
      AddPlace(places, {std::string(region), std::string(data_centre)}, each);
      parsed_.regions.push_back({region, each.column});
    }
    return places;
  }

  void AddPlace(std::vector<place>& places, place added, const word& where) {
    for (const place& other : places) {
      if (other == added) {
        Fault(where.column, "place " + Quoted(where.text) + " is given twice", "give it once");
      } else if (other.region == added.region &&
                 (other.data_centre.empty() || added.data_centre.empty())) {
        Fault(where.column, "place " + Quoted(where.text) + " overlaps another place of the line",
              "name either the region or its data centres");
      }
    }
    places.push_back(std::move(added));
  }

  void ParseService() {
    service_rule value;
    value.name = ReadName(1, "name of the service");
    ReadAttributes(2, " floor ");
    value.floor_percent = static_cast<std::uint32_t>(ReadNumber("floor", "", 0, kMaxFloorPercent));
    value.requested_by = requested_by_;
    parsed_.value = std::move(value);
  }

  void ParseWorkspace() {
    workspace_rule value;
    value.name = ReadName(1, "name of the workspace");
    ReadAttributes(2, " places rate burst services ");
    value.places = ReadPlaces(Require("places", "places=REGION[/DATA_CENTRE],..."));
    value.rate_per_second = ReadNumber("rate", "/s", 1, kMaxRateOrBurst);
    value.burst = ReadNumber("burst", "", 1, kMaxRateOrBurst);
    value.services = ReadServices(FindAttribute("services"));
    value.requested_by = requested_by_;
    parsed_.value = std::move(value);
  }

  std::set<std::string> ReadServices(const attribute* found) {
    std::set<std::string> services;
    if (found == nullptr) {
      return services;
    }
    for (const word& each : Split(found->value.text, found->value.column, ",")) {
      if (ReadServiceName(each) && !services.emplace(each.text).second) {
        Fault(each.column, "service " + Quoted(each.text) + " is given twice", "give it once");
      }
    }
    return services;
  }

  bool ReadServiceName(const word& name) {
    if (!IsName(name.text)) {
      Fault(name.column, Quoted(name.text) + " is not a name", std::string(kNameHint));
      return false;
    }
    parsed_.services.push_back({name.text, name.column});
    return true;
  }

  void ParseRoute() {
    if (words_.size() < 3) {
      Fault(words_.back().column + words_.back().text.size(), "route is not complete",
            "write route METHODS PATH_PREFIX service=NAME");
      return;
    }
    route_rule value;
    parsed_.name_column = words_[1].column;
    value.methods = ReadMethods(words_[1]);
    ReadPath(value);
    ReadAttributes(3, " service access places run timeout ");
    if (const attribute* service = Require("service", "service=NAME")) {
      ReadServiceName(service->value);
      value.service = service->value.text;
    }
    ReadAccess(value);
    value.run = DefaultRun(value.methods);
    if (const attribute* run = FindAttribute("run")) {
      value.run =
          ReadChoice(*run, "idempotent", "once") ? route_run::kIdempotent : route_run::kOnce;
    }
    ReadTimeout(value);
    value.requested_by = requested_by_;
    parsed_.value = std::move(value);
  }

  std::set<std::string> ReadMethods(const word& list) {
    std::set<std::string> methods;
    const std::vector<std::string_view>& known = RouteMethods();
    for (const word& each : Split(list.text, list.column, ",")) {
      if (std::find(known.begin(), known.end(), each.text) == known.end()) {
        Fault(each.column, "unknown method " + Quoted(each.text),
              "use DELETE, GET, HEAD, OPTIONS, PATCH, POST or PUT, separated by commas");
      } else if (!methods.emplace(each.text).second) {
        Fault(each.column, "method " + Quoted(each.text) + " is given twice", "give it once");
      }
    }
    return methods;
  }

  // Requests are matched by their normalized path, so a prefix must be normalized as well.
  void ReadPath(route_rule& value) {
    const word& path = words_[2];
    value.path_prefix = path.text;
    const bool has_plain_bytes = std::all_of(path.text.begin(), path.text.end(), [](char c) {
      return IsAlphanumeric(c) ||
             std::string_view("-._~!$&'()*+,;=:@/").find(c) != std::string_view::npos;
    });
    if (path.text.front() != '/' || !has_plain_bytes || path.text.size() > kMaxPathBytes) {
      Fault(path.column, Quoted(path.text) + " is not a path prefix",
            "begin with '/' and use letters, digits and -._~!$&'()*+,;=:@ without percent escapes, "
            "at most 512 bytes");
      return;
    }
    if (path.text == "/") {
      return;
    }
    for (const word& segment : Split(path.text.substr(1), path.column + 1, "/")) {
      if (segment.text.empty() || segment.text == "." || segment.text == "..") {
        Fault(segment.column, "path prefix has an empty segment, '.' or '..'",
              "write whole segments without a '/' at the end, as in /orders/new");
      }
    }
  }

  // Returns whether the value is `first`. Values other than `first` and `second` are faults.
  bool ReadChoice(const attribute& found, std::string_view first, std::string_view second) {
    if (found.value.text != first && found.value.text != second) {
      Fault(found.value.column, "unknown value " + Quoted(found.value.text),
            "write " + std::string(found.key) + "=" + std::string(first) + " or " +
                std::string(found.key) + "=" + std::string(second));
    }
    return found.value.text == first;
  }

  void ReadAccess(route_rule& value) {
    const attribute* access = FindAttribute("access");
    if (access != nullptr && ReadChoice(*access, "open", "keyed")) {
      value.access = route_access::kOpen;
      value.places = ReadPlaces(Require("places", "places=REGION,... because the route is open"));
    } else if (const attribute* places = FindAttribute("places")) {
      Fault(places->column, "a keyed route cannot have places",
            "remove places (they come from the workspace) or write access=open");
    }
  }

  void ReadTimeout(route_rule& value) {
    const attribute* timeout = FindAttribute("timeout");
    if (timeout == nullptr) {
      return;
    }
    Recover(
        [&]() -> result<void> {
          BOOST_LEAF_AUTO(duration, ParseDuration(timeout->value.text));
          value.timeout = std::chrono::duration_cast<milliseconds>(duration);
          if (value.timeout != duration || value.timeout < milliseconds(1) ||
              value.timeout > kMaxTimeout) {
            return Fail(error_kind::kInvalidRules,
                        Quoted(timeout->value.text) + " is not a valid timeout");
          }
          return {};
        },
        [&](const error& failure) {
          Fault(timeout->value.column, failure.detail,
                "write a whole number of milliseconds from 1ms to 10m, as in timeout=2s");
        });
  }

  std::size_t number_;
  std::vector<rules_fault>& faults_;
  std::vector<word> words_;
  std::vector<attribute> attributes_;
  std::string requested_by_;
  parsed_rule parsed_;
};

}  // namespace

std::optional<parsed_rule> ParseRuleLine(std::string_view line,
                                         std::size_t number,
                                         std::vector<rules_fault>& faults) {
  return line_parser(number, faults).Parse(line);
}

}  // namespace corianderhoist
