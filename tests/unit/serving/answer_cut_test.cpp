// Upstreams that end in the middle of an answer: the caller never gets an answer that looks
// complete.
#include "support/serving_fixture.h"
#include "support/test_table.h"

#include <array>
#include <atomic>
#include <cstdio>

namespace corianderhoist {
namespace {

enum class framing { kLength, kChunked, kClose };

/// An answer of an upstream, cut after a number of bytes.
struct cut_case {
  std::string name;
  std::string version;
  framing body;
  after_answer end;
  bool is_reused;  ///< An earlier request has used the connection.
};

std::vector<cut_case> CutCases() {
  std::vector<cut_case> cases;
  for (const auto& [body, body_name] :
       {std::pair(framing::kLength, "with a length"), std::pair(framing::kChunked, "in chunks"),
        std::pair(framing::kClose, "without a length")}) {
    for (const auto& [end, end_name] :
         {std::pair(after_answer::kClose, "closed"), std::pair(after_answer::kReset, "reset")}) {
      for (const bool is_reused : {false, true}) {
        cases.push_back({std::string(body_name) + ", " + end_name + " on a " +
                             (is_reused ? "reused" : "new") + " connection",
                         "1.1", body, end, is_reused});
      }
    }
  }
  cases.push_back({"of HTTP/1.0 without a length, closed", "1.0", framing::kClose,
                   after_answer::kClose, false});
  cases.push_back(
      {"of HTTP/1.0 without a length, reset", "1.0", framing::kClose, after_answer::kReset, false});
  return cases;
}

std::string HeadOf(const cut_case& row, const std::string& id, std::size_t size) {
  std::string text =
      "HTTP/" + row.version + " 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Signature: s\r\n";
  if (row.body == framing::kLength) {
    text += "Content-Length: " + std::to_string(size) + "\r\n";
  } else if (row.body == framing::kChunked) {
    text += "Transfer-Encoding: chunked\r\n";
  }
  return text + "\r\n";
}

// The body in two chunks, or as it is.
std::string BodyOf(const cut_case& row, const std::string& body) {
  if (row.body != framing::kChunked) {
    return body;
  }
  std::string text;
  const std::size_t half = body.size() / 2;
  for (const std::string& part : {body.substr(0, half), body.substr(half)}) {
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
    text += size.data() + part + "\r\n";
  }
  return text + "0\r\n\r\n";
}

/// Cuts the answer to an order after each of `Cuts` and checks what the caller gets.
class cut_check {
 public:
  cut_check(const cut_case& row, std::string body) : row_(row), body_(std::move(body)) {
    head_size_ = HeadOf(row_, "i00000", body_.size()).size();
    size_ = head_size_ + BodyOf(row_, body_).size();
    fixture_.Add("u1", "orders", [this](const scripted_request& request) {
      if (request.head.starts_with("POST /once/whole")) {
        return scripted_answer{SignedAnswer(request, 200, "ok")};
      }
      const std::string id = request.Header("X-Attempt-Id");
      const std::string whole = HeadOf(row_, id, body_.size()) + BodyOf(row_, body_);
      return scripted_answer{whole.substr(0, cut_), row_.end};
    });
    fixture_.Start();
  }

  std::size_t HeadSize() const { return head_size_; }
  std::size_t Size() const { return size_; }

  void CutAfter(std::size_t bytes) {
    cut_ = bytes;
    if (row_.is_reused) {
      CPPUNIT_ASSERT_EQUAL(200, Call("/once/whole").status);
    }
    const caller_answer answer = Call("/once/cut");
    const std::string place = "cut after " + std::to_string(bytes) + " of " + std::to_string(size_);
    const bool is_streamed = body_.size() > (256UL << 10U);
    const bool is_complete = row_.body == framing::kClose
                                 // The regular close is the end of the body.
                                 ? bytes >= head_size_ && row_.end == after_answer::kClose
                                 : bytes == size_;
    if (is_complete) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(place, 200, answer.status);
      const std::string expected =
          row_.body == framing::kClose ? body_.substr(0, bytes - head_size_) : body_;
      CPPUNIT_ASSERT_MESSAGE(place, answer.body == expected);
      return;
    }
    // A streamed answer is recognisable as truncated.
    CPPUNIT_ASSERT_MESSAGE(place + ": status " + std::to_string(answer.status),
                           answer.status == 502 || (is_streamed && answer.status == 0));
  }

 private:
  caller_answer Call(const std::string& path) {
    std::string id = std::to_string(++calls_);
    id.insert(0, 5 - id.size(), '0');
    return fixture_.Call({.method = "POST", .path = path, .id = "i" + id, .body = "b"});
  }

  const cut_case row_;
  const std::string body_;
  std::size_t head_size_ = 0;
  std::size_t size_ = 0;
  std::atomic<std::size_t> cut_ = 0;
  int calls_ = 0;
  serving_fixture fixture_;  ///< Last, since its upstream uses the other members.
};

const test_table kCuts("answer cut after any byte",
                       CutCases(),
                       std::function([](const cut_case& row) {
                         cut_check check(row, "a small body");
                         for (std::size_t i = 0; i <= check.Size(); ++i) {
                           check.CutAfter(i);
                         }
                       }));

const test_table kStreamedCuts("streamed answer cut",
                               CutCases(),
                               std::function([](const cut_case& row) {
                                 cut_check check(row, std::string(600'000, 'x'));
                                 const std::size_t size = check.Size();
                                 for (const std::size_t at :
                                      {check.HeadSize() - 1, check.HeadSize(), check.HeadSize() + 1,
                                       std::size_t(262'144), std::size_t(300'000), size / 2}) {
                                   check.CutAfter(at);
                                 }
                                 // A reset may discard bytes that were sent before.
                                 const std::size_t last =
                                     row.end == after_answer::kReset ? size - 1 : size;
                                 for (std::size_t i = size - 12; i <= last; ++i) {
                                   check.CutAfter(i);
                                 }
                               }));

const test_table kOldCaller("answer cut after any byte",
                            "a caller of HTTP/1.0, which takes a close for the end, is refused",
                            [] {
                              serving_fixture fixture;
                              scripted_upstream& upstream =
                                  fixture.Add("u1", "reads", [](const scripted_request& request) {
                                    return scripted_answer{SignedAnswer(request, 200, "ok")};
                                  });
                              fixture.Start();
                              std::string bytes = caller_request{}.Bytes();
                              bytes.replace(bytes.find("HTTP/1.1"), 8, "HTTP/1.0");
                              test_caller caller(fixture.Port());
                              caller.Send(bytes);
                              CPPUNIT_ASSERT_EQUAL(400, caller.Receive().status);
                              CPPUNIT_ASSERT(upstream.Requests().empty());
                            });

}  // namespace
}  // namespace corianderhoist
