/// A caller of one entry VM of a test fleet.
#pragma once

#include "experiment/http_client.h"
#include "support/fleet.h"

#include <QJsonDocument>

#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>

namespace corianderhoist {

/// Longer than any route timeout of the test rules.
inline constexpr std::chrono::seconds kCallTimeout{30};

/// Reuses one connection. Not thread safe.
class fleet_caller {
 public:
  fleet_caller(const fleet& served_by, const std::string& entry)
      : client_(std::make_unique<http_client>(served_by.Callers(entry))) {}

  /// GET with a key; an empty key sends none.
  http_reply Read(const std::string& key, const std::string& target) {
    http_call call{"GET", target, {}, {}};
    if (!key.empty()) {
      call.headers.emplace_back("Corianderhoist-Key", key);
    }
    return client_->Call(call, kCallTimeout);
  }

  /// POST with a key and an idempotency key; the upstreams count executions per idempotency key.
  http_reply Order(const std::string& key,
                   const std::string& target,
                   const std::string& order,
                   const std::string& body) {
    return client_->Call({"POST",
                          target,
                          {{"Corianderhoist-Key", key},
                           {"Idempotency-Key", order},
                           {"X-Order", order},
                           {"Content-Type", "application/json"}},
                          body},
                         kCallTimeout);
  }

  /// POST with a key and without an idempotency key.
  http_reply Send(const std::string& key, const std::string& target, const std::string& body) {
    return client_->Call({"POST", target, {{"Corianderhoist-Key", key}}, body}, kCallTimeout);
  }

  /// Waits until a read is served; throws an error with the last answer on timeout.
  void AwaitServed(const std::string& key, const std::string& target) {
    http_reply reply;
    const bool is_served = WaitUntil([&] {
      reply = Read(key, target);
      return reply.status == 200;
    });
    if (!is_served) {
      throw std::runtime_error(target + " is not served: " + std::to_string(reply.status) + ' ' +
                               reply.failure + reply.body);
    }
  }

  /// "REGION/DATA_CENTRE" of the upstream that answered, read from the body.
  static std::string PlaceOf(const http_reply& reply) { return BodyMember(reply, "place"); }
  static std::string UpstreamOf(const http_reply& reply) { return BodyMember(reply, "upstream"); }

 private:
  static std::string BodyMember(const http_reply& reply, const char* name) {
    const auto body = QJsonDocument::fromJson(QByteArray::fromStdString(reply.body)).object();
    return body[name].toString().toStdString();
  }

  std::unique_ptr<http_client> client_;
};

}  // namespace corianderhoist
