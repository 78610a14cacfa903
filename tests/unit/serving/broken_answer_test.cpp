// Upstreams in trouble whose bytes are no answer. The caller gets none of them, least of all bytes
// that imitate a signed answer.
#include "support/serving_fixture.h"
#include "support/test_table.h"

#include <sstream>

namespace corianderhoist {
namespace {

enum class framing {
  kLength,  ///< The head states the length of the bytes behind it.
  kChunk,   ///< The bytes are one chunk.
  kNone,
};

struct broken_answer_case {
  std::string name;
  std::string start;  ///< Status and reason.
  std::string lines;  ///< Header fields, each with its line end, before the id and the signature.
  framing body = framing::kLength;
};

/// A broken answer, the route of the request and its connection.
struct broken_exchange_case {
  std::string name;
  broken_answer_case answer;
  bool is_safe;    ///< Whether the route allows the request to run more than once.
  bool is_reused;  ///< An earlier request has used the connection.
};

std::vector<broken_exchange_case> OnEachConnection(const std::vector<broken_answer_case>& answers) {
  std::vector<broken_exchange_case> cases;
  for (const broken_answer_case& answer : answers) {
    for (const bool is_safe : {false, true}) {
      for (const bool is_reused : {false, true}) {
        cases.push_back({answer.name + (is_safe ? ", repeatable" : "") +
                             (is_reused ? ", on a reused connection" : ""),
                         answer, is_safe, is_reused});
      }
    }
  }
  return cases;
}

std::string BrokenAnswer(const broken_answer_case& row, const scripted_request& request) {
  const std::string imitation = SignedAnswer(request, 200, "imitation");
  std::string head = "HTTP/1.1 " + row.start + "\r\n" + row.lines +
                     "X-Attempt-Id: " + request.Header("X-Attempt-Id") + "\r\nX-Signature: s\r\n";
  switch (row.body) {
    case framing::kLength:
      return head + "Content-Length: " + std::to_string(imitation.size()) + "\r\n\r\n" + imitation;
    case framing::kChunk: {
      std::ostringstream size;
      size << std::hex << imitation.size();
      return head + "\r\n" + size.str() + "\r\n" + imitation + "\r\n0\r\n\r\n";
    }
    case framing::kNone:
      return head + "\r\n" + imitation;
  }
  return head;
}

void CheckRefused(const broken_exchange_case& row) {
  serving_fixture fixture;
  fixture.Add("u1", row.is_safe ? "reads" : "orders", [&row](const scripted_request& request) {
    if (request.head.find("/first ") != std::string::npos) {
      return scripted_answer{SignedAnswer(request, 200, "ok")};
    }
    return scripted_answer{BrokenAnswer(row.answer, request), after_answer::kClose};
  });
  fixture.Start();
  const std::string route = row.is_safe ? "/safe" : "/once";
  if (row.is_reused) {
    CPPUNIT_ASSERT_EQUAL(200, fixture.Call({.path = route + "/first", .id = "id0"}).status);
  }
  const caller_answer answer =
      fixture.Call({.method = "PUT", .path = route + "/broken", .body = "b"});
  CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 502, answer.status);
  CPPUNIT_ASSERT_EQUAL(std::string("unknown"), answer.Header("Corianderhoist-Outcome"));
}

const test_table kStatuses("answer with an invalid status",
                           OnEachConnection({
                               {"000", "000 None", ""},
                               {"000 and no length", "000 None", "", framing::kNone},
                               {"050", "050 None", ""},
                               {"099", "099 None", ""},
                               {"600", "600 None", ""},
                               {"999", "999 None", ""},
                               {"of two digits", "20 OK", ""},
                               {"of four digits", "2000 OK", ""},
                               {"that is negative", "-20 OK", ""},
                           }),
                           std::function(CheckRefused));

const test_table kInterim("interim answer that announces a body",
                          OnEachConnection({
                              {"with a length", "100 Continue", ""},
                              {"in chunks", "103 Early Hints", "Transfer-Encoding: chunked\r\n",
                               framing::kNone},
                          }),
                          std::function(CheckRefused));

const test_table kCodings(
    "answer in a transfer coding that is not chunked alone",
    OnEachConnection({
        {"gzip", "200 OK", "Transfer-Encoding: gzip\r\n", framing::kNone},
        {"gzip and a length", "200 OK", "Transfer-Encoding: gzip\r\n"},
        {"gzip in chunks", "200 OK", "Transfer-Encoding: gzip, chunked\r\n", framing::kChunk},
        {"gzip in chunks, in two fields", "200 OK",
         "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", framing::kChunk},
        {"gzip of chunks", "200 OK", "Transfer-Encoding: chunked, gzip\r\n", framing::kNone},
        {"none", "200 OK", "Transfer-Encoding:\r\n", framing::kNone},
        {"gzip, of a failure", "404 No", "Transfer-Encoding: gzip\r\n", framing::kNone},
    }),
    std::function(CheckRefused));

const test_table kFieldNames("answer with an invalid field line",
                             OnEachConnection({
                                 {"a blank in the name", "200 OK", "X Y: 1\r\n"},
                                 {"a tab in the name", "200 OK", "X\tY: 1\r\n"},
                                 {"a control byte in the name", "200 OK", "X\x01Y: 1\r\n"},
                                 {"NUL in the name", "200 OK", std::string("X\0Y: 1\r\n", 8)},
                                 {"DEL in the name", "200 OK", "X\x7fY: 1\r\n"},
                                 {"CR in the name", "200 OK", "X\rY: 1\r\n"},
                                 {"LF in the name", "200 OK", "X\nY: 1\r\n"},
                                 {"a byte above 0x7f in the name", "200 OK", "X\xe9Y: 1\r\n"},
                                 {"a parenthesis in the name", "200 OK", "X(Y): 1\r\n"},
                                 {"no name", "200 OK", ": 1\r\n"},
                                 {"no colon", "200 OK", "X\r\n"},
                                 {"a blank before the colon", "200 OK", "X : 1\r\n"},
                                 {"a blank before the colon of the length", "200 OK",
                                  "Content-Length : 1\r\n", framing::kNone},
                                 {"a blank before the colon of the coding", "200 OK",
                                  "Transfer-Encoding : chunked\r\n", framing::kChunk},
                                 {"a blank before the first name", "200 OK", " X: 1\r\n"},
                                 {"a control byte in the value", "200 OK", "X: \x01\r\n"},
                                 {"NUL in the value", "200 OK", std::string("X: \0\r\n", 6)},
                                 {"CR in the value", "200 OK", "X: 1\r2\r\n"},
                                 {"LF in the value", "200 OK", "X: 1\n2\r\n"},
                             }),
                             std::function(CheckRefused));

}  // namespace
}  // namespace corianderhoist
