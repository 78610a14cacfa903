#include "serving/upstream_call.h"

#include "base/hash.h"

#include <QTimer>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <cstdio>
#include <iterator>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kMaxSkippedAnswers = 2;
// A body that is not needed is read up to this size, so that the connection can be reused.
constexpr std::size_t kMaxDiscardedBodyBytes = 64UL << 10U;
constexpr std::size_t kMaxRequestsPerConnection = 512;
constexpr int kMisdirectedRequestStatus = 421;
// Callers take these for the statement that the request was not run.
constexpr std::array kNotRunStatuses = {408, 429, 503};
constexpr int kMinSuccessStatus = 200;
constexpr int kMinRedirectStatus = 300;
// Upstreams close idle connections. Conservative limit for those that announce no timeout.
constexpr milliseconds kDefaultIdleLifetime(4000);
// An upstream may close the connection while a request is in transit, so connections are given up
// this long before the announced timeout.
constexpr milliseconds kIdleExpiryMargin(1500);

// Reads "timeout=N" of a Keep-Alive field, in seconds.
std::optional<seconds> KeepAliveTimeout(const header_fields& headers) {
  const std::string* field = FindHeader(headers, "Keep-Alive");
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = field != nullptr ? field->find(kName) : std::string::npos;
  if (at == std::string::npos) {
    return std::nullopt;
  }
  int value = 0;
  const char* begin = field->data() + at + kName.size();
  const auto parsed = std::from_chars(begin, field->data() + field->size(), value);
  return parsed.ec == std::errc() ? std::optional(seconds(value)) : std::nullopt;
}

// Whether the fields with this name have different values.
bool IsAmbiguous(const header_fields& headers, std::string_view name) {
  const std::string* first = FindHeader(headers, name);
  return std::any_of(headers.begin(), headers.end(), [&](const header_field& field) {
    return IsSameName(field.name, name) && field.value != *first;
  });
}

}  // namespace

// ---- connection_cache ----

bool connection_cache::IsUsable(const idle_connection& connection,
                                milliseconds max_idle_time,
                                steady_time now) {
  return now < connection.until && now - connection.since <= max_idle_time;
}

bool connection_cache::Has(upstream_handle upstream, milliseconds max_idle_time) const {
  const auto found = idle_.find(upstream);
  return found != idle_.end() && IsUsable(found->second.back(), max_idle_time, clock_.Now());
}

kept_connection connection_cache::Take(upstream_handle upstream,
                                       milliseconds max_idle_time,
                                       std::string_view attempt_id) {
  const auto found = idle_.find(upstream);
  if (found == idle_.end()) {
    return {};
  }
  const steady_time now = clock_.Now();
  const std::uint64_t id = FastHash(attempt_id);
  std::vector<idle_connection>& connections = found->second;
  // A connection that has been idle for too long for this request may be usable for another one.
  // `Sweep` closes those whose lifetime has ended.
  const auto last =
      std::find_if(connections.rbegin(), connections.rend(), [&](const idle_connection& each) {
        const auto& sent = each.kept.sent_ids;
        return IsUsable(each, max_idle_time, now) &&
               std::find(sent.begin(), sent.end(), id) == sent.end();
      });
  if (last == connections.rend()) {
    return {};
  }
  kept_connection taken = std::move(last->kept);
  connections.erase(std::next(last).base());
  if (connections.empty()) {
    idle_.erase(found);
  }
  return taken;
}

void connection_cache::Put(upstream_handle upstream,
                           kept_connection connection,
                           milliseconds lifetime) {
  const steady_time now = clock_.Now();
  const std::uint64_t id = next_id_++;
  // A connection that receives data or is closed while idle cannot be reused.
  connection.stream->SetEvents(
      {.on_connected = {},
       .on_bytes = [this, upstream, id](std::string_view) { Remove(upstream, id); },
       .on_end = [this, upstream, id](stream_end) { Remove(upstream, id); },
       .on_drained = {}});
  idle_[upstream].push_back({std::move(connection), now, now + lifetime, id});
}

void connection_cache::Remove(upstream_handle upstream, std::uint64_t id) {
  const auto found = idle_.find(upstream);
  if (found == idle_.end()) {
    return;
  }
  std::erase_if(found->second, [id](const idle_connection& each) { return each.id == id; });
  if (found->second.empty()) {
    idle_.erase(found);
  }
}

