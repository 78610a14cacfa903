// Parses requests from raw bytes. Guards against request smuggling: a request that an upstream
// could interpret differently from the proxy is refused, and an accepted request is read the same
// regardless of how its bytes are split.
#include "http/request_reader.h"
#include "http/request_checks.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

constexpr request_limits kLimits{2048, 1000};

struct read_result {
  std::string error;  ///< Name of the error kind; empty if the request was not refused.
  bool is_complete = false;
  http_request request;
  std::string rest;
};

// Feeds the bytes to a reader in blocks of `step` bytes.
read_result Feed(const std::string& bytes, std::size_t step) {
  request_reader reader(kLimits);
  read_result outcome;
  std::string buffer;
  for (std::size_t offset = 0;
       offset < bytes.size() && outcome.error.empty() && !outcome.is_complete; offset += step) {
    buffer += bytes.substr(offset, step);
    outcome.is_complete = Recover(
        [&]() -> result<bool> {
          BOOST_LEAF_AUTO(progress, reader.Read(buffer));
          return progress == request_reader::progress::kComplete;
        },
        [&](const error& failure) {
          outcome.error = AnswerFor(failure.kind).name;
          return false;
        });
  }
  if (outcome.is_complete) {
    outcome.request = reader.Take();
    outcome.rest = buffer;
  }
  return outcome;
}

struct refused_case {
  std::string name;
  std::string bytes;
  std::string error = "bad_request";
};

std::string Get(const std::string& target, const std::string& headers = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n";
}

std::string Post(const std::string& headers, const std::string& body) {
  return "POST /a HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n" + body;
}

