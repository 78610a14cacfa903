#include "http/front_connection.h"

#include "base/log.h"
#include "http/answer_head_text.h"

#include <QTimer>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdio>
#include <utility>

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLingerTimeout(1000);
// Several round trips between a caller and its nearest VM. A request may arrive that much later
// than the connection was opened or the last answer was sent.
constexpr milliseconds kRequestTransitTime(250);
constexpr std::size_t kMaxPipelinedRequests = 8;
constexpr std::size_t kMaxBufferedBodyBytes = 128UL << 10U;
constexpr std::size_t kMaxIncomingBytes = 256UL << 10U;
// After an early answer, a request body of up to this size is read and discarded to keep the
// connection open.
constexpr std::uint64_t kMaxDiscardedBodyBytes = 256UL << 10U;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

std::string request_body::Take() {
  std::string taken = std::exchange(bytes_, {});
  if (!taken.empty() && on_taken_) {
    on_taken_();
  }
  return taken;
}

// Frames one answer and buffers it until all earlier answers are complete.
class front_connection::sink final : public answer_sink {
 public:
  sink(front_connection& connection, bool is_head_method)
      : connection_(&connection),
        is_head_method_(is_head_method),
        hold_(connection.context_.buffers) {}
  // Resets the connection if the answer was not completed, so that it does not look complete.
  ~sink() override { Abort(); }

  void Detach() { connection_ = nullptr; }

  void Begin(const answer_head& head) override {
    if (connection_ == nullptr) {
      return;
    }
    assert(!has_begun_ && "an answer has one head");
    has_begun_ = true;
    head_ = head;
    is_body_sent_ = HasBody(head.status) && !is_head_method_;
  }

  void Append(std::string_view part) override {
    if (connection_ == nullptr || !is_body_sent_ || part.empty()) {
      return;
    }
    appended_bytes_ += part.size();
    if (head_.length) {
      pending_ += part;
    } else {
      std::array<char, 24> size{};
      std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
      pending_ += size.data();
      pending_ += part;
      pending_ += "\r\n";
    }
    hold_.Set(pending_.size());
    connection_->OnAnswerProgress();
  }

  void End() override {
    if (connection_ == nullptr) {
      return;
    }
    if (!has_begun_ || (is_body_sent_ && head_.length && *head_.length != appended_bytes_)) {
      Abort();
      return;
    }
    if (is_body_sent_ && !head_.length) {
      pending_ += "0\r\n\r\n";
    }
    is_complete_ = true;
    connection_->OnAnswerProgress();
  }

  void Abort() override {
    if (connection_ == nullptr || is_complete_) {
      return;
    }
    is_aborted_ = true;
    connection_->OnAnswerProgress();
  }

  std::size_t Unsent() const override {
    return pending_.size() + (connection_ != nullptr && connection_->stream_ && is_first_
                                  ? connection_->stream_->Unsent()
                                  : 0);
  }

  // Returns and removes the bytes that are ready to be sent, preceded by the head at first.
  std::string TakeBytes(bool is_last) {
    std::string bytes;
    if (has_begun_ && !is_head_sent_) {
      is_head_sent_ = true;
      bytes = FormatHead(head_, is_last);
    }
    bytes += std::exchange(pending_, {});
    hold_.Set(0);
    return bytes;
  }

  bool HasBegun() const { return has_begun_; }
  bool IsHeadSent() const { return is_head_sent_; }
  bool IsComplete() const { return is_complete_; }
  bool IsAborted() const { return is_aborted_; }
  bool IsIdempotent() const { return is_idempotent_; }
  void SetIdempotent(bool is_idempotent) { is_idempotent_ = is_idempotent; }
  void SetLast() { is_last_ = true; }
  bool IsLast() const { return is_last_; }
  void SetFirst() { is_first_ = true; }

