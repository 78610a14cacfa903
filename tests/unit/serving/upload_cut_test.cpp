// Upstreams that answer an upload before they have read it, and then end the connection. The VM
// still sends: its send fails before it reads the end of the answer.
#include "support/serving_fixture.h"
#include "support/test_table.h"

#include <algorithm>
#include <future>
#include <thread>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kUploadBytes = 400'000;  // More than is buffered to be sent again.
const std::string kPart = "part of a body";

struct upload_cut_case {
  std::string name;
  std::string start;  ///< Version and status of the answer.
  std::string framing;
  after_answer end;
  bool is_safe;    ///< Whether the route allows the request to run more than once.
  bool is_reused;  ///< An earlier request has used the connection.
  int status;      ///< That the caller gets.
};

std::vector<upload_cut_case> UploadCutCases() {
  const std::string length = "Content-Length: 1000\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string ok = "1.1 200";
  std::vector<upload_cut_case> cases;
  for (const bool is_safe : {false, true}) {
    for (const bool is_reused : {false, true}) {
      const std::string where = std::string(is_safe ? ", repeatable" : "") +
                                (is_reused ? " on a reused connection" : " on a new connection");
      const auto add = [&](const std::string& name, const std::string& start,
                           const std::string& framing, after_answer end, int status) {
        cases.push_back({name + where, start, framing, end, is_safe, is_reused, status});
      };
      add("without a length, reset", ok, "", after_answer::kReset, 502);
      add("without a length, closed before the upload is read", ok, "", after_answer::kClose, 502);
      add("without a length, ended and then reset", ok, "", after_answer::kFinishAndReset, 200);
      add("of HTTP/1.0 without a length, reset", "1.0 200", "", after_answer::kReset, 502);
      add("a failure without a length, reset", "1.1 404", "", after_answer::kReset, 502);
      add("a server error without a length, reset", "1.1 500", "", after_answer::kReset, 502);
      add("with a length, reset", ok, length, after_answer::kReset, 502);
      add("with a length, ended and then reset", ok, length, after_answer::kFinishAndReset, 502);
      add("in chunks, reset", ok, chunked, after_answer::kReset, 502);
    }
  }
  return cases;
}

std::string CutAnswer(const upload_cut_case& row, const scripted_request& request) {
  const bool is_chunked = row.framing.starts_with("Transfer-Encoding");
  return "HTTP/" + row.start + " Status\r\nX-Attempt-Id: " + request.Header("X-Attempt-Id") +
         "\r\nX-Signature: s\r\n" + row.framing + "\r\n" +
         (is_chunked ? "e\r\n" + kPart + "\r\n" : kPart);
}

// Waits until the VM has reported this evidence on its only upstream.
bool IsReported(serving_fixture& fixture, attempt_evidence evidence) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (std::chrono::steady_clock::now() < deadline) {
    const auto outcomes = fixture.Core().ReportedObservations().outcomes;
    if (std::any_of(outcomes.begin(), outcomes.end(), [evidence](const attempt_outcome& outcome) {
          return outcome.evidence == evidence;
        })) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return false;
}

const test_table kUploadCuts(
    "answer cut during an upload",
    UploadCutCases(),
    std::function([](const upload_cut_case& row) {
      std::promise<void> has_arrived;
      std::promise<void> may_answer;
      serving_fixture fixture;
      const auto is_upload = [](const scripted_request& request) {
        return request.head.find("/upload ") != std::string::npos;
      };
      scripted_upstream& upstream =
          fixture.Add("u1", row.is_safe ? "reads" : "orders", [&](const scripted_request& request) {
            if (!is_upload(request)) {
              return scripted_answer{SignedAnswer(request, 200, "ok")};
            }
            has_arrived.set_value();
            may_answer.get_future().wait();
            return scripted_answer{CutAnswer(row, request), row.end};
          });
      upstream.SetEarlyAnswers(is_upload);
      upstream.UseSlowLink();
      fixture.Start();
      const std::string route = row.is_safe ? "/safe" : "/once";
      if (row.is_reused) {
        CPPUNIT_ASSERT_EQUAL(200, fixture.Call({.path = route + "/first", .id = "id0"}).status);
      }
      test_caller caller(fixture.Port());
      caller.Send(caller_request{
          .method = "PUT", .path = route + "/upload", .body = std::string(kUploadBytes, 'b')}
                      .Bytes());
      has_arrived.get_future().wait();
      // The answer and the end of the connection arrive before the VM reads or sends again.
      fixture.Vm().Loop().RunAndWait([&] {
        may_answer.set_value();
        while (upstream.EndedConnections() == 0) {
          std::this_thread::sleep_for(milliseconds(1));
        }
        std::this_thread::sleep_for(milliseconds(10));
      });
      const caller_answer answer = caller.Receive();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, row.status, answer.status);
      CPPUNIT_ASSERT(row.status != 200 || answer.body == kPart);
      CPPUNIT_ASSERT_EQUAL(std::size_t(row.is_reused ? 2 : 1), upstream.Requests().size());
      CPPUNIT_ASSERT(row.status == 200 || IsReported(fixture, attempt_evidence::kFailed));
    }));

}  // namespace
}  // namespace corianderhoist