void connection_cache::Sweep(const std::function<bool(upstream_handle)>& is_known) {
  const steady_time now = clock_.Now();
  for (auto& [upstream, connections] : idle_) {
    const bool is_kept = is_known(upstream);
    std::erase_if(connections,
                  [&](const idle_connection& each) { return !is_kept || now >= each.until; });
  }
  std::erase_if(round_trips_, [&](const auto& item) { return !is_known(item.first); });
  std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

std::size_t connection_cache::Size() const {
  std::size_t size = 0;
  for (const auto& [upstream, connections] : idle_) {
    size += connections.size();
  }
  return size;
}

void connection_cache::NoteRoundTrip(upstream_handle upstream,
                                     std::chrono::microseconds round_trip) {
  const auto [known, is_new] = round_trips_.try_emplace(upstream, round_trip);
  known->second = std::min(known->second, round_trip);
}

std::chrono::microseconds connection_cache::RoundTrip(upstream_handle upstream) const {
  const auto found = round_trips_.find(upstream);
  return found == round_trips_.end() ? std::chrono::microseconds(0) : found->second;
}

// ---- upstream_call ----

upstream_call::upstream_call(connection_cache& cache,
                             const upstream_header_names& header_names,
                             const clock_source& clock,
                             call_plan plan,
                             events handlers)
    : cache_(cache),
      header_names_(header_names),
      clock_(clock),
      plan_(std::move(plan)),
      events_(std::move(handlers)),
      hold_(cache.Buffers()) {}

upstream_call::~upstream_call() {
  has_ended_ = true;
}

void upstream_call::ResetReader() {
  reader_ =
      std::make_unique<answer_reader>(plan_.is_head_method, close_delimited_answers::kAccepted);
  reader_->on_head = [this](const answer_head& head) { OnHead(head); };
  reader_->on_body = [this](std::string_view part) { OnBody(part); };
}

void upstream_call::OnBody(std::string_view part) {
  if (has_ended_) {
    return;
  }
  if (!is_other_request_ && result_ == call_result::kAnswered) {
    if (events_.on_body) {
      events_.on_body(part);
    }
    return;
  }
  discarded_bytes_ += part.size();
  if (discarded_bytes_ > kMaxDiscardedBodyBytes) {
    is_keep_alive_ = false;
    if (is_other_request_) {
      Finish(call_result::kBroken, "the answer belongs to another request");
    } else {
      Finish(result_, result_detail_);
    }
  }
}

void upstream_call::Start() {
  ResetReader();
  // Without an id, an answer to an earlier request on the connection could not be told from the own
  // one.
  if (plan_.max_idle_time.count() > 0 && !plan_.attempt_id.empty()) {
    kept_connection kept = cache_.Take(plan_.upstream, plan_.max_idle_time, plan_.attempt_id);
    stream_ = std::move(kept.stream);
    sent_ids_ = std::move(kept.sent_ids);
  }
  if (stream_) {
    is_reused_ = true;
    Watch();
    // Deferred, so that no event is called from within `Start`.
    QTimer::singleShot(0, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && !self->has_ended_) {
        self->SendHead();
      }
    });
    return;
  }
  connecting_since_ = clock_.Now();
  stream_ = tcp_stream::Connect(plan_.address, {});
  if (cache_.Buffers() != nullptr) {
    stream_->CountIn(*cache_.Buffers());
  }
  Watch();
  QTimer::singleShot(plan_.connect_timeout, Qt::PreciseTimer, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->has_ended_ && !self->is_sent_) {
      self->Finish(call_result::kNotConnected, "no connection in time");
    }
  });
}

void upstream_call::Watch() {
  stream_->SetEvents({.on_connected =
                          [this] {
                            cache_.NoteRoundTrip(
                                plan_.upstream,
                                std::chrono::duration_cast<std::chrono::microseconds>(
                                    clock_.Now() - connecting_since_));
                            SendHead();
                          },
                      .on_bytes = [this](std::string_view bytes) { OnBytes(bytes); },
                      .on_end = [this](stream_end end) { OnClosed(end); },
                      .on_drained =
                          [this] {
                            if (!has_ended_ && events_.on_drained) {
                              events_.on_drained();
                            }
                          }});
}