 private:
  front_connection* connection_;
  const bool is_head_method_;
  answer_head head_;
  std::string pending_;
  buffer_hold hold_;  ///< Of `pending_`.
  std::uint64_t appended_bytes_ = 0;
  bool has_begun_ = false;
  bool is_head_sent_ = false;
  bool is_body_sent_ = true;
  bool is_complete_ = false;
  bool is_aborted_ = false;
  bool is_idempotent_ = false;
  bool is_last_ = false;
  bool is_first_ = false;
};

front_connection::front_connection(front_context& context,
                                   std::function<void(front_connection*)> on_end)
    : context_(context),
      on_end_(std::move(on_end)),
      hold_(context.buffers),
      last_progress_(context.clock.Now()) {}

front_connection::~front_connection() {
  has_ended_ = true;
  for (const auto& answer : answers_) {
    answer->Detach();
  }
}

void front_connection::Start(int descriptor) {
  limits_ = context_.limits();
  stream_ =
      tcp_stream::Adopt(descriptor, {.on_connected = {},
                                     .on_bytes = [this](std::string_view bytes) { OnBytes(bytes); },
                                     .on_end = [this](stream_end) { OnEnd(); },
                                     .on_drained = [this] { OnAnswerProgress(); }});
  if (context_.buffers != nullptr) {
    stream_->CountIn(*context_.buffers);
  }
}

bool front_connection::IsBusy() const {
  return !answers_.empty() || reader_ != nullptr || waiting_request_.has_value();
}

void front_connection::CloseIfIdle(steady_time now) {
  const bool is_recent = now < last_progress_ + kRequestTransitTime;
  if (!IsBusy() && incoming_.empty() && !is_lingering_ && !is_recent) {
    Linger();
  }
}

void front_connection::CheckTimeouts(steady_time now) {
  const auto keep_alive = shared_from_this();
  if (has_ended_) {
    return;
  }
  if (is_lingering_) {
    const bool is_answer_unsent = stream_->Unsent() > 0;
    if (now > last_progress_ + (is_answer_unsent ? limits_.stall_timeout : kLingerTimeout)) {
      if (is_answer_unsent) {
        stream_->ResetOnClose();
      }
      End();
    }
    return;
  }
  if (reader_ && !is_head_seen_ && now > head_started_ + limits_.header_timeout) {
    Refuse({error_kind::kRequestTimeout, "header did not arrive in time"});
    return;
  }
  const bool is_waiting_for_caller =
      (reader_ && is_head_seen_) || (!answers_.empty() && stream_->Unsent() > 0);
  if (is_waiting_for_caller && now > last_progress_ + limits_.stall_timeout) {
    stream_->ResetOnClose();
    End();
    return;
  }
  if (!IsBusy() && now > last_progress_ + limits_.idle_timeout) {
    Linger();
  }
}

void front_connection::OnBytes(std::string_view bytes) {
  last_progress_ = context_.clock.Now();
  if (is_lingering_) {
    return;
  }
  incoming_.append(bytes);
  ProcessRequests();
}

// Reads and starts as many requests as may be in progress. Uses a loop instead of recursion,
// because many requests may be answered synchronously.
void front_connection::ProcessRequests() {
  if (std::exchange(is_processing_, true)) {
    return;
  }
  const auto keep_alive = shared_from_this();
  while (!has_ended_ && !is_lingering_ && (StartWaitingRequest() || ReadRequestPart())) {
  }
  is_processing_ = false;
  if (!has_ended_ && !is_lingering_) {
    SendAnswers();
    UpdateReadPause();
  }
}

