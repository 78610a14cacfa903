#include "http/answer_head_text.h"

namespace corianderhoist {
namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

}  // namespace

bool HasBody(int status) {
  return status != kNoContent && status != kNotModified;
}

std::string FormatHead(const answer_head& head, bool is_last) {
  std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
  text += ReasonPhrase(head.status);
  text += "\r\n";
  for (const header_field& field : head.headers) {
    text += field.name + ": " + field.value + "\r\n";
  }
  if (HasBody(head.status)) {
    text += head.length ? "Content-Length: " + std::to_string(*head.length) + "\r\n"
                        : "Transfer-Encoding: chunked\r\n";
  }
  if (is_last) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  return text;
}

}  // namespace corianderhoist
