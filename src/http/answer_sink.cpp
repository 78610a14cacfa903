#include "http/answer_sink.h"

#include "base/log.h"

namespace corianderhoist {

namespace {

// Formats whole seconds where possible, since Retry-After is an integer (RFC 9110, 10.2.3). A
// fraction is an extension for callers that support it.
std::string FormatSeconds(std::chrono::milliseconds value) {
  constexpr int kMillisecondsPerSecond = 1000;
  std::string text = std::to_string(value.count() / kMillisecondsPerSecond);
  if (const auto fraction_ms = value.count() % kMillisecondsPerSecond; fraction_ms != 0) {
    const std::string digits = std::to_string(fraction_ms);
    text += "." + std::string(3 - digits.size(), '0') + digits;
  }
  return text;
}

}  // namespace

void SendCompleteAnswer(answer_sink& sink, answer_head head, std::string_view body) {
  head.length = body.size();
  sink.Begin(head);
  sink.Append(body);
  sink.End();
}

void SendRefusal(answer_sink& sink, const refusal& why, std::string_view request_id) {
  const error_answer& answer = AnswerFor(why.kind);
  const std::string_view outcome =
      answer.outcome == request_outcome::kNotRun ? "not_run" : "unknown";
  std::string body = "{\"error\":";
  AppendJsonString(body, answer.name);
  body += ",\"outcome\":";
  AppendJsonString(body, outcome);
  body += ",\"detail\":";
  AppendJsonString(body, why.detail);
  body += ",\"request_id\":";
  AppendJsonString(body, request_id);
  body += "}\n";

  answer_head head;
  head.status = answer.http_status;
  head.headers = {{"Content-Type", "application/json"},
                  {"Corianderhoist-Outcome", std::string(outcome)},
                  {"Corianderhoist-Request-Id", std::string(request_id)}};
  const auto retry_after = why.retry_after ? why.retry_after : answer.retry_after;
  if (retry_after) {
    head.headers.push_back({"Retry-After", FormatSeconds(*retry_after)});
  }
  SendCompleteAnswer(sink, std::move(head), body);
}

}  // namespace corianderhoist
