#include "support/entry_fixture.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QTcpSocket>

#include <fstream>
#include <stdexcept>

namespace corianderhoist {
namespace {

constexpr std::chrono::seconds kCallTimeout(20);
constexpr const char* kRegion = "centre";

constexpr const char* kRules =
    "service orders floor=50 # test\n"
    "workspace shop places=centre rate=100000/s burst=100000 # test\n"
    "route GET,HEAD /orders service=orders access=keyed timeout=3s # test\n"
    "route POST /orders service=orders access=keyed timeout=3s # test\n"
    "route GET /open service=orders access=open places=centre timeout=3s # test\n";

QString ToQString(const std::string& text) {
  return QString::fromStdString(text);
}

}  // namespace

entry_fixture::entry_fixture(entry_options options) : region_(keys_, kRegion) {
  region_.SetRules(kRules);
  region_.SetKey(kKey, "shop");
  for (int i = 1; i <= options.entries; ++i) {
    AddEntry(i, options);
  }
  for (int i = 1; i <= options.upstreams; ++i) {
    AddUpstream(i, options);
  }
  WaitUntilOrThrow("entry VMs have the configuration", [&] {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (State(i)["entry"].toObject()["config_version"].toInt() < 2) {
        return false;
      }
    }
    return true;
  });
  WaitUntilOrThrow("upstreams have announced themselves", [&] {
    return region_.Announcements().size() >= upstreams_.size() * entries_.size();
  });
}

void entry_fixture::AddEntry(int number, const entry_options& options) {
  const std::string name = "entry-" + std::to_string(number);
  const tls_files tls = keys_.Issue("entry", name);
  QJsonObject settings{
      {"name", ToQString(name)},
      {"listen", "127.0.0.1:0"},
      {"status_listen", "127.0.0.1:0"},
      {"tls", QJsonObject{{"certificate", ToQString(tls.certificate.string())},
                          {"private_key", ToQString(tls.private_key.string())},
                          {"authority", ToQString(tls.authority.string())}}},
      {"region", kRegion},
      {"data_centre", "centre-1"},
      {"callers_listen", "127.0.0.1:0"},
      {"announcements_listen", "127.0.0.1:0"},
      {"coordinators",
       QJsonArray{QJsonObject{
           {"region", kRegion},
           {"members",
            QJsonArray{QJsonObject{
                {"name", ToQString(region_.Name())},
                {"address", ToQString(FormatEndpoint({"127.0.0.1", region_.Port()}))}}}}}}}};
  for (const QString& key : options.settings.keys()) {
    settings[key] = options.settings[key];
  }
  const auto file = keys_.Folder() / (name + ".json");
  std::ofstream(file) << QJsonDocument(settings).toJson().toStdString();
  entries_.push_back(std::make_unique<child_process>(
      ProgramPath("corianderhoist-entry"), std::vector<std::string>{"--settings", file.string()},
      keys_.Folder() / (name + ".log")));
  entries_.back()->Start();
}

void entry_fixture::AddUpstream(int number, const entry_options& options) {
  const std::string name = "upstream-" + std::to_string(number);
  std::string targets;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    targets += (targets.empty() ? "" : ",") + FormatEndpoint(AnnouncementAddress(i));
  }
  upstreams_.push_back(std::make_unique<child_process>(
      ProgramPath("test-upstream"),
      std::vector<std::string>{"--name=" + name, "--service=orders",
                               std::string("--region=") + kRegion, "--data_centre=centre-1",
                               "--announce=" + targets, "--announce_ms=200", "--slots=1000",
                               "--service_ms=" + std::to_string(options.service_ms)},
      keys_.Folder() / (name + ".log")));
  upstreams_.back()->Start();
}

endpoint entry_fixture::CallerAddress(std::size_t index) {
  return {"127.0.0.1", entries_.at(index)->Port("callers")};
}

endpoint entry_fixture::AnnouncementAddress(std::size_t index) {
  return {"127.0.0.1", entries_.at(index)->Port("announcements")};
}

QJsonObject entry_fixture::State(std::size_t index) {
  const http_reply reply = CallOnce({"127.0.0.1", entries_.at(index)->Port("status")},
                                    {"GET", "/state", {}, {}}, kCallTimeout);
  return QJsonDocument::fromJson(QByteArray::fromStdString(reply.body)).object();
}

http_reply entry_fixture::Call(const http_call& call, std::size_t entry) {
  return CallOnce(CallerAddress(entry), call, kCallTimeout);
}

http_reply entry_fixture::Get(const std::string& target) {
  return Call({"GET", target, {{"Corianderhoist-Key", kKey}}, {}});
}

http_reply entry_fixture::Post(const std::string& target,
                               const std::string& body,
                               const std::string& idempotency_key,
                               std::size_t entry) {
  http_call call{"POST", target, {{"Corianderhoist-Key", kKey}}, body};
  if (!idempotency_key.empty()) {
    call.headers.emplace_back("Idempotency-Key", idempotency_key);
  }
  return Call(call, entry);
}

std::string entry_fixture::SendRaw(const std::string& bytes, std::chrono::milliseconds timeout) {
  QTcpSocket socket;
  socket.connectToHost("127.0.0.1", CallerAddress().port);
  if (!socket.waitForConnected(static_cast<int>(kCallTimeout.count()) * 1000)) {
    throw std::runtime_error("cannot connect to the entry VM");
  }
  socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  std::string received;
  while (std::chrono::steady_clock::now() < deadline) {
    socket.waitForReadyRead(20);
    received += socket.readAll().toStdString();
    if (socket.state() != QAbstractSocket::ConnectedState) {
      break;
    }
  }
  return received;
}

void entry_fixture::SetFaults(const std::string& json, std::size_t upstream) {
  const http_reply reply = CallOnce({"127.0.0.1", upstreams_.at(upstream)->Port("upstream")},
                                    {"POST", "/_test/faults", {}, json}, kCallTimeout);
  if (reply.status != 200) {
    throw std::runtime_error("upstream refused the faults: " + reply.body);
  }
}

QJsonObject entry_fixture::Executions(std::size_t upstream) {
  const http_reply reply = CallOnce({"127.0.0.1", upstreams_.at(upstream)->Port("upstream")},
                                    {"GET", "/_test/executions", {}, {}}, kCallTimeout);
  return QJsonDocument::fromJson(QByteArray::fromStdString(reply.body)).object();
}

int entry_fixture::TotalExecutions() {
  int total = 0;
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    total += Executions(i)["total"].toInt();
  }
  return total;
}

std::vector<complete_request> entry_fixture::WaitForCompletes(std::size_t count) {
  WaitUntilOrThrow("outcomes have been reported",
                   [&] { return region_.Completes().size() >= count; });
  return region_.Completes();
}

}  // namespace corianderhoist
