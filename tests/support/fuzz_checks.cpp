#include "support/fuzz_checks.h"

#include "http/answer_reader.h"
#include "http/request_reader.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace corianderhoist {
namespace {

constexpr request_limits kLimits{4096, 4096};

struct read_result {
  std::string error;
  bool is_complete = false;
  std::string head;
  std::string body;
  std::size_t unread_bytes = 0;

  bool operator==(const read_result&) const = default;

  // Readers wait for `kMinChunkedRemainderBytes` bytes, so one split may report a fault in the last
  // bytes while another still waits for more. Neither result is a complete message then.
  bool IsConsistentWith(const read_result& other) const {
    if (!is_complete && !other.is_complete && (error.empty() || other.error.empty())) {
      return true;
    }
    return *this == other;
  }
};

void CheckProperty(bool holds, const char* property) {
  if (!holds) {
    throw std::logic_error(property);
  }
}

void CheckAccepted(const http_request& request) {
  CheckProperty(request.target.starts_with('/'), "target begins with a slash");
  CheckProperty(request.path.find("//") == std::string::npos, "no empty segment");
  CheckProperty((request.path + "/").find("/../") == std::string::npos, "no dot segment");
  CheckProperty(request.path.find_first_of(";\\#") == std::string::npos,
                "no separator in the path");
  CheckProperty(request.body.size() <= kLimits.body_bytes, "body within its limit");
  CheckProperty(CountHeaders(request.headers, "Host") == 1, "one host");
  CheckProperty(CountHeaders(request.headers, "Content-Length") +
                        CountHeaders(request.headers, "Transfer-Encoding") <=
                    1,
                "one framing");
  for (const header_field& field : request.headers) {
    const std::string both = field.name + field.value;
    CheckProperty(both.find_first_of(std::string_view("\r\n\0", 3)) == std::string::npos,
                  "no line break in a header");
  }
}

read_result ReadRequest(std::string_view bytes, std::size_t step) {
  request_reader reader(kLimits);
  read_result parsed;
  std::string buffer;
  std::size_t at = 0;
  for (; at < bytes.size() && parsed.error.empty() && !parsed.is_complete; at += step) {
    buffer += bytes.substr(at, step);
    parsed.is_complete = Recover(
        [&]() -> result<bool> {
          BOOST_LEAF_AUTO(progress, reader.Read(buffer));
          return progress == request_reader::progress::kComplete;
        },
        [&](const error& failure) {
          parsed.error = AnswerFor(failure.kind).name;
          return false;
        });
    CheckProperty(buffer.size() <= kLimits.header_bytes + step + 4096, "bounded buffer");
  }
  if (parsed.is_complete) {
    const http_request request = reader.Take();
    CheckAccepted(request);
    parsed.head = request.method + " " + request.target;
    for (const header_field& field : request.headers) {
      parsed.head += "\n" + field.name + ":" + field.value;
    }
    parsed.body = request.body;
    parsed.unread_bytes = buffer.size() + bytes.size() - std::min(at, bytes.size());
  }
  return parsed;
}

read_result ReadAnswer(std::string_view bytes, std::size_t step) {
  answer_reader reader(false);
  read_result parsed;
  std::string buffer;
  std::optional<std::uint64_t> length;
  reader.on_head = [&](const answer_head& head) {
    parsed.head = std::to_string(head.status);
    length = head.length;
  };
  reader.on_body = [&](std::string_view part) { parsed.body += part; };
  std::size_t at = 0;
  for (; at < bytes.size() && parsed.error.empty() && !parsed.is_complete; at += step) {
    buffer += bytes.substr(at, step);
    parsed.is_complete = Recover([&] { return reader.Read(buffer); },
                                 [&](const error& failure) {
                                   parsed.error = AnswerFor(failure.kind).name;
                                   return false;
                                 });
  }
  if (parsed.is_complete) {
    const bool has_body = parsed.head != "204" && parsed.head != "304";
    CheckProperty(!length || !has_body || *length == parsed.body.size(),
                  "body has the length of its Content-Length");
    parsed.unread_bytes = buffer.size() + bytes.size() - std::min(at, bytes.size());
  } else {
    // The part of a malformed body that is read before the fault may depend on the split.
    parsed.body.clear();
    parsed.head.clear();
  }
  return parsed;
}

}  // namespace

void CheckRequestBytes(std::string_view bytes) {
  const read_result whole = ReadRequest(bytes, std::max<std::size_t>(1, bytes.size()));
  for (const std::size_t step : {std::size_t(1), std::size_t(13)}) {
    CheckProperty(whole.IsConsistentWith(ReadRequest(bytes, step)),
                  "request does not depend on how its bytes are split");
  }
}

void CheckAnswerBytes(std::string_view bytes) {
  const read_result whole = ReadAnswer(bytes, std::max<std::size_t>(1, bytes.size()));
  for (const std::size_t step : {std::size_t(1), std::size_t(13)}) {
    CheckProperty(whole.IsConsistentWith(ReadAnswer(bytes, step)),
                  "answer does not depend on how its bytes are split");
  }
}

}  // namespace corianderhoist
