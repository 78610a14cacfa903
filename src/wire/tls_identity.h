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

/// PEM files of one process.
struct tls_files {
  std::filesystem::path certificate;
  std::filesystem::path private_key;
  std::filesystem::path authority;  ///< Certificates of the fleet's authority.
};

/// Role and VM name, taken from the organizational unit and common name of a verified certificate.
struct peer_identity {
  std::string role;
  std::string name;
};

/// Reads the files again when one of them has changed, so that keys can be replaced while the
/// process runs. Connections made before keep the former key. Thread safe.
class tls_identity {
 public:
  /// Fails with `kInvalidSettings` when a file is missing or cannot be parsed.
  static result<std::shared_ptr<tls_identity>> Load(tls_files files);

  /// The configuration for new connections: TLS 1.3, peer verification in both directions.
  QSslConfiguration Current();

 private:
  explicit tls_identity(tls_files files) : files_(std::move(files)) {}
  result<QSslConfiguration> Read() const;
  std::filesystem::file_time_type NewestChange() const;

  const tls_files files_;
  std::mutex lock_;
  QSslConfiguration current_;
  std::filesystem::file_time_type read_at_;
};

/// Returns the identity of the verified peer of an encrypted connection.
peer_identity IdentityOf(const QSslSocket& socket);

}  // namespace corianderhoist
