// Parses answers from raw bytes. Guards against reporting a truncated or ambiguous answer as
// complete.
#include "http/answer_reader.h"
#include "support/test_table.h"

namespace corianderhoist {
namespace {

struct answer_case {
  std::string name;
  std::string bytes;
  std::string end;  ///< "complete", "incomplete" or "broken"
  std::string body = {};
  bool is_keep_alive = true;
};

const test_table kCases(
    "answer",
    std::vector<answer_case>{
        {"with length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "complete", "hi"},
        {"in chunks",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1\r\ni\r\n0\r\n\r\n",
         "complete", "hi"},
        {"in one last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "complete"},
        {"after an interim answer",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "complete",
         "hi"},
        {"without content", "HTTP/1.1 204 No Content\r\n\r\n", "complete"},
        {"not modified with a length", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
         "complete"},
        {"that closes", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
         "complete", "hi", false},
        {"of HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nhi", "complete", "hi", false},
        {"with short body", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi", "incomplete"},
        {"without last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
         "incomplete"},
        {"delimited by the close of the connection", "HTTP/1.1 200 OK\r\n\r\nhi", "broken"},
        {"with two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
         "broken"},
        {"with the same length twice",
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi", "broken"},
        {"with length and chunks",
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "broken"},
        {"that switches protocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n", "broken"},
        {"with an unknown status", "HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n", "broken"},
        {"with status 000", "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", "broken"},
        {"with status 099", "HTTP/1.1 099 None\r\n\r\n", "broken"},
        {"after an interim answer without a body",
         "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n"
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
         "complete", "hi"},
        {"after an interim answer with a length",
         "HTTP/1.1 100 Continue\r\nContent-Length: 9\r\n\r\n"
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
         "broken"},
        {"after an interim answer in chunks",
         "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n"
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
         "broken"},
        {"in another transfer coding",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nhi", "broken"},
        {"in another transfer coding and in chunks",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
         "broken"},
        {"in chunks, with an upper-case name of the coding",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: CHUNKED\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "complete",
         "hi"},
        {"without content, in another transfer coding",
         "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "complete"},
        {"with a large header", "HTTP/1.1 200 OK\r\nX: " + std::string(70'000, 'x'), "broken"},
        {"that is not HTTP", "hello\r\n\r\n", "broken"},
        {"with a blank in the name of a trailer field",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX Y: 1\r\n\r\n",
         "broken"},
        {"with a control byte in the name of a trailer field",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX\x01Y: 1\r\n\r\n",
         "broken"},
        {"with an invalid chunk",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nhi\r\n", "broken"},
    },
    std::function([](const answer_case& row) {
      answer_reader reader(false);
      std::string body;
      reader.on_head = [](const answer_head&) {};
      reader.on_body = [&](std::string_view part) { body += part; };
      std::string buffer = row.bytes;
      const std::string end = Recover(
          [&]() -> result<std::string> {
            BOOST_LEAF_AUTO(is_complete, reader.Read(buffer));
            return std::string(is_complete ? "complete" : "incomplete");
          },
          [](const error&) { return std::string("broken"); });
      CPPUNIT_ASSERT_EQUAL(row.end, end);
      if (end == "complete") {
        CPPUNIT_ASSERT_EQUAL(row.body, body);
        CPPUNIT_ASSERT_EQUAL(row.is_keep_alive, reader.IsKeepAlive());
      }
    }));

const test_table kHead("answer", "to HEAD has a length and no body", [] {
  answer_reader reader(true);
  std::optional<std::uint64_t> length;
  reader.on_head = [&](const answer_head& head) { length = head.length; };
  reader.on_body = [](std::string_view) { CPPUNIT_FAIL("unexpected body"); };
  std::string buffer = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n";
  CPPUNIT_ASSERT(reader.Read(buffer).value());
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), length.value_or(0));
});

}  // namespace
}  // namespace corianderhoist
