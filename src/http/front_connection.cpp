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
constexpr std::size_t kMaxAhead = 8;  // Requests.
constexpr std::size_t kMaxHeldBody = 128UL << 10U;
constexpr std::size_t kMaxIncoming = 256UL << 10U;
// An answered request's body that is shorter is read to its end, so that the connection stays open.
constexpr std::uint64_t kMaxDiscarded = 256UL << 10U;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

std::string request_body::Take() {
  std::string taken = std::exchange(bytes_, {});
  if (!taken.empty() && on_taken_) {
    on_taken_();
  }
  return taken;
}

// Frames one answer. Holds its bytes back until the answers before it are complete.
class front_connection::sink final : public answer_sink {
 public:
  sink(front_connection& connection, bool is_head_method)
      : connection_(&connection), is_head_method_(is_head_method) {}
  // An answer that nobody ended must not look complete.
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
    given_ += part.size();
    if (head_.length) {
      pending_ += part;
    } else {
      std::array<char, 24> size{};
      std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
      pending_ += size.data();
      pending_ += part;
      pending_ += "\r\n";
    }
    connection_->OnAnswerProgress();
  }

  void End() override {
    if (connection_ == nullptr) {
      return;
    }
    if (!has_begun_ || (is_body_sent_ && head_.length && *head_.length != given_)) {
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
    return pending_.size() + (connection_ != nullptr && connection_->stream_ && is_front_
                                  ? connection_->stream_->Unsent()
                                  : 0);
  }

  // The bytes that may leave now, with the head in front of the first ones.
  std::string TakeBytes(bool is_last) {
    std::string bytes;
    if (has_begun_ && !is_head_sent_) {
      is_head_sent_ = true;
      bytes = FormatHead(head_, is_last);
    }
    bytes += std::exchange(pending_, {});
    return bytes;
  }

  bool HasBegun() const { return has_begun_; }
  bool IsHeadSent() const { return is_head_sent_; }
  bool IsComplete() const { return is_complete_; }
  bool IsAborted() const { return is_aborted_; }
  bool IsRepeatable() const { return is_repeatable_; }
  void SetRepeatable(bool is_repeatable) { is_repeatable_ = is_repeatable; }
  void SetLast() { is_last_ = true; }
  bool IsLast() const { return is_last_; }
  void SetFront() { is_front_ = true; }

 private:
  front_connection* connection_;
  const bool is_head_method_;
  answer_head head_;
  std::string pending_;
  std::uint64_t given_ = 0;
  bool has_begun_ = false;
  bool is_head_sent_ = false;
  bool is_body_sent_ = true;
  bool is_complete_ = false;
  bool is_aborted_ = false;
  bool is_repeatable_ = false;
  bool is_last_ = false;
  bool is_front_ = false;
};

front_connection::front_connection(front_context& context,
                                   std::function<void(front_connection*)> on_end)
    : context_(context), on_end_(std::move(on_end)), last_progress_(context.clock.Now()) {}

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
}

bool front_connection::IsBusy() const {
  return !answers_.empty() || reader_ != nullptr || waiting_.has_value();
}

void front_connection::CloseIfIdle() {
  if (!IsBusy() && incoming_.empty() && !is_lingering_) {
    Linger();
  }
}

