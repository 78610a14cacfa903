#include "wire/tls_identity.h"

#include "base/log.h"

#include <QFile>
#include <QSslCertificate>
#include <QSslKey>

#include <algorithm>

namespace corianderhoist {
namespace {

QByteArray ReadAll(const std::filesystem::path& path) {
  QFile file(QString::fromStdString(path.string()));
  return file.open(QIODevice::ReadOnly) ? file.readAll() : QByteArray();
}

std::string SubjectEntry(const QSslCertificate& certificate, QSslCertificate::SubjectInfo entry) {
  const QStringList values = certificate.subjectInfo(entry);
  return values.isEmpty() ? std::string() : values.front().toStdString();
}

}  // namespace

result<std::shared_ptr<tls_identity>> tls_identity::Load(tls_files files) {
  std::shared_ptr<tls_identity> identity(new tls_identity(std::move(files)));
  identity->loaded_modification_ = identity->LastModified();
  BOOST_LEAF_ASSIGN(identity->current_, identity->LoadConfiguration());
  return identity;
}

result<QSslConfiguration> tls_identity::LoadConfiguration() const {
  const QList<QSslCertificate> chain =
      QSslCertificate::fromData(ReadAll(files_.certificate), QSsl::Pem);
  const QList<QSslCertificate> authority =
      QSslCertificate::fromData(ReadAll(files_.authority), QSsl::Pem);
  const QByteArray key_text = ReadAll(files_.private_key);
  QSslKey key(key_text, QSsl::Ec, QSsl::Pem);
  if (key.isNull()) {
    key = QSslKey(key_text, QSsl::Rsa, QSsl::Pem);
  }
  if (chain.isEmpty() || key.isNull() || authority.isEmpty()) {
    return Fail(error_kind::kInvalidSettings,
                "no usable certificate, key or authority in " + files_.certificate.string() + ", " +
                    files_.private_key.string() + ", " + files_.authority.string());
  }
  QSslConfiguration configuration = QSslConfiguration::defaultConfiguration();
  configuration.setProtocol(QSsl::TlsV1_3OrLater);
  configuration.setLocalCertificateChain(chain);
  configuration.setPrivateKey(key);
  configuration.setCaCertificates(authority);
  configuration.setPeerVerifyMode(QSslSocket::VerifyPeer);
  configuration.setAllowedNextProtocols({"h2"});
  return configuration;
}

std::filesystem::file_time_type tls_identity::LastModified() const {
  auto newest = std::filesystem::file_time_type::min();
  for (const auto& file : {files_.certificate, files_.private_key, files_.authority}) {
    std::error_code status;
    const auto changed = std::filesystem::last_write_time(file, status);
    if (!status) {
      newest = std::max(newest, changed);
    }
  }
  return newest;
}

QSslConfiguration tls_identity::Current() {
  const std::lock_guard guard(lock_);
  const auto newest = LastModified();
  if (newest == loaded_modification_) {
    return current_;
  }
  // Partially written files fail to load; the previous configuration stays in use until loading
  // succeeds.
  Recover(
      [&]() -> result<void> {
        BOOST_LEAF_ASSIGN(current_, LoadConfiguration());
        loaded_modification_ = newest;
        log_event(log_level::kInfo, "certificate_reloaded")
            .Field("file", files_.certificate.string());
        return {};
      },
      [](const error& failure) {
        log_event(log_level::kWarning, "certificate_reload_failed").Field("cause", failure.detail);
      });
  return current_;
}

peer_identity IdentityOf(const QSslSocket& socket) {
  const QSslCertificate certificate = socket.peerCertificate();
  return {SubjectEntry(certificate, QSslCertificate::OrganizationalUnitName),
          SubjectEntry(certificate, QSslCertificate::CommonName)};
}

}  // namespace corianderhoist
