#include "grpc/h2_client.h"

#include <algorithm>

#include "core/release_memory.h"
#include "grpc/h2_session.h"

namespace martenford::grpc {

namespace {
constexpr std::uint32_t kMostId = 0x7fffffff;
}  // namespace

struct H2Client::Stream {
    explicit Stream(std::size_t message) : messages(message) {}
    Outgoing request;
    bool begun = false;
    std::optional<std::uint64_t> ends_at;  // in the bytes given out: where its END_STREAM lies
    H2Answer answer;
    std::size_t head_size = 0;
    std::uint32_t http_status = 0;
    bool headed = false, ended = false, not_processed = false;
    std::optional<Ending::How> fault;
    std::optional<std::string> status;
    MessageCounter messages;
};

struct H2Client::Callbacks {
    static H2Client& self(void* user) { return *static_cast<H2Client*>(user); }

    static int header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t name_size, const std::uint8_t* value, std::size_t value_size, std::uint8_t,
                      void* user) {
        H2Client& client = self(user);
        Stream* stream = client.find(frame->hd.stream_id);
        if (!stream || stream->fault) return 0;
        stream->head_size += name_size + value_size + kFieldCost;
        if (stream->head_size > client.limits_.head) {
            client.fail(frame->hd.stream_id, *stream, Ending::How::TooLarge);
            return 0;
        }
        const std::string_view field(reinterpret_cast<const char*>(name), name_size);
        std::string text(reinterpret_cast<const char*>(value), value_size);
        if (field == ":status") {
            stream->http_status = 0;
            for (const char c : text) {
                if (c >= '0' && c <= '9')
                    stream->http_status = stream->http_status * 10 + static_cast<unsigned>(c - '0');
            }
            return 0;
        }
        if (field.starts_with(':')) return 0;
        if (field == "grpc-status") stream->status = text;
        if (field == "x-not-processed" && text == "1") stream->not_processed = true;
        auto& fields = stream->headed ? stream->answer.trailers : stream->answer.head;
        fields.emplace_back(field, std::move(text));
        return 0;
    }
    static int data(nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* bytes,
                    std::size_t size, void* user) {
        H2Client& client = self(user);
        Stream* stream = client.find(id);
        if (!stream || stream->fault) return 0;
        const std::string_view piece(reinterpret_cast<const char*>(bytes), size);
        if (stream->http_status != 200) return 0;  // whoever speaks here, it is no gRPC
        const auto fault = stream->messages.feed(piece);
        if (fault == MessageCounter::Fault::BadFlag) {
            client.fail(id, *stream, Ending::How::BadFraming);
        } else if (fault != MessageCounter::Fault::None ||
                   stream->answer.body.size() + size > client.limits_.body) {
            client.fail(id, *stream, Ending::How::TooLarge);
        } else {
            stream->answer.body.append(piece);
        }
        return 0;
    }
    static int received(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        H2Client& client = self(user);
        client.count_frame(frame->hd.type == NGHTTP2_HEADERS ||
                           (frame->hd.type == NGHTTP2_DATA && frame->hd.length > 0));
        if (frame->hd.type == NGHTTP2_GOAWAY) {
            // A second one may only lower it (RFC 9113, 6.8).
            const auto last = frame->goaway.last_stream_id;
            client.last_processed_ = std::min(client.last_processed_.value_or(last), last);
            return 0;
        }
        Stream* stream = client.find(frame->hd.stream_id);
        if (!stream) return 0;
        if (frame->hd.type == NGHTTP2_HEADERS && stream->http_status / 100 != 1) stream->headed = true;
        if (frame->hd.type == NGHTTP2_HEADERS && stream->http_status / 100 == 1) stream->answer.head.clear();
        const bool data_or_head = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (data_or_head && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM)) stream->ended = true;
        return 0;
    }
    /// Its bytes come out in this very call of mem_send().
    static int sending(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        H2Client& client = self(user);
        Stream* stream = client.find(frame->hd.stream_id);
        if (!stream || frame->hd.type != NGHTTP2_HEADERS) return 0;
        stream->begun = true;
        if (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) client.finishing_.push_back(frame->hd.stream_id);
        return 0;
    }
    static int closed(nghttp2_session*, std::int32_t id, std::uint32_t code, void* user) {
        H2Client& client = self(user);
        if (const Stream* stream = client.find(id)) client.end(id, client.judge(id, *stream, code));
        return 0;
    }
    static ssize_t body(nghttp2_session*, std::int32_t id, std::uint8_t* into, std::size_t most,
                        std::uint32_t* flags, nghttp2_data_source*, void* user) {
        H2Client& client = self(user);
        Stream* stream = client.find(id);
        if (!stream) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        const std::size_t size = stream->request.take(into, most);
        if (stream->request.done()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            client.finishing_.push_back(id);
        }
        return static_cast<ssize_t>(size);
    }
};

