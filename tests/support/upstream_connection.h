/// One connection to the simulated upstream.
#pragma once

#include "support/upstream.h"

#include <QObject>
#include <QTcpSocket>
#include <boost/beast/http.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace corianderhoist {

/// Serves one request at a time and injects answer faults. Child object of its socket, which
/// deletes it.
class upstream_connection final : public QObject {
 public:
  upstream_connection(simulated_upstream& upstream, QTcpSocket* socket);

 private:
  using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Parse();
  void Serve();
  void RunWork();
  void SendAnswer(answer_fault fault);
  void Write(const std::string& answer);
  void FinishRequest();
  void Reset();

  simulated_upstream& upstream_;
  QTcpSocket* socket_;
  std::string received_;
  std::optional<parser> parser_;
  upstream_request request_;
  std::string previous_answer_;
  bool is_busy_ = false;
  bool is_holding_slot_ = false;
};

}  // namespace corianderhoist
