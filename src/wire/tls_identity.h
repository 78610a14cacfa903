/// The certificate of a process and the fleet's certificate authority, for mutual TLS.
#pragma once

#include "base/error.h"

#include <QSslConfiguration>
#include <QSslSocket>

#include <filesystem>
#include <memory>
#include <mutex>
#include <string>

namespace corianderhoist {

/// Paths of the PEM files of one process.
struct tls_files {
  std::filesystem::path certificate;
  std::filesystem::path private_key;
  std::filesystem::path authority;  ///< Certificates of the fleet's certificate authority.
};

/// Role and VM name from the organizational unit and common name of a verified certificate.
struct peer_identity {
  std::string role;
  std::string name;
};

/// The key and certificates of this process. The files are reloaded when one of them changes, so
/// keys can be rotated without a restart. Existing connections keep the previous key. Thread safe.
class tls_identity {
 public:
  /// Fails with `kInvalidSettings` when a file is missing or cannot be parsed.
  static result<std::shared_ptr<tls_identity>> Load(tls_files files);

  /// Returns the configuration for new connections: TLS 1.3 or later with mutual authentication.
  QSslConfiguration Current();

 private:
  explicit tls_identity(tls_files files) : files_(std::move(files)) {}
  result<QSslConfiguration> LoadConfiguration() const;
  std::filesystem::file_time_type LastModified() const;

  const tls_files files_;
  std::mutex lock_;
  QSslConfiguration current_;
  std::filesystem::file_time_type loaded_modification_;  ///< Of the loaded files.
};

/// Returns the identity of the verified peer of an encrypted connection.
peer_identity IdentityOf(const QSslSocket& socket);

}  // namespace corianderhoist