// Starts the request whose header is complete, if it may run now. Returns whether it was started.
bool front_connection::StartWaitingRequest() {
  if (!waiting_request_) {
    return false;
  }
  const bool is_idempotent = context_.is_idempotent(*waiting_request_);
  const bool is_only_request = answers_.empty();
  const bool are_others_idempotent =
      std::all_of(answers_.begin(), answers_.end(),
                  [](const std::shared_ptr<sink>& answer) { return answer->IsIdempotent(); });
  if (!is_only_request && !(is_idempotent && are_others_idempotent)) {
    return false;
  }
  http_request request = std::move(*waiting_request_);
  waiting_request_.reset();
  auto answer = std::make_shared<sink>(*this, request.method == "HEAD");
  answer->SetIdempotent(is_idempotent);
  if (!request.is_keep_alive) {
    answer->SetLast();
    is_last_request_ = true;
  }
  answers_.push_back(answer);
  if (reader_ && reader_->TakeExpectation() && is_only_request) {
    stream_->Write(kContinue);
  }
  const auto body = body_;
  if (body->is_complete_) {
    reader_.reset();
  }
  context_.on_request(std::move(request), body, answer);
  return true;
}

// Parses buffered bytes of a request. Returns whether any were consumed.
bool front_connection::ReadRequestPart() {
  if (waiting_request_ || incoming_.empty() || (is_last_request_ && !reader_)) {
    return false;
  }
  if (!reader_) {
    if (answers_.size() >= kMaxPipelinedRequests) {
      return false;
    }
    limits_ = context_.limits();
    reader_ = std::make_unique<request_reader>(limits_.request);
    request_id_ = NewRequestId();
    head_started_ = context_.clock.Now();
    is_head_seen_ = false;
    is_discarding_ = false;
    body_ = std::make_shared<request_body>();
    reader_->on_body = [this](std::string_view part) {
      if (is_discarding_) {
        discarded_bytes_ += part.size();
      } else {
        body_->bytes_.append(part);
      }
    };
    reader_->on_head = [this](const http_request& head) -> result<void> {
      waiting_request_ = head;
      return {};
    };
  }
  if (body_->bytes_.size() >= kMaxBufferedBodyBytes) {
    return false;
  }
  const std::size_t before = incoming_.size();
  error failure;
  const auto progress = Recover(
      [&]() -> result<std::optional<request_reader::progress>> {
        BOOST_LEAF_AUTO(reached, reader_->Read(incoming_));
        return std::optional(reached);
      },
      [&](const error& cause) {
        failure = cause;
        return std::optional<request_reader::progress>();
      });
  if (!progress) {
    waiting_request_.reset();
    Refuse(failure);
    return false;
  }
  if (reader_->IsHeadComplete() && !is_head_seen_) {
    is_head_seen_ = true;
    waiting_request_->id = request_id_;
    body_->length_ = reader_->BodyLength();
    body_->on_taken_ = [weak = weak_from_this()] {
      // Deferred, because the consumer is still inside `Take`.
      QTimer::singleShot(0, [weak] {
        if (const auto self = weak.lock()) {
          self->ProcessRequests();
        }
      });
    };
  }
  const bool is_complete = *progress == request_reader::progress::kComplete;
  const auto body = body_;
  if (is_complete) {
    body->is_complete_ = true;
    if (!waiting_request_) {
      reader_.reset();
    }
  }
  const bool is_started = is_head_seen_ && !waiting_request_;
  if (is_started && body->on_update && (is_complete || !body->bytes_.empty())) {
    const auto on_update = body->on_update;
    on_update();
  }
  if (has_ended_) {
    return false;
  }
  return incoming_.size() < before;
}

// Drops the body of a request that has its answer, so that the connection can be kept. Bytes that
// nobody takes would keep reading paused.
void front_connection::DropBody() {
  if (reader_ && is_head_seen_) {
    is_discarding_ = true;
    body_->on_update = nullptr;
    discarded_bytes_ += body_->bytes_.size();
    body_->bytes_.clear();
  } else if (!reader_) {
    body_.reset();
  }
}

void front_connection::Refuse(const error& failure) {
  log_event(log_level::kInfo, "request_refused")
      .Field("request_id", request_id_)
      .Field("error", AnswerFor(failure.kind).name)
      .Field("cause", failure.detail);
  const bool is_started = is_head_seen_ && !waiting_request_;
  reader_.reset();
  is_last_request_ = true;
  if (is_started && !answers_.empty()) {
    // The body is invalid or too large, but the request has already been started.
    body_->is_broken_ = true;
    answers_.back()->SetLast();
    if (body_->on_update) {
      const auto on_update = body_->on_update;
      on_update();
    }
    return;
  }
  auto answer = std::make_shared<sink>(*this, false);
  answer->SetLast();
  answers_.push_back(answer);
  SendRefusal(*answer, {failure.kind, failure.detail, {}}, request_id_);
}