void front_connection::CheckTime(steady_time now) {
  const auto keep_alive = shared_from_this();
  if (has_ended_) {
    return;
  }
  if (is_lingering_) {
    if (now > last_progress_ + kLingerTimeout) {
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
  Advance();
}

// Reads as many requests as may be in progress. A loop, not a recursion: many requests may be
// answered as soon as they are read.
void front_connection::Advance() {
  if (std::exchange(is_advancing_, true)) {
    return;
  }
  const auto keep_alive = shared_from_this();
  while (!has_ended_ && !is_lingering_ && (StartParsed() || ReadOne())) {
  }
  is_advancing_ = false;
  if (!has_ended_ && !is_lingering_) {
    PumpAnswers();
    UpdateReading();
  }
}

// Runs the request whose header is known, once it may run. True when something was done.
bool front_connection::StartParsed() {
  if (!waiting_) {
    return false;
  }
  const bool may_run_ahead = context_.may_run_ahead(*waiting_);
  const bool is_alone = answers_.empty();
  const bool are_others_repeatable =
      std::all_of(answers_.begin(), answers_.end(),
                  [](const std::shared_ptr<sink>& answer) { return answer->IsRepeatable(); });
  if (!is_alone && !(may_run_ahead && are_others_repeatable)) {
    return false;
  }
  http_request request = std::move(*waiting_);
  waiting_.reset();
  auto answer = std::make_shared<sink>(*this, request.method == "HEAD");
  answer->SetRepeatable(may_run_ahead);
  if (!request.is_keep_alive) {
    answer->SetLast();
    is_last_request_ = true;
  }
  answers_.push_back(answer);
  if (reader_ && reader_->TakeExpectation() && is_alone) {
    stream_->Write(kContinue);
  }
  const auto body = body_;
  if (body->is_complete_) {
    reader_.reset();
  }
  context_.on_request(std::move(request), body, answer);
  return true;
}

// Reads a part of a request. True when something was used up.
bool front_connection::ReadOne() {
  if (waiting_ || incoming_.empty() || (is_last_request_ && !reader_)) {
    return false;
  }
  if (!reader_) {
    if (answers_.size() >= kMaxAhead) {
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
      waiting_ = head;
      return {};
    };
  }
  if (body_->bytes_.size() >= kMaxHeldBody) {
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
    waiting_.reset();
    Refuse(failure);
    return false;
  }
  if (reader_->IsHeadComplete() && !is_head_seen_) {
    is_head_seen_ = true;
    waiting_->id = request_id_;
    body_->length_ = reader_->BodyLength();
    body_->on_taken_ = [weak = weak_from_this()] {
      // Not from inside the consumer's call.
      QTimer::singleShot(0, [weak] {
        if (const auto self = weak.lock()) {
          self->Advance();
        }
      });
    };
  }
  const bool is_complete = *progress == request_reader::progress::kComplete;
  const auto body = body_;
  if (is_complete) {
    body->is_complete_ = true;
    if (!waiting_) {
      reader_.reset();
    }
  }
  const bool is_started = is_head_seen_ && !waiting_;
  if (is_started && body->on_news && (is_complete || !body->bytes_.empty())) {
    const auto on_news = body->on_news;
    on_news();
  }
  if (has_ended_) {
    return false;
  }
  return incoming_.size() < before;
}

// The answer left before the body was read. A short rest is read to keep the connection.
void front_connection::DiscardBody() {
  is_discarding_ = true;
  body_->on_news = nullptr;
  discarded_bytes_ += body_->bytes_.size();
  body_->bytes_.clear();
}

void front_connection::Refuse(const error& failure) {
  log_event(log_level::kInfo, "request_refused")
      .Field("request_id", request_id_)
      .Field("error", AnswerFor(failure.kind).name)
      .Field("cause", failure.detail);
  const bool is_begun = is_head_seen_ && !waiting_;
  reader_.reset();
  is_last_request_ = true;
  if (is_begun && !answers_.empty()) {
    // The body broke its framing under way.
    body_->is_broken_ = true;
    answers_.back()->SetLast();
    if (body_->on_news) {
      const auto on_news = body_->on_news;
      on_news();
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
  PumpAnswers();
  if (!has_ended_ && !is_lingering_) {
    Advance();
  }
}

// Nothing follows the answer on this connection.
bool front_connection::IsLastAnswer(const sink& answer) const {
  if (answer.IsLast()) {
    return true;
  }
  const bool is_body_unread = reader_ != nullptr && is_head_seen_ && answers_.size() == 1;
  if (is_body_unread &&
      (!body_->Length() || *body_->Length() > kMaxDiscarded || discarded_bytes_ > kMaxDiscarded)) {
    return true;
  }
  // Requests that were sent behind a closing answer are sent again; none should be waiting.
  return context_.is_closing && answers_.size() == 1 && !waiting_ && incoming_.empty();
}

void front_connection::PumpAnswers() {
  while (!has_ended_ && !answers_.empty()) {
    const std::shared_ptr<sink> front = answers_.front();
    front->SetFront();
    if (front->IsAborted()) {
      stream_->ResetOnClose();
      End();
      return;
    }
    if (!front->HasBegun()) {
      return;
    }
    if (!front->IsHeadSent() && IsLastAnswer(*front)) {
      front->SetLast();
      is_last_request_ = true;
    }
    const std::string bytes = front->TakeBytes(front->IsLast());
    if (!bytes.empty()) {
      stream_->Write(bytes);
    }
    if (!front->IsComplete()) {
      if (stream_->Unsent() == 0 && front->on_drained) {
        front->on_drained();
      }
      return;
    }
    front->Detach();
    answers_.pop_front();
    if (front->IsLast()) {
      Linger();
      return;
    }
    if (answers_.empty() && reader_ && is_head_seen_ && !waiting_) {
      DiscardBody();
    }
  }
}

void front_connection::UpdateReading() {
  const bool is_body_held = body_ && body_->bytes_.size() >= kMaxHeldBody;
  stream_->PauseReading(is_body_held || incoming_.size() >= kMaxIncoming);
}

// Ends the sending side and then discards what the caller still sends: closing a socket with unread
// bytes would reset the connection and could destroy the answer on its way.
void front_connection::Linger() {
  is_lingering_ = true;
  incoming_.clear();
  reader_.reset();
  waiting_.reset();
  last_progress_ = context_.clock.Now();
  for (const auto& answer : std::exchange(answers_, {})) {
    answer->Detach();
    if (answer->on_left) {
      answer->on_left();
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
    body_->on_news = nullptr;
  }
  for (const auto& answer : std::exchange(answers_, {})) {
    answer->Detach();
    if (answer->on_left) {
      answer->on_left();
    }
  }
  // The end may be reported from inside a callback of the stream, so destruction waits for the
  // event loop.
  QTimer::singleShot(0, [self = shared_from_this()] {
    self->stream_.reset();
    self->on_end_(self.get());
  });
}

}  // namespace corianderhoist
