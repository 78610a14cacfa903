#include "http/answer_reader.h"

#include "http/answer_head_text.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>

namespace corianderhoist {
namespace {

namespace beast_http = boost::beast::http;

constexpr std::size_t kMaxHeadBytes = 64UL << 10U;
constexpr std::size_t kMaxChunkLineBytes = 4096;
constexpr std::size_t kBodyBlockBytes = 64UL << 10U;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr int kMaxInterimAnswers = 8;
constexpr int kSwitchingProtocols = 101;
constexpr int kMinStatus = 100;
constexpr int kMinFinalStatus = 200;
constexpr int kMaxStatus = 599;

auto FailUpstreamBroken(std::string text) {
  return Fail(error_kind::kUpstreamBroken, std::move(text));
}

bool AnnouncesBody(const header_fields& headers) {
  const std::string* length = FindHeader(headers, "Content-Length");
  return (length != nullptr && *length != "0") || CountHeaders(headers, "Transfer-Encoding") > 0;
}

// Whether the body has a transfer coding besides chunks. The reader does not decode it, and the
// caller would not know of it, since the field is not passed on.
bool IsCoded(const header_fields& headers) {
  const std::string* coding = FindHeader(headers, "Transfer-Encoding");
  return coding != nullptr &&
         (CountHeaders(headers, "Transfer-Encoding") > 1 || !IsSameName(*coding, "chunked"));
}

}  // namespace

struct answer_reader::parser {
  beast_http::response_parser<beast_http::buffer_body> beast;
};

answer_reader::answer_reader(bool is_head_request, close_delimited_answers close_delimited)
    : is_head_request_(is_head_request), close_delimited_(close_delimited) {}

answer_reader::~answer_reader() = default;

result<bool> answer_reader::Read(std::string& buffer) {
  has_started_ = has_started_ || !buffer.empty();
  while (!is_head_complete_) {
    BOOST_LEAF_AUTO(has_progress, ReadHead(buffer));
    if (!has_progress) {
      return false;
    }
  }
  return ReadBody(buffer);
}

result<bool> answer_reader::ReadHead(std::string& buffer) {
  const std::size_t end = buffer.find(kHeadEnd);
  const std::size_t size = end == std::string::npos ? buffer.size() : end + kHeadEnd.size();
  if (size > kMaxHeadBytes) {
    return FailUpstreamBroken("header of the answer is too large");
  }
  if (end == std::string::npos) {
    return false;
  }
  parser_ = std::make_unique<parser>();
  auto& beast = parser_->beast;
  beast.header_limit(kMaxHeadBytes);
  beast.body_limit(boost::none);
  beast.skip(is_head_request_);
  boost::system::error_code code;
  beast.put(boost::asio::buffer(buffer.data(), size), code);
  if ((code && code != beast_http::error::need_more) || !beast.is_header_done()) {
    return FailUpstreamBroken("answer is not valid: " + code.message());
  }
  buffer.erase(0, size);
  BOOST_LEAF_CHECK(AcceptHead());
  return true;
}

result<void> answer_reader::AcceptHead() {
  auto& beast = parser_->beast;
  const auto& message = beast.get();
  const auto status = static_cast<int>(message.result_int());
  if (status < kMinStatus || status == kSwitchingProtocols || status > kMaxStatus) {
    return FailUpstreamBroken("answer has status " + std::to_string(status));
  }
  answer_head head;
  head.status = status;
  for (const auto& field : message) {
    head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  if (status < kMinFinalStatus) {
    if (AnnouncesBody(head.headers)) {
      // Interim answers have no body, so bytes that the sender takes for one would be read as the
      // next answer.
      return FailUpstreamBroken("interim answer announces a body");
    }
    if (++interim_answers_ > kMaxInterimAnswers) {
      return FailUpstreamBroken("too many interim answers");
    }
    return {};
  }
  const bool has_length = CountHeaders(head.headers, "Content-Length") > 0;
  if (CountHeaders(head.headers, "Content-Length") > 1 || (has_length && beast.chunked())) {
    return FailUpstreamBroken("length of the answer is ambiguous");
  }
  if (!is_head_request_ && HasBody(status) && IsCoded(head.headers)) {
    return FailUpstreamBroken("answer has a transfer coding other than 'chunked'");
  }
  is_close_delimited_ = !beast.is_done() && beast.need_eof();
  if (is_close_delimited_ && close_delimited_ == close_delimited_answers::kRefused) {
    return FailUpstreamBroken("answer has no length");
  }
  if (!beast.chunked() && !is_close_delimited_) {
    const auto length = beast.content_length();
    head.length = length ? std::uint64_t(*length) : 0;
  }
  is_keep_alive_ = beast.keep_alive() && !is_close_delimited_;
  is_head_complete_ = true;
  on_head(std::move(head));
  return {};
}

bool answer_reader::FinishAtClose() {
  return is_head_complete_ && is_close_delimited_;
}

result<bool> answer_reader::ReadBody(std::string& buffer) {
  auto& beast = parser_->beast;
  std::array<char, kBodyBlockBytes> block;
  const std::size_t min_bytes = beast.chunked() ? kMinChunkedRemainderBytes : 1;
  while (!beast.is_done() && buffer.size() >= min_bytes) {
    auto& body = beast.get().body();
    body.data = block.data();
    body.size = block.size();
    body.more = true;
    boost::system::error_code code;
    const std::size_t consumed = beast.put(boost::asio::buffer(buffer.data(), buffer.size()), code);
    buffer.erase(0, consumed);
    const std::size_t body_bytes = block.size() - body.size;
    if (body_bytes > 0) {
      on_body(std::string_view(block.data(), body_bytes));
    }
    const bool is_block_full = code == beast_http::error::need_buffer;
    if (code && code != beast_http::error::need_more && !is_block_full) {
      return FailUpstreamBroken("body of the answer is not valid: " + code.message());
    }
    if (consumed == 0 && body_bytes == 0) {
      break;
    }
  }
  if (!beast.is_done() && buffer.size() > kMaxChunkLineBytes) {
    return FailUpstreamBroken("chunk line of the answer is too long");
  }
  return beast.is_done();
}

}  // namespace corianderhoist
