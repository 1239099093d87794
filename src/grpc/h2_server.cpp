#include "grpc/h2_server.h"

#include <algorithm>

#include "core/release_memory.h"
#include "grpc/h2_session.h"
#include "grpc/status.h"

namespace martenford::grpc {

struct H2Server::Stream {
    H2Request request;
    std::size_t head_size = 0;
    bool too_large = false, delivered = false, answered = false;
    Outgoing answer;
    Fields trailers;
};

struct H2Server::Callbacks {
    static H2Server& self(void* user) { return *static_cast<H2Server*>(user); }

    static int begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        if (frame->hd.type != NGHTTP2_HEADERS || frame->headers.cat != NGHTTP2_HCAT_REQUEST) return 0;
        auto stream = std::make_unique<Stream>();
        stream->request.stream = frame->hd.stream_id;
        self(user).streams_.emplace(frame->hd.stream_id, std::move(stream));
        return 0;
    }
    static int header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t name_size, const std::uint8_t* value, std::size_t value_size, std::uint8_t,
                      void* user) {
        H2Server& server = self(user);
        Stream* stream = server.find(frame->hd.stream_id);
        if (!stream) return 0;
        // Trailers of a request count with its head. What is over the limit is not kept: a small block may
        // unfold to very much.
        stream->head_size += name_size + value_size + kFieldCost;
        if (stream->head_size > server.limits_.head) {
            stream->too_large = true;
            stream->request.fields.clear();
            return 0;
        }
        std::string text(reinterpret_cast<const char*>(value), value_size);
        const std::string_view field(reinterpret_cast<const char*>(name), name_size);
        if (field == ":method") {
            stream->request.method = std::move(text);
        } else if (field == ":path") {
            stream->request.path = std::move(text);
        } else if (!field.starts_with(':')) {
            stream->request.fields.emplace_back(field, std::move(text));
        }
        return 0;
    }
    static int data(nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* bytes,
                    std::size_t size, void* user) {
        H2Server& server = self(user);
        Stream* stream = server.find(id);
        if (!stream || stream->too_large) return 0;
        if (stream->request.body.size() + size > server.limits_.body) {
            stream->too_large = true;
            release_memory(stream->request.body);
            return 0;
        }
        stream->request.body.append(reinterpret_cast<const char*>(bytes), size);
        return 0;
    }
    static int frame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        H2Server& server = self(user);
        switch (frame->hd.type) {
            case NGHTTP2_PING:
            case NGHTTP2_SETTINGS:
            case NGHTTP2_RST_STREAM:
            case NGHTTP2_PRIORITY:
                server.flood();
                break;
            case NGHTTP2_DATA:
                if (frame->hd.length == 0 && !(frame->hd.flags & NGHTTP2_FLAG_END_STREAM)) server.flood();
                [[fallthrough]];
            case NGHTTP2_HEADERS:
                if (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) {
                    server.whole(frame->hd.stream_id);
                } else if (const Stream* stream = server.find(frame->hd.stream_id);
                           stream && stream->too_large) {
                    server.whole(frame->hd.stream_id);  // the rest of it need not be waited for
                }
                break;
            default:
                break;
        }
        return 0;
    }
    static int closed(nghttp2_session*, std::int32_t id, std::uint32_t, void* user) {
        H2Server& server = self(user);
        const auto it = server.streams_.find(id);
        if (it == server.streams_.end()) return 0;
        const auto stream = std::move(it->second);
        server.streams_.erase(it);
        if (!stream->delivered || (stream->answered && stream->answer.done())) return 0;
        ++server.figures_.left;
        server.handler_.on_left(id);
        return 0;
    }
    static ssize_t body(nghttp2_session* session, std::int32_t id, std::uint8_t* into, std::size_t most,
                        std::uint32_t* flags, nghttp2_data_source*, void* user) {
        Stream* stream = self(user).find(id);
        if (!stream) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        const std::size_t size = stream->answer.take(into, most);
        if (!stream->answer.done()) return static_cast<ssize_t>(size);
        *flags |= NGHTTP2_DATA_FLAG_EOF;
        if (!stream->trailers.empty()) {
            *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
            const auto nv = as_nv(stream->trailers);
            nghttp2_submit_trailer(session, id, nv.data(), nv.size());
        }
        return static_cast<ssize_t>(size);
    }
};

