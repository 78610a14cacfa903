// Graceful shutdown of a core VM of the platform while operators call it.
#include "support/child_process.h"
#include "support/core_group.h"
#include "support/test_certificate_authority.h"
#include "support/test_table.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTcpSocket>

#include <csignal>
#include <fstream>
#include <thread>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr const char* kSettingsVariable = "CORIANDERHOIST_BOOT";

/// A core VM in its own process, the only one of `seeds` that runs.
class core_process {
 public:
  explicit core_process(int seeds) {
    QJsonArray seed_addresses;
    for (int i = 1; i <= seeds; ++i) {
      seed_addresses.append(
          QString("127.0.0.%1:%2").arg(i).arg(static_cast<int>(control_.Address().port)));
    }
    const QJsonObject settings{
        {"name", "core-1"},
        {"ip", "127.0.0.1"},
        {"data_centre", "centre-1"},
        {"region", "centre"},
        {"regions", QJsonObject{{"centre-1", "centre"}}},
        {"listen", QJsonObject{{"control", seed_addresses[0]}}},
        {"ports", QJsonArray{static_cast<int>(rpc_.Address().port)}},
        {"seeds", seed_addresses},
        {"may_found", true},
        {"data_folder", QString::fromStdString((folder_.Folder() / "data").string())},
        {"tolerated_losses", seeds / 2},
        {"bounds", QJsonObject{{"grace_s", 3}}}};
    const auto file = folder_.Folder() / "core.json";
    std::ofstream(file) << QJsonDocument(settings).toJson().toStdString();
    qputenv(kSettingsVariable, QByteArray::fromStdString(file.string()));
    process_ = std::make_unique<child_process>(
        ProgramPath("corianderhoist-platform"),
        std::vector<std::string>{"--role=core",
                                 "--status_port=" + std::to_string(status_.Address().port)},
        folder_.Folder() / "core.log");
    Start();
  }

  void Start() {
    process_->Start();
    WaitUntilOrThrow("the core VM listens", [this] {
      QTcpSocket socket;
      Connect(socket);
      return socket.waitForConnected(100);
    });
  }
  child_process& Process() { return *process_; }
  void Connect(QTcpSocket& socket) const {
    socket.connectToHost("127.0.0.1", control_.Address().port);
  }

  /// Sends the parts of a call with this pause between them; returns all bytes of the answer.
  std::string Call(const std::string& first, milliseconds pause, const std::string& rest) const {
    QTcpSocket socket;
    Connect(socket);
    socket.waitForConnected(1000);
    socket.write(first.data(), static_cast<qint64>(first.size()));
    socket.waitForBytesWritten(1000);
    std::this_thread::sleep_for(pause);
    socket.write(rest.data(), static_cast<qint64>(rest.size()));
    socket.waitForBytesWritten(1000);
    std::string answer;
    while (socket.waitForReadyRead(5000)) {
      answer += socket.readAll().toStdString();
    }
    return answer;
  }

 private:
  test_certificate_authority folder_;
  port_reservation control_;
  port_reservation rpc_;
  port_reservation status_;
  std::unique_ptr<child_process> process_;
};

std::string PutCall(std::uint64_t version, const std::string& connection) {
  const std::string body = core_group::PolicyDocument(version);
  return "POST /api/config/put HTTP/1.1\r\nHost: h\r\nConnection: " + connection +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct stop_case {
  std::string name;
  int seeds;
  std::size_t held_back;  ///< Bytes of the call that are sent 600 ms after the signal.
  milliseconds pause;     ///< 0: the rest is never sent.
  std::string status_line;
  std::string member;
};

// Guards against calls of operators that end without an answer.
const test_table kCalls(
    "call of an operator at a stop of a core VM",
    std::vector<stop_case>{
        {"that waits for a majority is answered", 3, 0, milliseconds(0), "HTTP/1.1 503",
         "not_accepted"},
        {"that is read after the signal is carried out", 1, 10, milliseconds(800), "HTTP/1.1 200",
         "{}"},
        {"that is never read completely is refused", 1, 10, milliseconds(0), "HTTP/1.1 503",
         "shutting_down"},
    },
    std::function([](const stop_case& row) {
      core_process core(row.seeds);
      if (row.seeds == 1) {
        WaitUntilOrThrow("a configuration is accepted", [&] {
          return core.Call(PutCall(1, "close"), {}, "").find(" 200 ") != std::string::npos;
        });
      }
      std::string answer;
      const std::string call = PutCall(2, "keep-alive");
      const std::string first = call.substr(0, call.size() - row.held_back);
      const std::string rest = row.pause.count() > 0 ? call.substr(first.size()) : "";
      std::thread caller([&] { answer = core.Call(first, row.pause, rest); });
      std::this_thread::sleep_for(milliseconds(200));
      core.Process().SendSignal(SIGTERM);
      const int code = core.Process().WaitForEnd(milliseconds(3000));
      caller.join();
      CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with(row.status_line));
      CPPUNIT_ASSERT_MESSAGE(answer, answer.find(row.member) != std::string::npos);
      CPPUNIT_ASSERT_EQUAL(0, code);
      if (row.status_line == "HTTP/1.1 200") {
        core.Start();
        std::string kept;
        WaitUntilOrThrow("the configuration is read", [&] {
          kept = core.Call("GET /api/config/get HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
                           {}, "");
          return kept.find(" 200 ") != std::string::npos;
        });
        CPPUNIT_ASSERT_MESSAGE(kept, kept.find("\"r2\"") != std::string::npos);
      }
    }));

}  // namespace
}  // namespace corianderhoist
