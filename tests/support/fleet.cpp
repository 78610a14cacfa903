#include "support/fleet.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace corianderhoist {
namespace {

constexpr std::chrono::seconds kStatusTimeout{5};

QString ToQt(const std::string& text) {
  return QString::fromStdString(text);
}

QJsonArray ToArray(const std::vector<std::string>& texts) {
  QJsonArray array;
  for (const std::string& text : texts) {
    array.append(ToQt(text));
  }
  return array;
}

}  // namespace

struct fleet::member {
  std::string name;
  std::string role;
  port_reservation rpc;
  port_reservation status;
  port_reservation callers;
  port_reservation announcements;
  tls_files tls;
  std::unique_ptr<child_process> process;
};

fleet::fleet(fleet_plan plan) : plan_(std::move(plan)) {
  operator_files_ = keys_.Issue("operator", "operator-1");
  for (const std::string& region : plan_.regions) {
    AddMember("control-" + region, "control");
    for (int i = 1; i <= plan_.coordinators; ++i) {
      AddMember("coordinator-" + region + '-' + std::to_string(i), "coordinator");
    }
    for (int i = 1; i <= plan_.entries; ++i) {
      AddMember("entry-" + region + '-' + std::to_string(i), "entry");
    }
  }
  for (const std::string& name : Names()) {
    WriteSettings(name);
  }
  WriteOperatorSettings();
  for (const std::string& region : plan_.regions) {
    for (const std::string& service : plan_.services) {
      for (int i = 1; i <= plan_.upstreams; ++i) {
        AddUpstream(service, region, i);
      }
    }
  }
}

fleet::~fleet() {
  members_.clear();
}

void fleet::AddMember(const std::string& name, const std::string& role) {
  auto added = std::make_unique<member>();
  added->name = name;
  added->role = role;
  added->tls = keys_.Issue(role, name);
  added->process = std::make_unique<child_process>(
      ProgramPath("corianderhoist-" + role),
      std::vector<std::string>{"--settings", (Folder() / (name + ".json")).string()},
      Folder() / (name + ".log"));
  members_.emplace(name, std::move(added));
}

void fleet::AddUpstream(const std::string& service, const std::string& region, int number) {
  auto added = std::make_unique<member>();
  added->name = "upstream-" + service + '-' + region + '-' + std::to_string(number);
  added->role = "upstream";
  std::string announce;
  for (const std::string& entry : Names("entry-" + region + '-')) {
    announce += (announce.empty() ? "" : ",") + FormatEndpoint(Announcements(entry));
  }
  added->process = std::make_unique<child_process>(
      ProgramPath("test-upstream"),
      std::vector<std::string>{"--name=" + added->name, "--service=" + service,
                               "--region=" + region,
                               "--data_centre=" + region + '-' + std::to_string(1 + number % 2),
                               "--announce=" + announce, "--slots=" + std::to_string(plan_.slots),
                               "--service_ms=" + std::to_string(plan_.service_ms),
                               "--drain_grace_ms=" + std::to_string(plan_.drain_grace_ms)},
      Folder() / (added->name + ".log"));
  members_.emplace(added->name, std::move(added));
}

std::vector<std::string> fleet::Names(const std::string& prefix) const {
  std::vector<std::string> names;
  for (const auto& [name, each] : members_) {
    if (name.starts_with(prefix)) {
      names.push_back(name);
    }
  }
  return names;
}

std::string fleet::RegionOf(const std::string& name) {
  const std::string rest = name.substr(name.find('-') + 1);
  if (name.starts_with("upstream-")) {
    const std::string place = rest.substr(rest.find('-') + 1);
    return place.substr(0, place.find('-'));
  }
  return rest.substr(0, rest.find('-'));
}

std::vector<std::string> fleet::NamesOfRegion(const std::string& region) const {
  std::vector<std::string> names = Names();
  std::erase_if(names, [&](const std::string& name) { return RegionOf(name) != region; });
  return names;
}

QJsonObject fleet::CommonSettings(const std::string& name, const std::string& role) {
  const member& self = *members_.at(name);
  QJsonObject settings{{"name", ToQt(name)},
                       {"listen", ToQt(FormatEndpoint(self.rpc.Address()))},
                       {"status_listen", ToQt(FormatEndpoint(self.status.Address()))},
                       {"tls", QJsonObject{{"certificate", ToQt(self.tls.certificate.string())},
                                           {"private_key", ToQt(self.tls.private_key.string())},
                                           {"authority", ToQt(self.tls.authority.string())}}}};
  if (role != "control") {
    settings["region"] = ToQt(RegionOf(name));
    settings["data_centre"] = ToQt(RegionOf(name) + (name.back() % 2 == 0 ? "-2" : "-1"));
  }
  if (role != "entry") {
    settings["data_folder"] = ToQt(DataFolder(name).string());
    settings["regions"] = ToArray(plan_.regions);
  }
  return settings;
}

QJsonArray fleet::Members(const std::string& from, const std::string& prefix) {
  QJsonArray array;
  for (const std::string& name : Names(prefix)) {
    array.append(QJsonObject{{"name", ToQt(name)},
                             {"address", ToQt(FormatEndpoint(AddressFor(from, name)))}});
  }
  return array;
}