H2Server::H2Server(Handler& handler, const H2Limits& limits)
    : handler_(handler), limits_(limits), tokens_(limits.control_burst) {
    const SessionParts parts;
    auto* const callbacks = parts.callbacks;
    auto* const option = parts.option;
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, Callbacks::begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, Callbacks::header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Callbacks::data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Callbacks::frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Callbacks::closed);
    // No record is kept of streams that are over: nobody asks for them.
    nghttp2_option_set_no_closed_streams(option, 1);
    // Its own count of resets goes by a clock of its own; flood() goes by the caller's.
    constexpr std::uint64_t kNoLimit = 1 << 30;
    nghttp2_option_set_stream_reset_rate_limit(option, kNoLimit, kNoLimit);
    if (nghttp2_session_server_new2(&session_, callbacks, this, option) != 0) throw std::bad_alloc();
    const nghttp2_settings_entry settings[] = {
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits.streams},
        {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(limits.head)}};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings, std::size(settings));
}

H2Server::~H2Server() {
    // Ends the streams that are open: their handlers hear of it here, and of nothing later.
    nghttp2_session_del(session_);
    for (const auto& [id, stream] : std::exchange(streams_, {})) {
        if (stream->delivered && !stream->answered) handler_.on_left(id);
    }
}

H2Server::Stream* H2Server::find(std::int32_t stream) {
    const auto it = streams_.find(stream);
    return it == streams_.end() ? nullptr : it->second.get();
}

/// A request has come to its end, or to where no more of it is wanted.
void H2Server::whole(std::int32_t id) {
    Stream* stream = find(id);
    if (!stream || stream->delivered || stream->answered) return;
    if (stream->too_large) {
        ++figures_.too_large;
        const auto code = std::to_string(static_cast<int>(Code::ResourceExhausted));
        return respond(id,
                       {{":status", "200"},
                        {"content-type", "application/grpc"},
                        {"grpc-status", code},
                        {"grpc-message", "the request is too large"}},
                       {}, {});
    }
    stream->delivered = true;
    ++figures_.requests;
    handler_.on_request(std::move(stream->request));
}

/// Counts a frame that costs its sender next to nothing.
void H2Server::flood() {
    tokens_ -= 1.0;
    if (tokens_ >= 0.0 || std::exchange(ending_, true)) return;
    ++figures_.floods;
    nghttp2_session_terminate_session(session_, NGHTTP2_ENHANCE_YOUR_CALM);
}

bool H2Server::feed(std::string_view bytes, Time now) {
    if (begun_) {
        const double passed = std::chrono::duration<double>(now - last_).count();
        tokens_ = std::min(limits_.control_burst, tokens_ + passed * limits_.control_per_second);
    }
    begun_ = true;
    last_ = now;
    const auto got =
        nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    // Below zero: not HTTP/2 at all, or a flood that the library counts itself.
    return got >= 0 && !ending_ && nghttp2_session_want_read(session_) != 0;
}

std::string H2Server::output(std::size_t most) {
    return drain(session_, most, [](std::size_t) {});
}

bool H2Server::finished() const {
    return nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0;
}

void H2Server::respond(std::int32_t id, const Fields& head, std::string body, const Fields& trailers) {
    Stream* stream = find(id);
    if (!stream || std::exchange(stream->answered, true)) return;
    stream->answer.bytes = std::move(body);
    stream->trailers = trailers;
    const auto nv = as_nv(head);
    nghttp2_data_provider source{};
    source.read_callback = Callbacks::body;
    const bool whole = stream->answer.done() && trailers.empty();
    nghttp2_submit_response(session_, id, nv.data(), nv.size(), whole ? nullptr : &source);
}

void H2Server::reset(std::int32_t id, std::uint32_t code) {
    Stream* stream = find(id);
    if (!stream) return;
    stream->answered = true;
    stream->answer = {};
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, code);
}

void H2Server::go_away() {
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(session_),
                          NGHTTP2_NO_ERROR, nullptr, 0);
}

}  // namespace martenford::grpc