void front_connection::OnAnswerProgress() {
  last_progress_ = context_.clock.Now();
  SendAnswers();
  if (!has_ended_ && !is_lingering_) {
    ProcessRequests();
  }
}

// Whether the connection closes after this answer.
bool front_connection::IsLastAnswer(const sink& answer) const {
  if (answer.IsLast()) {
    return true;
  }
  const bool is_body_unread = reader_ != nullptr && is_head_seen_ && answers_.size() == 1;
  if (is_body_unread && (!body_->Length() || *body_->Length() > kMaxDiscardedBodyBytes ||
                         discarded_bytes_ > kMaxDiscardedBodyBytes)) {
    return true;
  }
  // Callers resend the requests that follow a closing answer, so close only if none is waiting.
  return context_.is_closing && answers_.size() == 1 && !waiting_request_ && incoming_.empty();
}

void front_connection::SendAnswers() {
  while (!has_ended_ && !answers_.empty()) {
    const std::shared_ptr<sink> first = answers_.front();
    first->SetFirst();
    if (first->IsAborted()) {
      stream_->ResetOnClose();
      End();
      return;
    }
    if (!first->HasBegun()) {
      return;
    }
    if (!first->IsHeadSent() && IsLastAnswer(*first)) {
      first->SetLast();
      is_last_request_ = true;
    }
    const std::string bytes = first->TakeBytes(first->IsLast());
    if (!bytes.empty()) {
      stream_->Write(bytes);
    }
    if (!first->IsComplete()) {
      if (stream_->Unsent() == 0 && first->on_drained) {
        first->on_drained();
      }
      return;
    }
    first->Detach();
    answers_.pop_front();
    if (first->IsLast()) {
      Linger();
      return;
    }
    if (answers_.empty() && !waiting_request_) {
      DropBody();
    }
  }
}

void front_connection::UpdateReadPause() {
  const bool is_body_buffer_full = body_ && body_->bytes_.size() >= kMaxBufferedBodyBytes;
  stream_->PauseReading(is_body_buffer_full || incoming_.size() >= kMaxIncomingBytes);
  hold_.Set(incoming_.size() + (body_ ? body_->bytes_.size() : 0));
}

// Lingering close: shuts down the sending side and then discards incoming bytes. Closing a socket
// with unread bytes resets the connection, and the caller could lose the answer in transit.
void front_connection::Linger() {
  is_lingering_ = true;
  incoming_.clear();
  hold_.Set(0);
  reader_.reset();
  waiting_request_.reset();
  last_progress_ = context_.clock.Now();
  for (const auto& answer : std::exchange(answers_, {})) {
    answer->Detach();
    if (answer->on_caller_disconnected) {
      answer->on_caller_disconnected();
    }
  }
  stream_->PauseReading(false);
  stream_->FinishWriting();
}

void front_connection::OnEnd() {
  End();
}

void front_connection::End() {
  if (std::exchange(has_ended_, true)) {
    return;
  }
  const auto keep_alive = shared_from_this();
  if (reader_ && is_head_seen_ && body_) {
    body_->is_broken_ = true;
    body_->on_update = nullptr;
  }
  for (const auto& answer : std::exchange(answers_, {})) {
    answer->Detach();
    if (answer->on_caller_disconnected) {
      answer->on_caller_disconnected();
    }
  }
  // `End` may run inside a callback of the stream, so destruction is deferred to the event loop.
  QTimer::singleShot(0, [self = shared_from_this()] {
    self->stream_.reset();
    self->on_end_(self.get());
  });
}

}  // namespace corianderhoist