void upstream_call::SendHead() {
  const auto keep_alive = shared_from_this();
  if (clock_.Now() >= plan_.deadline) {
    // The process may have been suspended since the plan was made.
    Finish(call_result::kNotConnected, "no time left to send the request");
    return;
  }
  // The upstream may have stated while the connection was being established that it leaves.
  if (events_.may_send && !events_.may_send()) {
    Finish(call_result::kWithheld, "the upstream accepts no requests");
    return;
  }
  std::string text = plan_.request_line + " HTTP/1.1\r\n";
  for (const header_field& field : plan_.headers) {
    text += field.name + ": " + field.value + "\r\n";
  }
  const auto left = std::chrono::duration_cast<milliseconds>(plan_.deadline - clock_.Now());
  text += header_names_.deadline_ms + ": " +
          std::to_string(std::max<std::int64_t>(left.count(), 1)) + "\r\n";
  if (plan_.body_length) {
    if (plan_.has_body) {
      text += "Content-Length: " + std::to_string(*plan_.body_length) + "\r\n";
    }
  } else {
    text += "Transfer-Encoding: chunked\r\n";
  }
  text += "\r\n";
  is_sent_ = true;
  sent_at_ = clock_.Now();
  sent_ids_.push_back(FastHash(plan_.attempt_id));
  text += std::exchange(unsent_body_, {});
  hold_.Set(0);
  stream_->Write(text);
  if (events_.on_sent) {
    events_.on_sent();
  }
}

void upstream_call::SendBody(std::string_view part) {
  if (has_ended_ || part.empty()) {
    return;
  }
  std::string framed;
  if (!plan_.body_length) {
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
    framed = size.data();
    framed += part;
    framed += "\r\n";
  } else {
    framed = part;
  }
  if (is_sent_) {
    stream_->Write(framed);
  } else {
    unsent_body_ += framed;
    hold_.Set(unsent_body_.size());
  }
}

void upstream_call::FinishBody() {
  if (has_ended_ || std::exchange(is_body_complete_, true) || plan_.body_length) {
    return;
  }
  constexpr std::string_view kLastChunk = "0\r\n\r\n";
  if (is_sent_) {
    stream_->Write(kLastChunk);
  } else {
    unsent_body_ += kLastChunk;
  }
}

void upstream_call::Pause(bool is_paused) {
  if (!has_ended_ && stream_) {
    stream_->PauseReading(is_paused);
  }
}

void upstream_call::OnBytes(std::string_view bytes) {
  const auto keep_alive = shared_from_this();
  if (!is_sent_) {
    Finish(call_result::kNotConnected, "bytes before the request");
    return;
  }
  incoming_.append(bytes);
  while (!has_ended_ && !incoming_.empty()) {
    has_answer_begun_ = true;
    const bool is_complete = Recover([&] { return reader_->Read(incoming_); },
                                     [&](const error& failure) {
                                       Finish(call_result::kBroken, failure.detail);
                                       return false;
                                     });
    if (!is_complete || has_ended_) {
      return;
    }
    OnAnswerComplete();
  }
}

void upstream_call::OnHead(const answer_head& head) {
  is_keep_alive_ = false;
  const std::string* id = FindHeader(head.headers, header_names_.attempt_id);
  const bool is_ambiguous = IsAmbiguous(head.headers, header_names_.attempt_id);
  is_other_request_ = id != nullptr && *id != plan_.attempt_id && !is_ambiguous;
  if (events_.on_own_head && !is_ambiguous && IsOwnHead(head, id)) {
    events_.on_own_head(head);
  }
  if (is_other_request_) {
    return;
  }
  head_ = head;
  const bool is_only_answer = !is_reused_ && skipped_answers_ == 0;
  const bool is_not_run_status = std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(),
                                           head.status) != kNotRunStatuses.end();
  const bool is_success = head.status >= kMinSuccessStatus && head.status < kMinRedirectStatus;
  if (is_ambiguous) {
    result_ = call_result::kBroken;
    result_detail_ = "answer with several ids";
  } else if (id == nullptr && !is_only_answer) {
    result_ = call_result::kBroken;
    result_detail_ = is_reused_ ? "answer without an id on a reused connection"
                                : "answer without an id after one to another request";
  } else if (FindHeader(head.headers, header_names_.not_executed) != nullptr) {
    result_ = call_result::kNotExecuted;
    result_detail_ = "status " + std::to_string(head.status);
  } else if (head.status == kMisdirectedRequestStatus) {
    result_ = call_result::kWrongInstance;
    result_detail_ = "another incarnation has the address";
  } else if (!plan_.may_run_twice && is_not_run_status) {
    result_ = call_result::kBroken;
    result_detail_ =
        "status " + std::to_string(head.status) + " without the statement that it did not run";
  } else if (is_success && plan_.must_be_signed &&
             FindHeader(head.headers, header_names_.signature) == nullptr) {
    result_ = call_result::kBroken;
    result_detail_ = "success without a signature";
  } else if (is_success && FindHeader(head.headers, "Content-Encoding") != nullptr) {
    result_ = call_result::kBroken;
    result_detail_ = "encoded answer that was not asked for";
  } else if (events_.on_head) {
    events_.on_head(head_);
  }
}