endpoint fleet::AddressFor(const std::string& from, const std::string& to) {
  endpoint direct = members_.at(to)->rpc.Address();
  if (from == to || !plan_.is_proxied || !plan_.is_proxied(from, to)) {
    return direct;
  }
  auto& link = links_[{from, to}];
  if (!link) {
    link = std::make_unique<fault_proxy>(proxy_loop_, direct);
    link->Listen({"127.0.0.1", 0});
  }
  return {"127.0.0.1", link->Port()};
}

void fleet::WriteSettings(const std::string& name) {
  const std::string& role = members_.at(name)->role;
  QJsonObject settings = CommonSettings(name, role);
  if (role == "control") {
    settings["members"] = Members(name, "control-");
  } else if (role == "coordinator") {
    settings["members"] = Members(name, "coordinator-" + RegionOf(name) + '-');
    settings["control"] = Members(name, "control-");
  } else {
    QJsonArray coordinators;
    for (const std::string& region : plan_.regions) {
      coordinators.append(QJsonObject{{"region", ToQt(region)},
                                      {"members", Members(name, "coordinator-" + region + '-')}});
    }
    settings["coordinators"] = coordinators;
    settings["callers_listen"] = ToQt(FormatEndpoint(Callers(name)));
    settings["announcements_listen"] = ToQt(FormatEndpoint(Announcements(name)));
    settings["drain_delay"] = ToQt(plan_.drain_delay);
  }
  std::ofstream(Folder() / (name + ".json")) << QJsonDocument(settings).toJson().toStdString();
}

void fleet::Start(const std::string& name) {
  Process(name).Start();
}

void fleet::StartAll() {
  for (const std::string& name : Names()) {
    Start(name);
  }
  for (const std::string& name : Names()) {
    const std::string& role = members_.at(name)->role;
    Process(name).Port(role == "upstream" ? "upstream" : role == "entry" ? "callers" : "rpc");
  }
}

child_process& fleet::Process(const std::string& name) {
  return *members_.at(name)->process;
}

endpoint fleet::Callers(const std::string& entry) const {
  return members_.at(entry)->callers.Address();
}

endpoint fleet::Announcements(const std::string& entry) const {
  return members_.at(entry)->announcements.Address();
}

endpoint fleet::Status(const std::string& name) const {
  return members_.at(name)->status.Address();
}

endpoint fleet::Upstream(const std::string& name) {
  return {"127.0.0.1", Process(name).Port("upstream")};
}

fault_proxy& fleet::Link(const std::string& from, const std::string& to) {
  return *links_.at({from, to});
}

void fleet::ForLinksOfRegion(const std::string& region,
                             const std::function<void(fault_proxy&)>& change) {
  for (auto& [ends, link] : links_) {
    if ((RegionOf(ends.first) == region) != (RegionOf(ends.second) == region)) {
      change(*link);
    }
  }
}

void fleet::ForLinksOf(const std::string& name, const std::function<void(fault_proxy&)>& change) {
  for (auto& [ends, link] : links_) {
    if (ends.first == name || ends.second == name) {
      change(*link);
    }
  }
}

std::filesystem::path fleet::DataFolder(const std::string& name) const {
  return Folder() / (name + ".data");
}

void fleet::WipeData(const std::string& name) {
  std::filesystem::remove_all(DataFolder(name));
}

std::filesystem::path fleet::LargestFile(const std::string& name) const {
  std::filesystem::path largest;
  std::uintmax_t size = 0;
  for (const auto& each : std::filesystem::recursive_directory_iterator(DataFolder(name))) {
    if (each.is_regular_file() && each.file_size() > size) {
      largest = each.path();
      size = each.file_size();
    }
  }
  if (size == 0) {
    throw std::runtime_error(name + " has no data");
  }
  return largest;
}

void fleet::TruncateLargestFile(const std::string& name, std::uintmax_t cut_bytes) {
  const auto file = LargestFile(name);
  const auto size = std::filesystem::file_size(file);
  std::filesystem::resize_file(file, size - std::min(size, cut_bytes));
}

void fleet::FlipByte(const std::string& name, std::uintmax_t from_end) {
  const auto path = LargestFile(name);
  const auto size = std::filesystem::file_size(path);
  const auto position = static_cast<std::streamoff>(size - std::min(size, from_end + 1));
  std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
  file.seekg(position);
  const int byte = file.get();
  file.seekp(position);
  file.put(static_cast<char>(byte ^ 1));
}

QJsonObject fleet::Get(const endpoint& address, const std::string& target) {
  const http_reply reply = CallOnce(address, {"GET", target, {}, {}}, kStatusTimeout);
  return QJsonDocument::fromJson(QByteArray::fromStdString(reply.body)).object();
}

void fleet::SetUpstreamFaults(const std::string& upstream, const std::string& faults) {
  const http_reply reply =
      CallOnce(Upstream(upstream), {"POST", "/_test/faults", {}, faults}, kStatusTimeout);
  if (reply.status != 200) {
    throw std::runtime_error("upstream rejects faults: " + reply.body + reply.failure);
  }
}

int fleet::Executions(const std::string& order) {
  int count = 0;
  for (const std::string& name : Names("upstream-")) {
    if (Process(name).IsRunning()) {
      const QJsonObject counts = Get(Upstream(name), "/_test/executions");
      count += counts["orders"].toObject()[ToQt(order)].toInt();
    }
  }
  return count;
}

}  // namespace corianderhoist
