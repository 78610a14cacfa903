#include "entry/entry_settings.h"

#include <QFile>
#include <QSslCertificate>
#include <QSslKey>

#include <set>

namespace corianderhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::int64_t kMaxHeaderBytes = 1 << 20;
constexpr std::int64_t kMaxBodyBytes = 64 << 20;
constexpr std::int64_t kMaxConnections = 1'000'000;

milliseconds ReadMilliseconds(settings_reader& reader,
                              std::string_view key,
                              milliseconds lowest,
                              milliseconds highest,
                              milliseconds fallback) {
  return duration_cast<milliseconds>(reader.Duration(key, lowest, highest, fallback));
}

caller_limits ReadLimits(settings_reader& reader) {
  caller_limits limits;
  if (!reader.Has("limits")) {
    return limits;
  }
  settings_reader object = reader.Object("limits");
  limits.request.header_bytes = static_cast<std::size_t>(object.Integer(
      "header_bytes", 1024, kMaxHeaderBytes, std::int64_t(limits.request.header_bytes)));
  limits.request.body_bytes = static_cast<std::size_t>(
      object.Integer("body_bytes", 0, kMaxBodyBytes, std::int64_t(limits.request.body_bytes)));
  limits.connections = static_cast<std::size_t>(
      object.Integer("connections", 1, kMaxConnections, std::int64_t(limits.connections)));
  limits.header_timeout = ReadMilliseconds(object, "header_timeout", milliseconds(100), minutes(5),
                                           limits.header_timeout);
  limits.body_timeout =
      ReadMilliseconds(object, "body_timeout", milliseconds(100), minutes(5), limits.body_timeout);
  object.CheckUnknownKeys();
  return limits;
}

std::vector<coordinator_group> ReadCoordinators(settings_reader& reader) {
  std::vector<coordinator_group> regions;
  std::set<std::string> names;
  for (settings_reader& each : reader.Objects("coordinators")) {
    coordinator_group read{each.String("region"), ReadNamedEndpoints(each, "members")};
    if (!names.insert(read.region).second) {
      each.AddFault("region", "'" + read.region + "' is used twice");
    }
    if (read.members.empty()) {
      each.AddFault("members", "must not be empty");
    }
    each.CheckUnknownKeys();
    regions.push_back(std::move(read));
  }
  return regions;
}

QByteArray ReadAll(const std::filesystem::path& path) {
  QFile file(QString::fromStdString(path.string()));
  return file.open(QIODevice::ReadOnly) ? file.readAll() : QByteArray();
}

}  // namespace

result<entry_settings> ReadEntrySettings(settings_reader reader) {
  entry_settings settings;
  settings.process = ReadProcessSettings(reader);
  settings.region = reader.String("region");
  settings.data_centre = reader.String("data_centre");
  settings.callers_listen = reader.ListenAddress("callers_listen");
  if (reader.Has("callers_tls")) {
    settings_reader tls = reader.Object("callers_tls");
    settings.callers_tls =
        callers_tls_files{tls.ExistingFile("certificate"), tls.ExistingFile("private_key")};
    tls.CheckUnknownKeys();
  }
  settings.announcements_listen = reader.ListenAddress("announcements_listen");
  settings.coordinators = ReadCoordinators(reader);
  const bool is_region_known =
      std::any_of(settings.coordinators.begin(), settings.coordinators.end(),
                  [&](const coordinator_group& each) { return each.region == settings.region; });
  if (!is_region_known) {
    reader.AddFault("region", "has no coordinators in 'coordinators'");
  }
  settings.drain_delay =
      ReadMilliseconds(reader, "drain_delay", milliseconds(0), minutes(5), seconds(3));
  settings.drain_deadline =
      ReadMilliseconds(reader, "drain_deadline", milliseconds(100), minutes(30), seconds(30));
  if (settings.drain_deadline <= settings.drain_delay) {
    reader.AddFault("drain_deadline", "must be longer than drain_delay");
  }
  settings.limits = ReadLimits(reader);
  reader.CheckUnknownKeys();
  BOOST_LEAF_CHECK(reader.Report());
  return settings;
}

result<QSslConfiguration> LoadCallersTls(const callers_tls_files& files) {
  const QList<QSslCertificate> chain =
      QSslCertificate::fromData(ReadAll(files.certificate), QSsl::Pem);
  const QByteArray key_text = ReadAll(files.private_key);
  QSslKey key(key_text, QSsl::Ec, QSsl::Pem);
  if (key.isNull()) {
    key = QSslKey(key_text, QSsl::Rsa, QSsl::Pem);
  }
  if (chain.isEmpty() || key.isNull()) {
    return Fail(error_kind::kInvalidSettings, "no usable certificate or key in " +
                                                  files.certificate.string() + ", " +
                                                  files.private_key.string());
  }
  QSslConfiguration configuration = QSslConfiguration::defaultConfiguration();
  configuration.setProtocol(QSsl::TlsV1_2OrLater);
  configuration.setLocalCertificateChain(chain);
  configuration.setPrivateKey(key);
  configuration.setPeerVerifyMode(QSslSocket::VerifyNone);
  configuration.setAllowedNextProtocols({"http/1.1"});
  return configuration;
}

}  // namespace corianderhoist
