// Coordinator settings. Guards against starting with settings that would split the group or leave
// it without configuration.
#include "coordinator/coordinator_settings.h"
#include "support/test_certificate_authority.h"
#include "support/test_table.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace corianderhoist {
namespace {

struct settings_case {
  std::string name;
  std::string key;
  std::string value;  ///< JSON, empty to remove the key.
  std::string fault;  ///< Part of the report, empty for valid settings.
};

std::string Document(const tls_files& files, const settings_case& row) {
  QJsonObject document = QJsonDocument::fromJson(R"({"name": "c1", "listen": "127.0.0.1:0",
        "status_listen": "127.0.0.1:0", "region": "north", "data_centre": "a",
        "data_folder": "/tmp/none", "regions": ["north", "south"],
        "members": [{"name": "c1", "address": "127.0.0.1:7001"},
                    {"name": "c2", "address": "127.0.0.1:7002"}],
        "control": [{"name": "k1", "address": "127.0.0.1:7003"}]})")
                             .object();
  document["tls"] = QJsonObject{{"certificate", QString::fromStdString(files.certificate.string())},
                                {"private_key", QString::fromStdString(files.private_key.string())},
                                {"authority", QString::fromStdString(files.authority.string())}};
  if (row.value.empty()) {
    document.remove(QString::fromStdString(row.key));
  } else {
    const std::string wrapped = R"({"v": )" + row.value + "}";
    document[QString::fromStdString(row.key)] =
        QJsonDocument::fromJson(QByteArray::fromStdString(wrapped)).object()["v"];
  }
  return QJsonDocument(document).toJson().toStdString();
}

const test_table kSettings(
    "coordinator settings",
    std::vector<settings_case>{
        {"are accepted", "data_centre", R"("b")", ""},
        {"without itself among the members are refused", "members",
         R"([{"name": "c2", "address": "127.0.0.1:7002"}])",
         "'c1' (name) is not among the members"},
        {"with a member named twice are refused", "members",
         R"([{"name": "c1", "address": "127.0.0.1:1"}, {"name": "c1", "address": "127.0.0.1:2"}])",
         "'c1' is used twice"},
        {"without control are refused", "control", "[]", "at least one control VM"},
        {"of an unknown region are refused", "region", R"("west")", "'west' (region) is not among"},
        {"without a data folder are refused", "data_folder", "", "data_folder"},
        {"with an unknown key are refused", "colour", "1", "colour"},
    },
    std::function([](const settings_case& row) {
      test_certificate_authority keys;
      const std::string text = Document(keys.Issue("coordinator", "c1"), row);
      const std::string report = Recover(
          [&]() -> result<std::string> {
            BOOST_LEAF_AUTO(reader, settings_reader::FromText(text));
            BOOST_LEAF_AUTO(settings, ReadCoordinatorSettings(std::move(reader)));
            return std::string(settings.region == "north" ? "" : "wrong region");
          },
          [](const error& failure) { return failure.detail; });
      CPPUNIT_ASSERT_MESSAGE(
          report, row.fault.empty() ? report.empty() : report.find(row.fault) != report.npos);
    }));

}  // namespace
}  // namespace corianderhoist
