/// Issues certificates for tests in a temporary folder.
#pragma once

#include "wire/certificates.h"
#include "wire/tls_identity.h"

#include <filesystem>
#include <memory>
#include <string>

namespace corianderhoist {

/// A certificate authority with a temporary folder for its files, which the destructor removes.
class test_certificate_authority {
 public:
  test_certificate_authority();
  ~test_certificate_authority();
  test_certificate_authority(const test_certificate_authority&) = delete;
  test_certificate_authority& operator=(const test_certificate_authority&) = delete;

  /// Issues a certificate and returns its files. A second certificate for the same name replaces
  /// the files of the first.
  tls_files Issue(const std::string& role,
                  const std::string& name,
                  certificate_validity validity = {});
  /// Issues a certificate and loads it.
  std::shared_ptr<tls_identity> Identity(const std::string& role,
                                         const std::string& name,
                                         certificate_validity validity = {});
  const std::filesystem::path& Folder() const { return folder_; }

 private:
  std::filesystem::path folder_;
  key_pair_pem authority_;
};

/// Returns the value of a result, or throws `std::runtime_error` with its error.
template <class Function>
auto Expect(Function&& function) {
  return Recover(
      std::forward<Function>(function), [](const error& failure) -> decltype(function().value()) {
        throw std::runtime_error(std::string(AnswerFor(failure.kind).name) + ": " + failure.detail);
      });
}

}  // namespace corianderhoist