H2Client::H2Client(Handler& handler, const Limits& limits) : handler_(handler), limits_(limits) {
    const SessionParts parts;
    auto* const callbacks = parts.callbacks;
    auto* const option = parts.option;
    nghttp2_session_callbacks_set_on_header_callback(callbacks, Callbacks::header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Callbacks::data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Callbacks::received);
    nghttp2_session_callbacks_set_before_frame_send_callback(callbacks, Callbacks::sending);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Callbacks::closed);
    // Until the peer has said how many streams it takes, as many as RFC 9113 recommends at least (6.5.2).
    constexpr std::uint32_t kStreamsAtFirst = 100;
    nghttp2_option_set_peer_max_concurrent_streams(option, kStreamsAtFirst);
    if (nghttp2_session_client_new2(&session_, callbacks, this, option) != 0) throw std::bad_alloc();
    const nghttp2_settings_entry settings[] = {
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
        {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(limits.head)}};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings, std::size(settings));
}

H2Client::~H2Client() {
    nghttp2_session_del(session_);
}

H2Client::Stream* H2Client::find(std::int32_t stream) {
    const auto it = streams_.find(stream);
    return it == streams_.end() ? nullptr : it->second.get();
}

bool H2Client::takes() const {
    const auto most = nghttp2_session_get_remote_settings(session_, NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
    return !last_processed_ && streams_.size() < most &&
           nghttp2_session_get_next_stream_id(session_) <= kMostId &&
           nghttp2_session_check_request_allowed(session_) != 0;
}

std::optional<std::int32_t> H2Client::send(const Fields& head, std::string body) {
    if (!takes()) return std::nullopt;
    const auto nv = as_nv(head);
    nghttp2_data_provider source{};
    source.read_callback = Callbacks::body;
    const auto id = nghttp2_submit_request(session_, nullptr, nv.data(), nv.size(),
                                           body.empty() ? nullptr : &source, nullptr);
    if (id < 0) return std::nullopt;
    auto stream = std::make_unique<Stream>(limits_.message);
    stream->request.bytes = std::move(body);
    streams_.emplace(id, std::move(stream));
    return id;
}

void H2Client::cancel(std::int32_t id) {
    if (streams_.erase(id) == 0) return;
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
}

bool H2Client::begun(std::int32_t id) const {
    const auto it = streams_.find(id);
    return it != streams_.end() && it->second->begun;
}

/// No more of it is taken in; it ends when the stream does, which is here.
void H2Client::fail(std::int32_t id, Stream& stream, Ending::How how) {
    stream.fault = how;
    release_memory(stream.answer.body);
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
}

Ending H2Client::judge(std::int32_t id, const Stream& stream, std::uint32_t code) const {
    using How = Ending::How;
    Ending ending;
    ending.not_processed = stream.not_processed;
    ending.code = code;
    if (stream.fault) {
        ending.how = *stream.fault;
    } else if (last_processed_ && id > *last_processed_) {
        ending.how = How::GoAwayAbove;
    } else if (code == NGHTTP2_REFUSED_STREAM) {
        ending.how = How::StreamRefused;
    } else if (!stream.ended) {
        ending.how = How::StreamReset;
    } else if (stream.http_status != 200 && !stream.status) {
        ending.how = How::HttpStatus;
        ending.code = stream.http_status;
    } else if (!stream.status) {
        ending.how = How::NoTrailers;
    } else if (!stream.messages.between()) {
        ending.how = How::HalfMessage;
    } else {
        ending.how = How::Trailers;
        ending.code = static_cast<std::uint32_t>(code_of(*stream.status));
    }
    return ending;
}

void H2Client::end(std::int32_t id, Ending ending) {
    const auto it = streams_.find(id);
    if (it == streams_.end()) return;
    const auto stream = std::move(it->second);
    streams_.erase(it);
    stream->answer.ending = ending;
    if (outcome_of(ending) != decision::Status::Ok) release_memory(stream->answer.body);
    // Trailers-only: the one head is the trailers (PROTOCOL-HTTP2.md, Responses).
    if (stream->answer.trailers.empty() && stream->status)
        stream->answer.trailers = std::move(stream->answer.head);
    handler_.on_ended(id, std::move(stream->answer));
}

/// Counts frames that cost their sender next to nothing. A stream limits the heads that it takes.
void H2Client::count_frame(bool belongs_to_answer) {
    idle_frames_ = belongs_to_answer ? 0 : idle_frames_ + 1;
}

bool H2Client::feed(std::string_view bytes) {
    const auto got =
        nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    return got >= 0 && idle_frames_ <= limits_.idle_frames && nghttp2_session_want_read(session_) != 0;
}

std::string H2Client::output(std::size_t most) {
    return drain(session_, most, [this](std::size_t size) {
        out_ += size;
        // A frame comes out whole. Were one to come in pieces, its request would count as written from the
        // first on: the safe way to be wrong, since what was written may have run.
        for (const std::int32_t id : std::exchange(finishing_, {})) {
            if (Stream* stream = find(id)) stream->ends_at = out_;
        }
    });
}

void H2Client::lost() {
    using How = Ending::How;
    while (!streams_.empty()) {
        const auto& [id, stream] = *streams_.begin();
        const bool whole = stream->ends_at && *stream->ends_at <= written_;
        Ending ending;
        ending.not_processed = stream->not_processed;
        ending.how = !whole                                     ? How::NotWhole
                     : last_processed_ && id > *last_processed_ ? How::GoAwayAbove
                     : last_processed_                          ? How::GoAwayAtOrBelow
                                                                : How::ConnectionLost;
        end(id, ending);
    }
}

}  // namespace martenford::grpc
