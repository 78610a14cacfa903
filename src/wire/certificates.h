/// Issues certificates of the fleet's certificate authority (OpenSSL, ECDSA P-256).
#pragma once

#include "base/error.h"

#include <chrono>
#include <filesystem>
#include <string>

namespace corianderhoist {

/// A certificate and its private key in PEM form.
struct key_pair_pem {
  std::string certificate;
  std::string private_key;
};

/// The subject of a process certificate.
struct certificate_subject {
  std::string role;  ///< "control", "coordinator", "entry" or "operator"
  std::string name;  ///< VM name
};

/// Validity period relative to the current time. A negative `end` yields an expired certificate.
struct certificate_validity {
  std::chrono::seconds start{-300};
  std::chrono::seconds end{std::chrono::hours(24 * 365)};
};

/// Creates a certificate authority. Fails with `kInternal` when OpenSSL fails.
result<key_pair_pem> CreateAuthority(const std::string& name, certificate_validity validity);

/// Issues a certificate signed by `authority` for TLS client and server authentication. Fails with
/// `kBadRequest` if `authority` cannot be parsed and with `kInternal` if OpenSSL fails.
result<key_pair_pem> IssueCertificate(const key_pair_pem& authority,
                                      const certificate_subject& subject,
                                      certificate_validity validity);

/// Writes `text` with mode 0600 to a temporary file and renames it, so that readers never see a
/// partially written file. Fails with `kStorageFailed`.
result<void> WriteSecretFile(const std::filesystem::path& file, const std::string& text);

}  // namespace corianderhoist
