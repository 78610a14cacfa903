// Runs the fuzz checks on the fixed corpus, which includes the inputs that once revealed a fault.
#include "support/fuzz_checks.h"
#include "support/test_table.h"

#include <filesystem>
#include <fstream>
#include <iterator>

namespace corianderhoist {
namespace {

struct corpus_file {
  std::string name;
  std::filesystem::path path;
};

std::vector<corpus_file> ListCorpus(const std::string& folder) {
  std::vector<corpus_file> files;
  const auto path = std::filesystem::path(CORIANDERHOIST_TESTS) / "fuzz" / "corpus" / folder;
  for (const auto& entry : std::filesystem::directory_iterator(path)) {
    files.push_back({entry.path().filename().string(), entry.path()});
  }
  return files;
}

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

const test_table kRequests("fuzz request",
                           ListCorpus("request"),
                           std::function([](const corpus_file& file) {
                             CheckRequestBytes(ReadFile(file.path));
                           }));

const test_table kAnswers("fuzz answer",
                          ListCorpus("answer"),
                          std::function([](const corpus_file& file) {
                            CheckAnswerBytes(ReadFile(file.path));
                          }));

}  // namespace
}  // namespace corianderhoist