// The process at the other end of the connection can be another incarnation, which says so by its
// status. Responses without the id of a request of this connection may be stray bytes.
bool upstream_call::IsOwnHead(const answer_head& head, const std::string* id) const {
  if (head.status == kMisdirectedRequestStatus) {
    return false;
  }
  if (is_other_request_) {
    return std::find(sent_ids_.begin(), sent_ids_.end(), FastHash(*id)) != sent_ids_.end();
  }
  return id != nullptr || !is_reused_ || plan_.attempt_id.empty();
}

void upstream_call::OnAnswerComplete() {
  is_keep_alive_ = reader_->IsKeepAlive();
  if (is_other_request_) {
    // A late response to an earlier request on this connection. The expected one follows.
    if (++skipped_answers_ > kMaxSkippedAnswers || !is_keep_alive_) {
      Finish(call_result::kBroken, "the answer belongs to another request");
      return;
    }
    ResetReader();
    return;
  }
  Finish(result_, result_detail_);
}

void upstream_call::OnClosed(stream_end end) {
  if (has_ended_) {
    return;
  }
  const auto keep_alive = shared_from_this();
  if (!is_sent_) {
    Finish(call_result::kNotConnected, "connection failed");
    return;
  }
  const bool is_ended_by_close =
      end == stream_end::kFinished && !is_other_request_ && reader_->FinishAtClose();
  // The response head is enough to know that the request was not run.
  const bool is_refusal =
      result_ == call_result::kNotExecuted || result_ == call_result::kWrongInstance;
  if (is_ended_by_close || is_refusal) {
    Finish(result_, result_detail_);
  } else if (has_answer_begun_ && !is_other_request_) {
    Finish(call_result::kBroken, "the answer ended early");
  } else {
    Finish(
        IsProbablyIdleClose() ? call_result::kClosedIdle : call_result::kLost,
        end == stream_end::kFinished ? "connection closed without an answer" : "connection reset");
  }
}

// An upstream that closes an idle connection just before it receives the request has sent the close
// within one round trip after the request was sent. A later close is its answer to the request.
bool upstream_call::IsProbablyIdleClose() const {
  return is_reused_ && clock_.Now() - sent_at_ <= cache_.RoundTrip(plan_.upstream);
}

void upstream_call::Cancel() {
  if (!std::exchange(has_ended_, true)) {
    Release(false);
  }
}

void upstream_call::Finish(call_result result, const std::string& detail) {
  if (std::exchange(has_ended_, true)) {
    return;
  }
  const bool is_complete = result == call_result::kAnswered || result == call_result::kNotExecuted;
  const bool is_body_sent =
      is_body_complete_ && stream_ && stream_->Unsent() == 0 && !stream_->HasDroppedBytes();
  Release(is_complete && is_keep_alive_ && is_body_sent && incoming_.empty());
  if (events_.on_end) {
    const auto on_end = std::move(events_.on_end);
    on_end(result, detail);
  }
}

milliseconds upstream_call::ReuseLifetime() const {
  const auto announced = KeepAliveTimeout(head_.headers);
  return announced ? std::max(milliseconds(0), milliseconds(*announced) - kIdleExpiryMargin)
                   : kDefaultIdleLifetime;
}

void upstream_call::Release(bool is_reusable) {
  if (!stream_) {
    return;
  }
  if (is_reusable && ReuseLifetime().count() > 0 && sent_ids_.size() < kMaxRequestsPerConnection) {
    // The owner may have paused reading at the last part of the answer.
    stream_->PauseReading(false);
    cache_.Put(plan_.upstream, {std::move(stream_), std::move(sent_ids_)}, ReuseLifetime());
    return;
  }
  // Destroyed by the event loop, since the stream may be in use further up the call stack.
  stream_->SetEvents({});
  QTimer::singleShot(0, [dropped = std::shared_ptr<tcp_stream>(std::move(stream_))] {});
}

}  // namespace corianderhoist
