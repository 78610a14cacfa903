#include "http/request_reader.h"

#include "http/request_checks.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>

namespace corianderhoist {
namespace {

namespace beast_http = boost::beast::http;

constexpr std::size_t kBodyBlockBytes = 16UL << 10U;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
// Limit for an incomplete chunk-size line or trailer that is buffered.
constexpr std::size_t kMaxChunkLineBytes = 4096;
// Received bytes, framing included, per byte of the body limit. Chunks of one byte take six bytes;
// a higher ratio serves only to consume CPU time.
constexpr std::size_t kMaxFramingFactor = 8;

error_kind ErrorKindFor(const boost::system::error_code& code) {
  if (code == beast_http::error::body_limit) {
    return error_kind::kBodyTooLarge;
  }
  return code == beast_http::error::header_limit ? error_kind::kHeaderTooLarge
                                                 : error_kind::kBadRequest;
}

}  // namespace

struct request_reader::parser {
  beast_http::request_parser<beast_http::buffer_body> beast;
};

request_reader::request_reader(request_limits limits) : limits_(limits) {}

request_reader::~request_reader() = default;

result<request_reader::progress> request_reader::Read(std::string& buffer) {
  has_started_ = has_started_ || !buffer.empty();
  if (!is_head_complete_) {
    BOOST_LEAF_AUTO(is_complete, ReadHead(buffer));
    if (!is_complete) {
      return progress::kNeedMore;
    }
  }
  return ReadBody(buffer);
}

bool request_reader::TakeExpectation() {
  return std::exchange(is_continue_expected_, false);
}

result<bool> request_reader::ReadHead(std::string& buffer) {
  const std::size_t end = buffer.find(kHeadEnd);
  const std::size_t size = end == std::string::npos ? buffer.size() : end + kHeadEnd.size();
  if (size > limits_.header_bytes) {
    return Fail(error_kind::kHeaderTooLarge,
                "header is larger than " + std::to_string(limits_.header_bytes) + " bytes");
  }
  if (end == std::string::npos) {
    BOOST_LEAF_CHECK(CheckPartialHead(buffer));
    return false;
  }
  BOOST_LEAF_CHECK(AcceptHead(std::string_view(buffer).substr(0, size)));
  buffer.erase(0, size);
  is_head_complete_ = true;
  return true;
}

result<void> request_reader::AcceptHead(std::string_view head) {
  BOOST_LEAF_CHECK(CheckRawHead(head));
  parser_ = std::make_unique<parser>();
  auto& beast = parser_->beast;
  beast.header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
  beast.body_limit(limits_.body_bytes);
  boost::system::error_code code;
  beast.put(boost::asio::buffer(head.data(), head.size()), code);
  if (code && code != beast_http::error::need_more) {
    return Fail(ErrorKindFor(code), "request is not valid: " + code.message());
  }
  if (!beast.is_header_done()) {
    return Fail(error_kind::kBadRequest, "header has no end");
  }
  const auto& message = beast.get();
  request_.method = std::string(message.method_string());
  request_.target = std::string(message.target());
  // The fields are copied before the body is parsed, because Beast appends trailer fields to the
  // same list.
  for (const auto& field : message) {
    request_.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  BOOST_LEAF_CHECK(CheckTarget(request_.target));
  BOOST_LEAF_CHECK(CheckHeaders(request_.headers));
  request_.path = request_.target.substr(0, request_.target.find('?'));
  request_.is_keep_alive = !HasToken(request_.headers, "Connection", "close");
  if (on_head) {
    BOOST_LEAF_CHECK(on_head(request_));
  }
  if (!beast.chunked()) {
    const auto length = beast.content_length();
    body_length_ = length ? std::uint64_t(*length) : 0;
  }
  is_continue_expected_ = FindHeader(request_.headers, "Expect") != nullptr && !beast.is_done();
  return {};
}

result<request_reader::progress> request_reader::ReadBody(std::string& buffer) {
  auto& beast = parser_->beast;
  const std::size_t min_bytes = beast.chunked() ? kMinChunkedRemainderBytes : 1;
  std::array<char, kBodyBlockBytes> block;
  while (!beast.is_done() && buffer.size() >= min_bytes) {
    auto& body = beast.get().body();
    body.data = block.data();
    body.size = block.size();
    body.more = true;
    boost::system::error_code code;
    const std::size_t consumed = beast.put(boost::asio::buffer(buffer.data(), buffer.size()), code);
    buffer.erase(0, consumed);
    raw_body_bytes_ += consumed;
    const std::string_view part(block.data(), block.size() - body.size);
    if (!part.empty() && on_body) {
      on_body(part);
    } else {
      request_.body.append(part);
    }
    const bool is_block_full = code == beast_http::error::need_buffer;
    if (code && code != beast_http::error::need_more && !is_block_full) {
      return Fail(ErrorKindFor(code), "body is not valid: " + code.message());
    }
    if (raw_body_bytes_ > limits_.body_bytes * kMaxFramingFactor + kMaxChunkLineBytes) {
      return Fail(error_kind::kBodyTooLarge, "body has too many chunks");
    }
    if (consumed == 0 && part.empty()) {
      break;
    }
  }
  if (beast.is_done()) {
    return progress::kComplete;
  }
  if (buffer.size() > kMaxChunkLineBytes) {
    return Fail(error_kind::kBadRequest, "chunk line is too long");
  }
  return progress::kNeedMore;
}

}  // namespace corianderhoist
