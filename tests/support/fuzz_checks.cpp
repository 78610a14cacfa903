#include "support/fuzz_checks.h"

#include "http/answer_reader.h"
#include "http/request_reader.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace corianderhoist {
namespace {

constexpr request_limits kLimits{4096, 4096};

struct outcome {
  std::string error;
  bool is_complete = false;
  std::string head;
  std::string body;
  std::size_t rest = 0;

  bool operator==(const outcome&) const = default;

  // A reader may see a fault in the last bytes that another split still holds back: the readers
  // wait for `kShortestChunkedRest` bytes. Then neither outcome is a complete message.
  bool Agrees(const outcome& other) const {
    if (!is_complete && !other.is_complete && (error.empty() || other.error.empty())) {
      return true;
    }
    return *this == other;
  }
};

void Demand(bool holds, const char* property) {
  if (!holds) {
    throw std::logic_error(property);
  }
}

void CheckAccepted(const http_request& request) {
  Demand(request.target.starts_with('/'), "target begins with a slash");
  Demand(request.path.find("//") == std::string::npos, "no empty segment");
  Demand((request.path + "/").find("/../") == std::string::npos, "no dot segment");
  Demand(request.path.find_first_of(";\\#") == std::string::npos, "no separator in the path");
  Demand(request.body.size() <= kLimits.body_bytes, "body within its limit");
  Demand(CountHeaders(request.headers, "Host") == 1, "one host");
  Demand(CountHeaders(request.headers, "Content-Length") +
                 CountHeaders(request.headers, "Transfer-Encoding") <=
             1,
         "one framing");
  for (const header_field& field : request.headers) {
    const std::string both = field.name + field.value;
    Demand(both.find_first_of(std::string_view("\r\n\0", 3)) == std::string::npos,
           "no line end in a header");
  }
}

outcome ReadRequest(std::string_view bytes, std::size_t step) {
  request_reader reader(kLimits);
  outcome seen;
  std::string buffer;
  std::size_t at = 0;
  for (; at < bytes.size() && seen.error.empty() && !seen.is_complete; at += step) {
    buffer += bytes.substr(at, step);
    seen.is_complete = Recover(
        [&]() -> result<bool> {
          BOOST_LEAF_AUTO(progress, reader.Read(buffer));
          return progress == request_reader::progress::kComplete;
        },
        [&](const error& failure) {
          seen.error = AnswerFor(failure.kind).name;
          return false;
        });
    Demand(buffer.size() <= kLimits.header_bytes + step + 4096, "bounded buffer");
  }
  if (seen.is_complete) {
    const http_request request = reader.Take();
    CheckAccepted(request);
    seen.head = request.method + " " + request.target;
    for (const header_field& field : request.headers) {
      seen.head += "\n" + field.name + ":" + field.value;
    }
    seen.body = request.body;
    seen.rest = buffer.size() + bytes.size() - std::min(at, bytes.size());
  }
  return seen;
}

outcome ReadAnswer(std::string_view bytes, std::size_t step) {
  answer_reader reader(false);
  outcome seen;
  std::string buffer;
  std::optional<std::uint64_t> length;
  reader.on_head = [&](const answer_head& head) {
    seen.head = std::to_string(head.status);
    length = head.length;
  };
  reader.on_body = [&](std::string_view part) { seen.body += part; };
  std::size_t at = 0;
  for (; at < bytes.size() && seen.error.empty() && !seen.is_complete; at += step) {
    buffer += bytes.substr(at, step);
    seen.is_complete = Recover([&] { return reader.Read(buffer); },
                               [&](const error& failure) {
                                 seen.error = AnswerFor(failure.kind).name;
                                 return false;
                               });
  }
  if (seen.is_complete) {
    const bool has_body = seen.head != "204" && seen.head != "304";
    Demand(!length || !has_body || *length == seen.body.size(), "body has its announced length");
    seen.rest = buffer.size() + bytes.size() - std::min(at, bytes.size());
  } else {
    // How much of a broken body was seen before the fault may depend on the blocks.
    seen.body.clear();
    seen.head.clear();
  }
  return seen;
}

}  // namespace

void CheckRequestBytes(std::string_view bytes) {
  const outcome whole = ReadRequest(bytes, std::max<std::size_t>(1, bytes.size()));
  for (const std::size_t step : {std::size_t(1), std::size_t(13)}) {
    Demand(whole.Agrees(ReadRequest(bytes, step)), "the same request however its bytes are split");
  }
}

void CheckAnswerBytes(std::string_view bytes) {
  const outcome whole = ReadAnswer(bytes, std::max<std::size_t>(1, bytes.size()));
  for (const std::size_t step : {std::size_t(1), std::size_t(13)}) {
    Demand(whole.Agrees(ReadAnswer(bytes, step)), "the same answer however its bytes are split");
  }
}

}  // namespace corianderhoist
