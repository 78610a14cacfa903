// Checks that the public interface page lists every refusal as callers receive it.
#include "base/error.h"
#include "support/test_table.h"

#include <filesystem>
#include <fstream>
#include <iterator>

namespace corianderhoist {
namespace {

std::string RowFor(error_kind kind) {
  const error_answer& answer = AnswerFor(kind);
  return "| `" + std::string(answer.name) + "` | " + std::to_string(answer.http_status) + " | " +
         (answer.outcome == request_outcome::kNotRun ? "not_run" : "unknown") + " | " +
         (answer.retry_after ? std::to_string(answer.retry_after->count()) : "-") + " | ";
}

const test_table kRows("interface page", "lists every refusal with status and outcome", [] {
  const auto path =
      std::filesystem::path(CORIANDERHOIST_TESTS).parent_path() / "docs" / "INTERFACE.md";
  std::ifstream file(path);
  const std::string page((std::istreambuf_iterator<char>(file)), {});
  for (int kind = 0; kind <= static_cast<int>(error_kind::kAnswerNotStored); ++kind) {
    const std::string row = RowFor(static_cast<error_kind>(kind));
    CPPUNIT_ASSERT_MESSAGE(row, page.find("\n" + row) != std::string::npos);
  }
});

}  // namespace
}  // namespace corianderhoist
