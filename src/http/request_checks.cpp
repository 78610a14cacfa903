#include "http/request_checks.h"

#include <algorithm>
#include <array>

namespace corianderhoist {
namespace {

constexpr std::size_t kMaxHeaderFields = 100;
constexpr std::size_t kMaxMethodBytes = 32;
constexpr std::string_view kVersion = "HTTP/1.1";
constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
constexpr std::array<std::string_view, 10> kNonRepeatableFields = {"Host",
                                                                   "Content-Length",
                                                                   "Transfer-Encoding",
                                                                   "Content-Type",
                                                                   "Authorization",
                                                                   "Corianderhoist-Key",
                                                                   "Idempotency-Key",
                                                                   "Expect",
                                                                   "Content-Range",
                                                                   "Corianderhoist-Deadline-Ms"};

auto FailBadRequest(std::string text) {
  return Fail(error_kind::kBadRequest, std::move(text));
}

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool IsAlphaNumeric(char c) {
  return IsDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return IsAlphaNumeric(c) || kTokenPunctuation.find(c) != std::string_view::npos;
  });
}

bool IsVisible(char c) {
  return c > 0x20 && c < 0x7f;
}

bool IsFieldValueByte(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
}

int HexDigit(char c) {
  if (IsDigit(c)) {
    return c - '0';
  }
  const char lower = static_cast<char>(c | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

result<void> CheckRequestLine(std::string_view line) {
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first == std::string_view::npos || first == last) {
    return FailBadRequest("request line is not 'METHOD TARGET HTTP/1.1'");
  }
  const std::string_view method = line.substr(0, first);
  if (!IsToken(method) || method.size() > kMaxMethodBytes) {
    return FailBadRequest("method is not valid");
  }
  if (line.substr(last + 1) != kVersion) {
    return FailBadRequest("only HTTP/1.1 is served");
  }
  const std::string_view target = line.substr(first + 1, last - first - 1);
  if (!std::all_of(target.begin(), target.end(), IsVisible)) {
    return FailBadRequest("target contains a space, a control character or a byte above 0x7e");
  }
  return {};
}

result<void> CheckFieldLine(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) {
    return FailBadRequest("header name is not valid");
  }
  const std::string_view value = line.substr(colon + 1);
  if (!std::all_of(value.begin(), value.end(), IsFieldValueByte)) {
    return FailBadRequest("header value contains a control character");
  }
  return {};
}

// Checks one percent-encoded byte of a path; `rest` starts at the percent sign.
result<void> CheckEncodedByte(std::string_view rest) {
  const int high = rest.size() > 2 ? HexDigit(rest[1]) : -1;
  const int low = rest.size() > 2 ? HexDigit(rest[2]) : -1;
  if (high < 0 || low < 0) {
    return FailBadRequest("path contains an invalid percent encoding");
  }
  const auto byte = static_cast<unsigned char>(high * 16 + low);
  const auto letter = static_cast<char>(byte);
  // An encoded letter could hide a protected prefix from the route lookup, which does not decode
  // paths, but not from an upstream that does.
  const bool is_unreserved =
      IsAlphaNumeric(letter) || letter == '-' || letter == '.' || letter == '_' || letter == '~';
  const bool is_separator = letter == '/' || letter == '\\' || letter == ';' || letter == '%';
  if (is_unreserved || is_separator || byte < 0x20 || byte == 0x7f) {
    return FailBadRequest("path contains an encoded letter, separator or control character");
  }
  return {};
}

result<void> CheckSegment(std::string_view segment, bool is_last) {
  if (segment.empty() && !is_last) {
    return FailBadRequest("path contains an empty segment");
  }
  if (segment == "." || segment == "..") {
    return FailBadRequest("path contains a dot segment");
  }
  for (std::size_t i = 0; i < segment.size(); ++i) {
    const char c = segment[i];
    if (c == '\\' || c == ';' || c == '#') {
      return FailBadRequest("path contains a backslash, semicolon or fragment");
    }
    if (c == '%') {
      BOOST_LEAF_CHECK(CheckEncodedByte(segment.substr(i)));
    }
  }
  return {};
}

result<void> CheckFraming(const header_fields& headers) {
  const std::string* length = FindHeader(headers, "Content-Length");
  const std::string* coding = FindHeader(headers, "Transfer-Encoding");
  if (length && coding) {
    return FailBadRequest("request has both Content-Length and Transfer-Encoding");
  }
  if (length && (length->empty() || !std::all_of(length->begin(), length->end(), IsDigit))) {
    return FailBadRequest("Content-Length is not a number");
  }
  if (coding && !IsSameName(*coding, "chunked")) {
    return FailBadRequest("Transfer-Encoding is not 'chunked'");
  }
  return {};
}

}  // namespace

result<void> CheckPartialHead(std::string_view bytes) {
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const bool is_bare_feed = bytes[i] == '\n' && (i == 0 || bytes[i - 1] != '\r');
    const bool is_bare_return = bytes[i] == '\r' && i + 1 < bytes.size() && bytes[i + 1] != '\n';
    if (is_bare_feed || is_bare_return) {
      return FailBadRequest("line does not end with CRLF");
    }
    if (bytes[i] == '\0') {
      return FailBadRequest("header contains a NUL byte");
    }
  }
  return {};
}

result<void> CheckRawHead(std::string_view head) {
  BOOST_LEAF_CHECK(CheckPartialHead(head));
  std::size_t count = 0;
  while (!head.empty()) {
    const std::size_t end = head.find("\r\n");
    const std::string_view line = head.substr(0, end);
    head.remove_prefix(end == std::string_view::npos ? head.size() : end + 2);
    if (count == 0) {
      BOOST_LEAF_CHECK(CheckRequestLine(line));
    } else if (!line.empty()) {
      BOOST_LEAF_CHECK(CheckFieldLine(line));
    }
    if (++count > kMaxHeaderFields + 2) {
      return Fail(error_kind::kHeaderTooLarge, "more than 100 header fields");
    }
  }
  return {};
}

result<void> CheckTarget(std::string_view target) {
  if (target.empty() || target.front() != '/') {
    return FailBadRequest("target must be a path that begins with '/'");
  }
  if (target.find('#') != std::string_view::npos) {
    return FailBadRequest("target contains a fragment");
  }
  std::string_view rest = target.substr(1, target.find('?') - 1);
  while (true) {
    const std::size_t slash = rest.find('/');
    const bool is_last = slash == std::string_view::npos;
    BOOST_LEAF_CHECK(CheckSegment(rest.substr(0, slash), is_last));
    if (is_last) {
      return {};
    }
    rest.remove_prefix(slash + 1);
  }
}

result<void> CheckHeaders(const header_fields& headers) {
  for (const std::string_view name : kNonRepeatableFields) {
    if (CountHeaders(headers, name) > 1) {
      return FailBadRequest("header " + std::string(name) + " is repeated");
    }
  }
  if (!FindHeader(headers, "Host")) {
    return FailBadRequest("header Host is missing");
  }
  if (FindHeader(headers, "Upgrade") || HasToken(headers, "Connection", "upgrade")) {
    return FailBadRequest("protocol upgrades are not served");
  }
  const std::string* expect = FindHeader(headers, "Expect");
  if (expect && !IsSameName(*expect, "100-continue")) {
    return FailBadRequest("Expect is not '100-continue'");
  }
  return CheckFraming(headers);
}

}  // namespace corianderhoist
