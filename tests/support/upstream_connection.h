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

/// Serves one request at a time and shows the answer faults. Deletes itself with its socket.
class upstream_connection final : public QObject {
 public:
  upstream_connection(simulated_upstream& upstream, QTcpSocket* socket);

 private:
  using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Parse();
  void Serve();
  void Work();
  void Finish(answer_fault fault);
  void Send(const std::string& answer);
  void Next();
  void Reset();

  simulated_upstream& upstream_;
  QTcpSocket* socket_;
  std::string received_;
  std::optional<parser> parser_;
  upstream_request request_;
  std::string former_answer_;
  bool is_busy_ = false;
  bool is_holding_slot_ = false;
};

}  // namespace corianderhoist
