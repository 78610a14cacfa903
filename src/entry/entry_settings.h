/// Settings of an entry VM.
#pragma once

#include "base/endpoint.h"
#include "base/error.h"
#include "http/caller_connection.h"
#include "settings/settings_reader.h"
#include "wire/daemon.h"

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace corianderhoist {

/// Addresses of the coordinators of a region.
struct coordinator_group {
  std::string region;
  std::vector<named_endpoint> members;
};

/// PEM files of the server certificate for callers and its private key.
struct callers_tls_files {
  std::filesystem::path certificate;
  std::filesystem::path private_key;
};

struct entry_settings {
  process_settings process;
  std::string region;
  std::string data_centre;
  endpoint callers_listen;
  std::optional<callers_tls_files> callers_tls;
  endpoint announcements_listen;
  std::vector<coordinator_group> coordinators;
  /// From the start of the shutdown until connections are no longer accepted.
  std::chrono::milliseconds drain_delay{};
  /// From the start of the shutdown until the remaining requests are refused.
  std::chrono::milliseconds drain_deadline{};
  caller_limits limits;
};

/// Reads and validates all settings. Fails with `kInvalidSettings`, listing every error.
result<entry_settings> ReadEntrySettings(settings_reader reader);

/// Loads the server certificate for callers. Fails with `kInvalidSettings`.
result<QSslConfiguration> LoadCallersTls(const callers_tls_files& files);

}  // namespace corianderhoist