const test_table kRefused(
    "request refused",
    std::vector<refused_case>{
        {"length and coding", Post("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                                   "0\r\n\r\nGET /x HTTP/1.1\r\n\r\n")},
        {"coding and length",
         Post("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", "0\r\n\r\n")},
        {"length twice", Post("Content-Length: 4\r\nContent-Length: 5\r\n", "abcde")},
        {"same length twice", Post("Content-Length: 4\r\nContent-Length: 4\r\n", "abcd")},
        {"length list", Post("Content-Length: 4, 4\r\n", "abcd")},
        {"length with sign", Post("Content-Length: +4\r\n", "abcd")},
        {"negative length", Post("Content-Length: -4\r\n", "abcd")},
        {"hexadecimal length", Post("Content-Length: 0x4\r\n", "abcd")},
        {"empty length", Post("Content-Length:\r\n", "abcd")},
        {"huge length", Post("Content-Length: 99999999999999999999\r\n", "abcd")},
        {"coding list", Post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n")},
        {"unknown coding", Post("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n")},
        {"coding twice",
         Post("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "0\r\n\r\n")},
        {"coding with vertical tab", Post("Transfer-Encoding: \x0b"
                                          "chunked\r\n",
                                          "0\r\n\r\n")},
        {"chunk size not hexadecimal", Post("Transfer-Encoding: chunked\r\n", "zz\r\nab\r\n")},
        {"chunk size with sign", Post("Transfer-Encoding: chunked\r\n", "-1\r\nab\r\n0\r\n\r\n")},
        {"chunk size too large",
         Post("Transfer-Encoding: chunked\r\n", "ffffffffffffffffff\r\nab\r\n")},
        {"chunk without end", Post("Transfer-Encoding: chunked\r\n", "2\r\nabcd0\r\n\r\n")},
        {"endless chunk line",
         Post("Transfer-Encoding: chunked\r\n", "2;" + std::string(9000, 'x'))},
        {"space before colon", Get("/a", "X-A : b\r\n")},
        {"space before coding colon", Post("Transfer-Encoding : chunked\r\n", "0\r\n\r\n")},
        {"folded line", Get("/a", "X-A: b\r\n c\r\n")},
        {"line without colon", Get("/a", "X-A\r\n")},
        {"empty name", Get("/a", ": b\r\n")},
        {"control character in name", Get("/a", "X\x01: b\r\n")},
        {"control character in value", Get("/a", "X: b\x01\r\n")},
        {"DEL character in value", Get("/a", "X: b\x7f\r\n")},
        {"NUL in value", Get("/a", std::string("X: b\0c\r\n", 8))},
        {"bare line feed after request line", "GET /a HTTP/1.1\nHost: a\r\n\r\n"},
        {"bare line feed in header", "GET /a HTTP/1.1\r\nHost: a\nX: b\r\n\r\n"},
        {"bare line feeds at end", "GET /a HTTP/1.1\r\nHost: a\n\n"},
        {"bare carriage return", "GET /a HTTP/1.1\r\nHost: a\rX: b\r\n\r\n"},
        {"header injection in target", "GET /a\r\nX: b HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"two spaces", "GET  /a HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"tab in request line", "GET\t/a HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"empty line first", "\r\nGET /a HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"no version", "GET /a\r\nHost: a\r\n\r\n"},
        {"version 1.0", "GET /a HTTP/1.0\r\nHost: a\r\n\r\n"},
        {"version 2.0", "GET /a HTTP/2.0\r\nHost: a\r\n\r\n"},
        {"HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"},
        {"TLS hello", "\x16\x03\x01\x02\n\x01"},
        {"invalid method", "G(T /a HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"long method", std::string(33, 'G') + " /a HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"no host", "GET /a HTTP/1.1\r\n\r\n"},
        {"two hosts", Get("/a", "Host: b\r\n")},
        {"absolute target", Get("http://a/open")},
        {"authority target", "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"asterisk target", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"fragment", Get("/a#b")},
        {"dot segment", Get("/open/./a")},
        {"two dots", Get("/open/../orders")},
        {"two dots at end", Get("/open/..")},
        {"encoded dots", Get("/open/%2e%2e/orders")},
        {"half encoded dots", Get("/open/.%2E/orders")},
        {"doubly encoded dots", Get("/open/%252e%252e/orders")},
        {"encoded slash", Get("/open%2forders")},
        {"encoded upper-case slash", Get("/open/..%2Forders")},
        {"backslash", Get("/open\\..\\orders")},
        {"encoded backslash", Get("/open%5c..%5corders")},
        {"empty segment", Get("//orders")},
        {"empty segment inside", Get("/open//orders")},
        {"encoded letter", Get("/%6frders")},
        {"path parameter", Get("/open/..;/orders")},
        {"parameter behind name", Get("/orders;x/1")},
        {"encoded semicolon", Get("/orders%3bx/1")},
        {"encoded NUL", Get("/open/%00")},
        {"encoded line end", Get("/open/%0d%0aX:%20b")},
        {"percent sign alone", Get("/open/%")},
        {"invalid percent encoding", Get("/open/%zz")},
        {"byte above ASCII in target", Get("/open/\xc3\xa4")},
        {"upgrade", Get("/a", "Connection: Upgrade\r\nUpgrade: websocket\r\n")},
        {"upgrade without connection", Get("/a", "Upgrade: h2c\r\n")},
        {"two keys", Get("/a", "Corianderhoist-Key: a\r\nCorianderhoist-Key: b\r\n")},
        {"two authorizations", Get("/a", "Authorization: Bearer a\r\nAuthorization: Bearer b\r\n")},
        {"two idempotency keys", Get("/a", "Idempotency-Key: a\r\nIdempotency-Key: b\r\n")},
        {"unknown expectation", Get("/a", "Expect: 200-ok\r\n")},
        {"large header", Get("/a", "X: " + std::string(3000, 'x') + "\r\n"), "header_too_large"},
        {"endless header", "GET /" + std::string(9000, 'x'), "header_too_large"},
        {"many headers",
         Get("/a",
             [] {
               std::string lines;
               for (int i = 0; i < 150; ++i) {
                 lines += "X:y\r\n";
               }
               return lines;
             }()),
         "header_too_large"},
        {"large body", Post("Content-Length: 1001\r\n", "a"), "body_too_large"},
        {"large chunked body",
         Post("Transfer-Encoding: chunked\r\n", "400\r\n" + std::string(1024, 'x')),
         "body_too_large"},
        {"endless chunked body",
         Post("Transfer-Encoding: chunked\r\n",
              [] {
                std::string chunks;
                for (int i = 0; i < 3000; ++i) {
                  chunks += "1\r\nx\r\n";
                }
                return chunks;
              }()),
         "body_too_large"},
    },
    std::function([](const refused_case& row) {
      for (const std::size_t step : {row.bytes.size(), std::size_t(1), std::size_t(7)}) {
        const read_result outcome = Feed(row.bytes, step);
        CPPUNIT_ASSERT_EQUAL(row.error, outcome.error);
      }
    }));

struct accepted_case {
  std::string name;
  std::string bytes;
  std::string path;
  std::string body;
  std::string rest;
};

const test_table kAccepted(
    "request accepted",
    std::vector<accepted_case>{
        {"plain", Get("/a/b?c=d/../e"), "/a/b", "", ""},
        {"root", Get("/"), "/", "", ""},
        {"last slash", Get("/a/"), "/a/", "", ""},
        {"encoded space and umlaut", Get("/a%20b/%C3%A4"), "/a%20b/%C3%A4", "", ""},
        {"three dots", Get("/.../a"), "/.../a", "", ""},
        {"body", Post("Content-Length: 3\r\n", "abc"), "/a", "abc", ""},
        {"no body", Post("Content-Length: 0\r\n", ""), "/a", "", ""},
        {"chunks", Post("Transfer-Encoding: chunked\r\n", "2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n"),
         "/a", "abc", ""},
        // Beast's parser aborts the process on this input when it arrives byte by byte.
        {"last chunk only", Post("Transfer-Encoding: chunked\r\n", "0\r\n\r\n"), "/a", "", ""},
        {"trailer that claims a key",
         Post("Transfer-Encoding: chunked\r\n", "1\r\na\r\n0\r\nCorianderhoist-Key: k\r\n\r\n"),
         "/a", "a", ""},
        {"following request", Get("/a") + Get("/b"), "/a", "", Get("/b")},
        {"body and following request", Post("Content-Length: 1\r\n", "x") + Get("/b"), "/a", "x",
         Get("/b")},
    },
    std::function([](const accepted_case& row) {
      for (const std::size_t step : {row.bytes.size(), std::size_t(1), std::size_t(7)}) {
        const read_result outcome = Feed(row.bytes, step);
        CPPUNIT_ASSERT_EQUAL(std::string(), outcome.error);
        CPPUNIT_ASSERT(outcome.is_complete);
        CPPUNIT_ASSERT_EQUAL(row.path, outcome.request.path);
        CPPUNIT_ASSERT_EQUAL(row.body, outcome.request.body);
        // A trailer must not add a field that is checked before the body is read.
        CPPUNIT_ASSERT(!FindHeader(outcome.request.headers, "Corianderhoist-Key"));
        if (step == row.bytes.size()) {
          CPPUNIT_ASSERT_EQUAL(row.rest, outcome.rest);
        }
      }
    }));

const test_table kHopByHop("headers", "that are hop-by-hop are not forwarded", [] {
  const header_fields kept = WithoutHopByHop({{"Connection", "close, X-One"},
                                              {"X-One", "1"},
                                              {"Keep-Alive", "5"},
                                              {"TE", "trailers"},
                                              {"Transfer-Encoding", "chunked"},
                                              {"Proxy-Authorization", "x"},
                                              {"X-Two", "2"}});
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), kept.size());
  CPPUNIT_ASSERT_EQUAL(std::string("X-Two"), kept.front().name);
});

const test_table kHeadCheck("request", "is refused by the check of its header before its body", [] {
  request_reader reader(kLimits);
  reader.on_head = [](const http_request&) -> result<void> {
    return Fail(error_kind::kKeyMissing, "no key");
  };
  std::string buffer = Post("Content-Length: 900\r\nExpect: 100-continue\r\n", "");
  const auto name = Recover(
      [&]() -> result<std::string_view> {
        BOOST_LEAF_CHECK(reader.Read(buffer));
        return std::string_view();
      },
      [](const error& failure) { return AnswerFor(failure.kind).name; });
  CPPUNIT_ASSERT_EQUAL(std::string("key_missing"), std::string(name));
  CPPUNIT_ASSERT(!reader.TakeExpectation());
});

}  // namespace
}  // namespace corianderhoist
